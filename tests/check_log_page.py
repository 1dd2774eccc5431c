#!/usr/bin/env python3
"""Checks that docs/OPERATIONS.md explains every log message and metric of bamboochute-edge."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MESSAGE = re.compile(r'(?:logEvent|->log)\(\s*LogLevel::\w+,\s*"([^"]+)"')
CHOICE = re.compile(r'\?\s*"([a-z ;,]+)"\s*:\s*"([a-z ;,]+)",\s*\{\{')
METRIC = re.compile(r'"(bamboochute_[a-z_]+)"')


def main() -> int:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    names: set[str] = set()
    for folder in ("src/gateway", "src/residency", "platform"):
        for source in sorted((ROOT / folder).glob("*.cpp")):
            text = source.read_text(encoding="utf-8")
            names.update(MESSAGE.findall(text))
            names.update(METRIC.findall(text))
            for pair in CHOICE.findall(text):
                names.update(pair)
    missing = sorted(name for name in names if name not in page)
    for name in missing:
        print(f"docs/OPERATIONS.md does not explain: {name}")
    print(f"{len(names)} messages and metrics, {len(missing)} not explained")
    return 1 if missing or not names else 0


if __name__ == "__main__":
    sys.exit(main())
