"""The folder into which the executable unpacks its packages."""

import zipfile

import pytest

from bundling.launcher import MACHINE_ENTRY, machine_problem, prepare_folder


def test_own_folder_is_created_and_accepted_again(tmp_path):
    folder = tmp_path / "packages"
    prepare_folder(folder)
    prepare_folder(folder)
    assert folder.stat().st_mode & 0o777 == 0o700


def test_link_of_another_user_is_refused(tmp_path):
    # The executable would load code from the folder that the link points to.
    link = tmp_path / "packages"
    link.symlink_to(tmp_path)
    with pytest.raises(NotADirectoryError):
        prepare_folder(link)


def test_folder_writable_for_others_is_refused(tmp_path):
    folder = tmp_path / "packages"
    folder.mkdir()
    folder.chmod(0o777)
    with pytest.raises(PermissionError):
        prepare_folder(folder)


def test_executable_of_another_kind_of_machine_is_refused(tmp_path):
    # Guards against an import error deep inside a compiled package.
    path = tmp_path / "bulrushloom"
    with zipfile.ZipFile(path, "w") as archive:
        archive.writestr(MACHINE_ENTRY, "x86_64")
    assert machine_problem(path, "x86_64") == ""
    problem = machine_problem(path, "aarch64")
    assert "was built for x86_64 and cannot run on aarch64" in problem
