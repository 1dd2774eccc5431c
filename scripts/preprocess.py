"""Prints the preprocessed text of one source file, using its entry in compile_commands.json.

Usage: preprocess.py BUILD_FOLDER SOURCE
"""

import json
import pathlib
import shlex
import subprocess
import sys


def main() -> int:
    build, source = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]).resolve()
    commands = json.loads((build / "compile_commands.json").read_text())
    for entry in commands:
        if pathlib.Path(entry["file"]).resolve() == source:
            arguments = shlex.split(entry["command"])
            if arguments[0].endswith("ccache"):
                arguments = arguments[1:]
            output_index = arguments.index("-o")
            arguments[output_index:output_index + 2] = []
            arguments[arguments.index("-c")] = "-E"
            return subprocess.run(arguments + ["-P"], cwd=entry["directory"], check=False).returncode
    print(f"no compile command for {source}", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
