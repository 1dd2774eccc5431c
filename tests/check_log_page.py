#!/usr/bin/env python3
"""Checks that docs/OPERATIONS.md explains every log message and metric of bamboochute-edge."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG_MESSAGE = re.compile(r'(?:logEvent|->log)\(\s*LogLevel::\w+,\s*"([^"]+)"')
CONDITIONAL_LOG_MESSAGE = re.compile(r'\?\s*"([a-z ;,]+)"\s*:\s*"([a-z ;,]+)",\s*\{\{')
METRIC_NAME = re.compile(r'"(bamboochute_[a-z_]+)"')


def main() -> int:
    page_text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    names: set[str] = set()
    for pattern in ("src/core/inbound_budget.cpp", "src/gateway/*.cpp", "src/residency/*.cpp", "platform/*.cpp"):
        for source in sorted(ROOT.glob(pattern)):
            source_text = source.read_text(encoding="utf-8")
            names.update(LOG_MESSAGE.findall(source_text))
            names.update(METRIC_NAME.findall(source_text))
            for alternatives in CONDITIONAL_LOG_MESSAGE.findall(source_text):
                names.update(alternatives)
    missing = sorted(name for name in names if name not in page_text)
    for name in missing:
        print(f"docs/OPERATIONS.md does not explain: {name}")
    print(f"{len(names)} messages and metrics, {len(missing)} not explained")
    return 1 if missing or not names else 0


if __name__ == "__main__":
    sys.exit(main())
