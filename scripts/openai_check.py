"""Runs the unmodified OpenAI client (npm package, tests/openai) against three entry instances."""

import pathlib
import subprocess
import sys

import fleet


def main():
    folder = pathlib.Path(__file__).resolve().parent.parent / "tests" / "openai"
    subprocess.run(["npm", "install", "--no-package-lock", "--no-audit", "--no-fund"], cwd=folder,
                   check=True)
    with fleet.Fleet("build/release/bin", 3) as running:
        if running.submit_example().returncode != 0:
            return 1
        address = f"http://{running.caller_address('entry-02')}"
        return subprocess.run(["node", "check.mjs", address], cwd=folder, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
