"""Checks deploy/system.toml as its users run it: in clean checkouts, for each processor that is supported.

- The build command succeeds on the commit that is checked out, and on the one that `production` names.
- It succeeds with a compiler that warns where ours doesn't; `production` is a release and can't be changed.
- Each package that the build used is declared under `packages`, or needed by one that is.

For the other processor all objects are compiled, without linking (cmake/toolchains/objects.cmake). Changes that aren't
committed are part of the checkout. All findings are printed; the exit code is 1 when there is one.
"""

import argparse
import os
import pathlib
import platform
import re
import shlex
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
TOOLS = ("cmake", "make", "c++")
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


def read_dependencies(status: str) -> tuple[dict[str, set[str]], dict[str, set[str]]]:
    """Reads the installed packages from the output of dpkg-query.

    Returns the names that each package depends on, and the packages that provide each name."""
    needs: dict[str, set[str]] = {}
    providers: dict[str, set[str]] = {}
    for line in status.splitlines():
        package, provided, *needed = line.split("\t")
        names = set(re.findall(r"(?:^|[,|])\s*([a-z0-9][a-z0-9+.-]*)", ",".join(needed)))
        needs.setdefault(package, set()).update(names)
        for name in {package, *re.findall(r"(?:^|,)\s*([a-z0-9][a-z0-9+.-]*)", provided)}:
            providers.setdefault(name, set()).add(package)
    return needs, providers


def find_closure(declared: list[str], needs: dict[str, set[str]], providers: dict[str, set[str]]) -> set[str]:
    """Returns the installed packages that are declared or that a declared one depends on."""
    found: set[str] = set()
    waiting = list(declared)
    while waiting:
        for package in providers.get(waiting.pop(), set()) - found:
            found.add(package)
            waiting += needs[package]
    return found


def list_used_files(folder: pathlib.Path, programs: list[str]) -> set[str]:
    """Returns the files outside a checkout that its build read: headers, libraries and tools."""
    used = {path for tool in TOOLS if (path := shutil.which(tool))}
    for listing in folder.rglob("*.o.d"):
        used.update(re.findall(r"(?<!\S)/\S+", listing.read_text(encoding="utf-8")))
    for link in folder.rglob("link.txt"):
        for word in shlex.split(link.read_text(encoding="utf-8")):
            if word.startswith("-l"):
                word = subprocess.run(["c++", f"-print-file-name=lib{word[2:]}.so"], check=True, text=True,
                                      stdout=subprocess.PIPE).stdout.strip()
            if word.startswith("/"):
                used.add(word)
    for program in programs:
        libraries = subprocess.run(["ldd", folder / program], check=True, text=True, stdout=subprocess.PIPE).stdout
        used.update(re.findall(r"=> (/\S+)", libraries))
    return {path for path in used if not path.startswith(str(folder))}


def list_spellings(path: str) -> set[str]:
    """Returns the names that packages may have for a file: without links, and below /lib for /usr/lib or the other way."""
    spellings = {os.path.normpath(path), os.path.realpath(path)}
    return spellings | {spelling.removeprefix("/usr") for spelling in spellings} | {
        f"/usr{spelling}" for spelling in spellings if not spelling.startswith("/usr/")}


def find_owners(paths: set[str]) -> dict[str, set[str]]:
    """Returns the packages that each file belongs to; a link and the file that it names may belong to different ones."""
    spellings = {path: list_spellings(path) for path in paths}
    answer = subprocess.run(["dpkg", "-S", *set().union(*spellings.values())], check=False, text=True,
                            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL).stdout
    packages: dict[str, str] = {}
    for line in answer.splitlines():
        names, _, spelling = line.partition(": ")
        if not names.startswith("diversion"):
            packages[spelling] = names.split(",")[0].split(":")[0]
    return {path: {packages[spelling] for spelling in spellings[path] if spelling in packages} for path in paths}


def check_packages(folder: pathlib.Path, declared: list[str], programs: list[str]) -> list[str]:
    """Returns the packages that the build used although they aren't declared."""
    status = subprocess.run(["dpkg-query", "-W", "-f", "${Package}\t${Provides}\t${Pre-Depends}\t${Depends}\n"], check=True,
                            text=True, stdout=subprocess.PIPE).stdout
    needs, providers = read_dependencies(status)
    allowed = find_closure(declared, needs, providers)
    used = list_used_files(folder, programs)
    owners = find_owners(used)
    findings = [f"packages: no package has {path}, which the build used" for path in sorted(used) if not owners[path]]
    undeclared: dict[str, list[str]] = {}
    for path in used:
        for package in owners[path] - allowed:
            undeclared.setdefault(package, []).append(path)
    findings += [f"packages: {package} is not declared, but the build used {min(paths)}"
                 for package, paths in sorted(undeclared.items())]
    findings += [f"packages: {package} is declared, but not installed here"
                 for package in declared if package not in providers]
    print(f"deploy: the build used {len(used)} files of {len(set().union(*owners.values()))} packages", flush=True)
    return findings


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
            if not found and is_native and release == "current":
                found = check_packages(folder, deploy["packages"], programs)
            findings += [f"{release} commit {commit[:7]} for {processor}: {finding}" for finding in found]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
