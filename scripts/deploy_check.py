"""Checks deploy/system.toml as its users run it: in clean checkouts, for each processor that is supported.

- The build command succeeds on the commit that is checked out, and on the one that `production` names.
- It succeeds with a compiler that warns where ours doesn't; `production` is a release and can't be changed.

For the other processor all objects are compiled, without linking (cmake/toolchains/objects.cmake). Changes that aren't
committed are part of the checkout. All findings are printed; the exit code is 1 when there is one.
"""

import argparse
import os
import pathlib
import platform
import re
import shutil
import subprocess
import sys
import tomllib

SCRIPTS = pathlib.Path(__file__).resolve().parent
TOOLCHAINS = SCRIPTS.parent / "cmake" / "toolchains"
# Names of the processors, by what the kernel calls them.
PROCESSORS = {"aarch64": "arm64", "x86_64": "x86-64"}
# Time limit of the platform for a build.
BUILD_SECONDS = 15 * 60
# Exit code of timeout(1).
TIMED_OUT = 124
# A warning of g++ that most sources of this project cause and no preset asks for.
UNEXPECTED_WARNING = "-Wpadded"
# Lines that are printed of the errors of one build.
MAX_ERRORS = 20


def run_git(repository: pathlib.Path, *arguments: str) -> str:
    return subprocess.run(["git", "-C", repository, *arguments], check=True, text=True, stdout=subprocess.PIPE).stdout.strip()


def check_out(repository: pathlib.Path, commit: str, folder: pathlib.Path) -> None:
    """Writes the files of a commit to a folder that holds nothing else."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    archive = subprocess.Popen(["git", "-C", repository, "archive", commit], stdout=subprocess.PIPE)
    subprocess.run(["tar", "-x", "-C", folder], stdin=archive.stdout, check=True)
    if archive.wait() != 0:
        raise RuntimeError(f"can't read commit {commit}")


def run_build(command: str, folder: pathlib.Path, environment: dict[str, str]) -> list[str]:
    """Runs the build command in a checkout; returns the last errors that it printed when it fails."""
    log_path = folder.with_suffix(".log")
    with open(log_path, "w", encoding="utf-8") as log:
        status = subprocess.run(["timeout", str(BUILD_SECONDS), "sh", "-c", command], cwd=folder, check=False,
                                env=os.environ | environment, stdout=log, stderr=subprocess.STDOUT).returncode
    if status == 0:
        return []
    if status == TIMED_OUT:
        return [f"takes longer than {BUILD_SECONDS} s"]
    lines = log_path.read_text(encoding="utf-8", errors="replace").splitlines()
    errors = [line for line in lines if re.search(r"\berror: |Error \d", line)]
    return (errors or lines)[-MAX_ERRORS:]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--repository", type=pathlib.Path, default=SCRIPTS.parent, help="the repository to check")
    arguments = parser.parse_args()
    repository = arguments.repository.resolve()
    deploy = tomllib.loads((repository / "deploy" / "system.toml").read_text(encoding="utf-8"))
    programs = [role["run"].split()[0] for role in deploy["roles"].values()]
    current = run_git(repository, "stash", "create") or run_git(repository, "rev-parse", "HEAD")

    findings: list[str] = []
    for release, commit in (("current", current), ("production", deploy["production"])):
        for kernel_name, processor in PROCESSORS.items():
            folder = repository / "build" / "deploy" / f"{release}-{processor}"
            check_out(repository, commit, folder)
            is_native = kernel_name == platform.machine()
            environment = {}
            if not is_native:
                environment["CMAKE_TOOLCHAIN_FILE"] = str(TOOLCHAINS / f"{processor}.cmake")
            if not is_native and release == "current":
                environment["CXXFLAGS"] = UNEXPECTED_WARNING
            found = run_build(deploy["build"], folder, environment)
            found = found or [f"makes no {program}" for program in programs if not (folder / program).is_file()]
            print(f"deploy: {release} commit {commit[:7]} for {processor}: {'fails' if found else 'builds'}", flush=True)
            findings += [f"{release} commit {commit[:7]} for {processor}: {finding}" for finding in found]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
