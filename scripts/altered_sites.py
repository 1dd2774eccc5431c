#!/usr/bin/env python3
"""Makes altered copies of a site file, to try deployments that nobody has seen.

Usage: altered_sites.py SITE OUT [--count N] [--seed N]

Each copy has other processor shares, memory, bounds, load times, engine memory and store rates, drawn
from a seed; a line on standard output tells what it has. The copies belong outside the repository.
"""

import argparse
import pathlib
import random
import re
import sys

# Key and the factors that its values may be multiplied by; all places of one key get the same factor.
FACTORS = {
    "cpu_share": (0.6, 0.8, 1.0, 1.5),
    "memory_mb": (0.6, 1.0, 2.0),
    "drain_ms": (0.75, 1.0, 1.5, 2.0),
    "config_ms": (0.75, 1.0, 1.5, 2.0),
    "touch_ms": (1.0, 1.5),
    "beat_ms": (0.7, 1.0, 1.5),
    "cross_zone_ms": (1.0, 4.0),
    "step_ms": (0.7, 1.0, 1.5),
    "prefill_tokens_per_ms": (0.6, 1.0, 1.5),
    "kv_tokens": (0.5, 1.0, 2.0),
    "load_s": (0.6, 1.0, 1.7),
    "disk_s": (0.6, 1.0, 2.0),
    "warm_s": (0.6, 1.0, 2.0),
    "writes_per_s": (0.5, 1.0),
    "reads_per_s": (0.5, 1.0),
    "at_once": (0.5, 1.0, 2.0),
}


def scaled(text: str, key: str, factor: float) -> str:
    def replace(match: re.Match[str]) -> str:
        value = match.group(2)
        number = float(value) * factor
        whole = "." not in value
        return match.group(1) + (str(max(1, round(number))) if whole else f"{number:.4g}")

    return re.sub(rf"(\b{key} = )(\d+(?:\.\d+)?)", replace, text)


def altered(text: str, draw: random.Random) -> tuple[str, list[str]]:
    told = []
    for key, factors in FACTORS.items():
        factor = draw.choice(factors)
        if factor != 1.0:
            text = scaled(text, key, factor)
            told.append(f"{key} x{factor}")
    if draw.random() < 0.3:
        text = re.sub(r"\bfenced = true", "fenced = false", text)
        told.append("fenced = false")
    return text, told


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--count", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    for beside in given.site.parent.glob("*"):
        if beside.is_file() and beside.suffix != ".toml":
            (given.out / beside.name).write_bytes(beside.read_bytes())
    source = given.site.read_text(encoding="utf-8")
    for index in range(given.count):
        text, told = altered(source, random.Random(given.seed * 1000 + index))
        path = given.out / f"{given.site.stem}-{given.seed}-{index}.toml"
        path.write_text(text, encoding="utf-8")
        print(f"{path.name}: {', '.join(told)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
