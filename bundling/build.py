"""Builder of ``dist/bulrushloom``: packages in one file that Python runs."""

import hashlib
import importlib.metadata
import re
import shutil
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path
from typing import NamedTuple

import fire
from shiv import __version__ as shiv_version
from shiv.bootstrap.environment import Environment
from shiv.builder import create_archive

ROOT = Path(__file__).resolve().parent.parent
ENTRY_POINT = "bulrushloom.management:main"
# -I and -S keep packages and settings of the host's Python out.
INTERPRETER = "/usr/bin/env -S python3.11 -IS"
# A fixed time makes builds of the same packages equal, byte by byte.
BUILT_AT = "2026-01-01 00:00:00"
PIP_TIMEOUT_S = 300


class Folders(NamedTuple):
    """Name the folders of a build."""

    packages: Path
    product: Path
    stamp: Path


def build(root: Path = ROOT) -> Path:
    """Build the file and return its path; raise ``CalledProcessError`` if pip fails."""
    work = root / "build" / "bundle"
    folders = Folders(work / "packages", work / "product", work / "stamp")
    _install_packages(root, folders)
    _copy_product(root, folders.product)
    target = root / "dist" / "bulrushloom"
    target.parent.mkdir(exist_ok=True)
    partial = target.with_suffix(".partial")
    environment = Environment(
        BUILT_AT,
        shiv_version,
        # Compiling at the first start would use child processes.
        compile_pyc=False,
        entry_point=ENTRY_POINT,
        reproducible=True,
    )
    create_archive(
        [folders.packages, folders.product],
        partial,
        INTERPRETER,
        "launcher:main",
        environment,
    )
    _add_launcher(partial)
    partial.rename(target)
    return target


def _install_packages(root: Path, folders: Folders) -> None:
    """Install the declared packages, in the versions that the tests use."""
    project = tomllib.loads((root / "pyproject.toml").read_text())["project"]
    dependencies: list[str] = project["dependencies"]
    versions = "\n".join(_installed_versions(dependencies))
    wanted = hashlib.sha256("\n".join([*dependencies, versions]).encode()).hexdigest()
    if folders.stamp.exists() and folders.stamp.read_text() == wanted:
        return
    shutil.rmtree(folders.packages, ignore_errors=True)
    folders.packages.mkdir(parents=True)
    constraints = folders.stamp.with_name("constraints.txt")
    constraints.write_text(versions)
    _run_pip(
        "install",
        "--quiet",
        "--no-compile",
        "--only-binary=:all:",
        f"--target={folders.packages}",
        f"--constraint={constraints}",
        *dependencies,
    )
    shutil.rmtree(folders.packages / "bin", ignore_errors=True)
    folders.stamp.write_text(wanted)


def _installed_versions(requirements: list[str]) -> list[str]:
    """Return ``name==version`` of all packages needed, as installed here.

    Other packages of the environment must not cause a new build.
    """
    version_by_name: dict[str, str] = {}
    todo = list(requirements)
    while todo:
        name = re.split(r"[^\w.-]", todo.pop(), maxsplit=1)[0]
        if name in version_by_name:
            continue
        try:
            found = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            # Needed only on other platforms or by an optional part.
            continue
        version_by_name[name] = found.version
        todo += [need for need in found.requires or [] if "extra ==" not in need]
    return sorted(f"{name}=={version}" for name, version in version_by_name.items())


def _run_pip(*arguments: str) -> str:
    command = [sys.executable, "-m", "pip", "--disable-pip-version-check", *arguments]
    done = subprocess.run(
        command, check=True, stdout=subprocess.PIPE, text=True, timeout=PIP_TIMEOUT_S
    )
    return done.stdout


def _copy_product(root: Path, folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(root / "bulrushloom", folder / "bulrushloom", ignore=ignore)


def _add_launcher(archive_path: Path) -> None:
    source = Path(__file__).with_name("launcher.py").read_bytes()
    entry = zipfile.ZipInfo("launcher.py", date_time=(2026, 1, 1, 0, 0, 0))
    with zipfile.ZipFile(archive_path, "a", zipfile.ZIP_DEFLATED) as archive:
        archive.writestr(entry, source)


def main() -> None:
    """Build the file and print its path and size."""
    path = build()
    print(f"{path.relative_to(ROOT)}: {path.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    fire.Fire(main)
