"""Prints the preprocessed text of one source file, as its compile command in the build folder says."""

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
            words = shlex.split(entry["command"])
            if words[0].endswith("ccache"):
                words = words[1:]
            output = words.index("-o")
            words[output:output + 2] = []
            words[words.index("-c")] = "-E"
            return subprocess.run(words + ["-P"], cwd=entry["directory"], check=False).returncode
    print(f"no compile command for {source}", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
