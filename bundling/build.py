"""Build ``dist/bulrushloom``, an executable zip archive with all packages."""

import fcntl
import hashlib
import importlib.metadata
import platform
import re
import shutil
import subprocess
import sys
import tomllib
import zipfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import fire
from shiv import __version__ as shiv_version
from shiv.bootstrap.environment import Environment
from shiv.builder import create_archive

from bundling.launcher import MACHINE_ENTRY

ROOT = Path(__file__).resolve().parent.parent
ENTRY_POINT = "bulrushloom.management:main"
# -I and -S isolate the program from packages and settings of the host's Python.
INTERPRETER = "/usr/bin/env -S python3.11 -IS"
# A fixed time makes builds of the same packages byte-for-byte reproducible.
BUILD_TIME = "2026-01-01 00:00:00"
PIP_TIMEOUT_S = 300


class BuildPaths(NamedTuple):
    """The paths of intermediate results of a build."""

    packages: Path
    product: Path
    stamp: Path


def build(root: Path = ROOT) -> Path:
    """Build the executable and return its path.

    Builds in the same folder run one after the other. Raises ``CalledProcessError`` if
    pip fails.
    """
    work = root / "build" / "bundle"
    work.mkdir(parents=True, exist_ok=True)
    with locked(work / "lock"):
        return _build(root, work)


@contextmanager
def locked(path: Path) -> Iterator[None]:
    """Hold an exclusive lock on the file at ``path``; wait for its holder."""
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def _build(root: Path, work: Path) -> Path:
    paths = BuildPaths(work / "packages", work / "product", work / "stamp")
    _install_packages(root, paths)
    _copy_product(root, paths.product)
    target = root / "dist" / "bulrushloom"
    target.parent.mkdir(exist_ok=True)
    partial = target.with_suffix(".partial")
    environment = Environment(
        BUILD_TIME,
        shiv_version,
        # Compiling at the first start would run child processes.
        compile_pyc=False,
        entry_point=ENTRY_POINT,
        reproducible=True,
    )
    create_archive(
        [paths.packages, paths.product],
        partial,
        INTERPRETER,
        "launcher:main",
        environment,
    )
    _add_launcher(partial)
    partial.rename(target)
    return target


def _install_packages(root: Path, paths: BuildPaths) -> None:
    """Install the dependencies in the versions of the current environment.

    These are the versions that the tests use. Nothing is installed if dependencies,
    versions and the kind of machine are those of the previous build.
    """
    project = tomllib.loads((root / "pyproject.toml").read_text())["project"]
    dependencies: list[str] = project["dependencies"]
    versions = "\n".join(_installed_versions(dependencies))
    current_stamp = hashlib.sha256(
        "\n".join([platform.machine(), *dependencies, versions]).encode()
    ).hexdigest()
    if paths.stamp.exists() and paths.stamp.read_text() == current_stamp:
        return
    shutil.rmtree(paths.packages, ignore_errors=True)
    paths.packages.mkdir(parents=True)
    constraints = paths.stamp.with_name("constraints.txt")
    constraints.write_text(versions)
    _run_pip(
        "install",
        "--quiet",
        "--no-compile",
        "--only-binary=:all:",
        f"--target={paths.packages}",
        f"--constraint={constraints}",
        *dependencies,
    )
    shutil.rmtree(paths.packages / "bin", ignore_errors=True)
    paths.stamp.write_text(current_stamp)


def _installed_versions(requirements: list[str]) -> list[str]:
    """Return ``name==version`` of all direct and indirect requirements.

    The versions are those of the current environment. Its other packages are left out,
    so that a change of them doesn't cause a new build.
    """
    version_by_name: dict[str, str] = {}
    pending = list(requirements)
    while pending:
        name = re.split(r"[^\w.-]", pending.pop(), maxsplit=1)[0]
        if name in version_by_name:
            continue
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            # Required only on other platforms or for optional features.
            continue
        version_by_name[name] = distribution.version
        pending += [
            requirement
            for requirement in distribution.requires or []
            if "extra ==" not in requirement
        ]
    return sorted(f"{name}=={version}" for name, version in version_by_name.items())


def _run_pip(*arguments: str) -> str:
    command = [sys.executable, "-m", "pip", "--disable-pip-version-check", *arguments]
    completed = subprocess.run(
        command, check=True, stdout=subprocess.PIPE, text=True, timeout=PIP_TIMEOUT_S
    )
    return completed.stdout


def _copy_product(root: Path, folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(root / "bulrushloom", folder / "bulrushloom", ignore=ignore)


def _add_launcher(archive_path: Path) -> None:
    """Add the launcher and the kind of machine that the packages were built for."""
    source = Path(__file__).with_name("launcher.py").read_bytes()
    content_by_name = {
        "launcher.py": source,
        MACHINE_ENTRY: platform.machine().encode(),
    }
    with zipfile.ZipFile(archive_path, "a", zipfile.ZIP_DEFLATED) as archive:
        for name, content in content_by_name.items():
            entry = zipfile.ZipInfo(name, date_time=(2026, 1, 1, 0, 0, 0))
            archive.writestr(entry, content)


def main() -> None:
    """Build the executable and print its path and size."""
    path = build()
    print(f"{path.relative_to(ROOT)}: {path.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    fire.Fire(main)
