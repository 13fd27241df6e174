"""First module that runs in the one file: choose where its packages are unpacked."""

import os
import stat
import sys
from contextlib import suppress
from pathlib import Path

UNPACK_VARIABLE = "SHIV_ROOT"
# The instances have no disk: their temporary folder is backed by RAM. Elsewhere
# ``SHIV_ROOT`` names such a folder.
TEMPORARY_FOLDER = Path("/tmp")
BAD_INPUT_STATUS = 2


def main() -> None:
    """Unpack the packages if they are not there yet, then run the command line.

    The environment variable ``SHIV_ROOT`` names another folder for them.
    """
    if not os.environ.get(UNPACK_VARIABLE):
        folder = TEMPORARY_FOLDER / f"bulrushloom-{os.geteuid()}"
        try:
            prepare_folder(folder)
        except OSError as error:
            print(f"bulrushloom: {folder}: {error}", file=sys.stderr)
            raise SystemExit(BAD_INPUT_STATUS) from error
        os.environ[UNPACK_VARIABLE] = str(folder)
    from _bootstrap import bootstrap

    bootstrap()


def prepare_folder(folder: Path) -> None:
    """Create the folder or raise ``OSError`` if another user could change it.

    The parent is writable for all users, so the name may already be taken by a link
    or a folder of somebody else, from which code would then be loaded.
    """
    with suppress(FileExistsError):
        folder.mkdir(mode=0o700)
    status = folder.lstat()
    if not stat.S_ISDIR(status.st_mode):
        raise NotADirectoryError("is not a folder")
    if status.st_uid != os.geteuid():
        raise PermissionError("belongs to another user")
    if status.st_mode & (stat.S_IWGRP | stat.S_IWOTH):
        raise PermissionError("is writable for other users")
