"""Entry point of the executable, which chooses the folder to unpack packages into."""

import os
import platform
import stat
import sys
import zipfile
from contextlib import suppress
from pathlib import Path

UNPACK_VARIABLE = "SHIV_ROOT"
# Instances run on hosts without a disk, where this folder is backed by RAM. On other
# hosts, ``SHIV_ROOT`` should name a folder that is.
TEMPORARY_FOLDER = Path("/tmp")
BAD_INPUT_EXIT_STATUS = 2
# Entry of the executable with the kind of machine for which its packages were built.
MACHINE_ENTRY = "machine.txt"


def main() -> None:
    """Unpack the packages if they aren't unpacked yet, then run the command line.

    The environment variable ``SHIV_ROOT`` overrides the default folder.
    """
    problem = machine_problem(Path(sys.argv[0]), platform.machine())
    if problem:
        print(f"bulrushloom: {problem}", file=sys.stderr)
        raise SystemExit(BAD_INPUT_EXIT_STATUS)
    if not os.environ.get(UNPACK_VARIABLE):
        folder = TEMPORARY_FOLDER / f"bulrushloom-{os.geteuid()}"
        try:
            prepare_folder(folder)
        except OSError as error:
            print(f"bulrushloom: {folder}: {error}", file=sys.stderr)
            raise SystemExit(BAD_INPUT_EXIT_STATUS) from error
        os.environ[UNPACK_VARIABLE] = str(folder)
    from _bootstrap import bootstrap

    bootstrap()


def machine_problem(archive_path: Path, machine: str) -> str:
    """Return why the executable cannot run on this kind of machine, or "".

    Its packages contain compiled code, which otherwise fails to import with an error
    that does not name the cause.
    """
    with zipfile.ZipFile(archive_path) as archive:
        built_for = archive.read(MACHINE_ENTRY).decode()
    if built_for == machine:
        return ""
    return f"{archive_path} was built for {built_for} and cannot run on {machine}"


def prepare_folder(folder: Path) -> None:
    """Create the folder, or check that only this user can change an existing one.

    The parent is writable by all users. Another user may already have created a link or
    a folder of this name, and the program would load code from it. Raises ``OSError``
    in these cases.
    """
    with suppress(FileExistsError):
        folder.mkdir(mode=0o700)
    status = folder.lstat()
    if not stat.S_ISDIR(status.st_mode):
        raise NotADirectoryError("is not a folder")
    if status.st_uid != os.geteuid():
        raise PermissionError("belongs to another user")
    if status.st_mode & (stat.S_IWGRP | stat.S_IWOTH):
        raise PermissionError("is writable by other users")
