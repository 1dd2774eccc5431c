#!/usr/bin/env python3
"""Writes varied copies of a site file, to test deployments that differ from the known ones.

Usage: altered_sites.py SITE OUT [--count N] [--seed N]

In each copy processor shares, memory, bounds, load times, engine memory and store rates are multiplied by
factors drawn at random from the seed; a line on standard output lists the changes of each copy. Other files
beside the site file, except .toml files, are copied too. OUT should lie outside the repository.
"""

import argparse
import pathlib
import random
import re
import sys

# Key and the factors that its values may be multiplied by; all values of one key get the same factor.
FACTORS_BY_KEY = {
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


def scale_values(text: str, key: str, factor: float) -> str:
    def replace(match: re.Match[str]) -> str:
        value = match.group(2)
        number = float(value) * factor
        is_integer = "." not in value
        return match.group(1) + (str(max(1, round(number))) if is_integer else f"{number:.4g}")

    return re.sub(rf"(\b{key} = )(\d+(?:\.\d+)?)", replace, text)


def alter_site(text: str, rng: random.Random) -> tuple[str, list[str]]:
    changes = []
    for key, factors in FACTORS_BY_KEY.items():
        factor = rng.choice(factors)
        if factor != 1.0:
            text = scale_values(text, key, factor)
            changes.append(f"{key} x{factor}")
    if rng.random() < 0.3:
        text = re.sub(r"\bfenced = true", "fenced = false", text)
        changes.append("fenced = false")
    return text, changes


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--count", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    for sibling in arguments.site.parent.glob("*"):
        if sibling.is_file() and sibling.suffix != ".toml":
            (arguments.out / sibling.name).write_bytes(sibling.read_bytes())
    source = arguments.site.read_text(encoding="utf-8")
    for index in range(arguments.count):
        text, changes = alter_site(source, random.Random(arguments.seed * 1000 + index))
        path = arguments.out / f"{arguments.site.stem}-{arguments.seed}-{index}.toml"
        path.write_text(text, encoding="utf-8")
        print(f"{path.name}: {', '.join(changes)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
