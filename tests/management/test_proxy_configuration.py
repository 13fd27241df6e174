"""Exit statuses and output of ``proxy-configuration check``."""

import os
import subprocess
import sys

import orjson
import pytest

from bulrushloom.management import main
from standins.platform.documents import build_document


@pytest.fixture
def write(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)

    def write(name, document):
        (tmp_path / name).write_bytes(orjson.dumps(document))

    return write


def exit_status(*arguments):
    with pytest.raises(SystemExit) as caught:
        main(["proxy-configuration", "check", *arguments])
    return caught.value.code


def test_correct_document_and_its_differences(write, capsys):
    write("new.json", build_document(8, Limits={"TxIdleMs": 1000}))
    write("old.json", build_document(7))
    main(["proxy-configuration", "check", "new.json", "--in-force", "old.json"])
    assert capsys.readouterr().out.splitlines() == [
        "version: 7 -> 8",
        "transaction idle limit: 0:00:02.500000 -> 0:00:01",
        "new.json: correct: version 8, 2 routes, 1 services, 1 accounts, 2 keys",
    ]


def test_problems_end_with_status_1(write, capsys):
    write("new.json", build_document(7, Services=[]))
    write("old.json", build_document(7))
    assert exit_status("new.json", "--in-force=old.json") == 1
    errors = capsys.readouterr().err.splitlines()
    assert errors == [
        "bulrushloom: new.json: error: "
        "version 7 is not higher than 7, which is in force with other content",
        "bulrushloom: new.json: warning: database stock: there is no service orders",
        "bulrushloom: new.json: warning: database booking: there is no service orders",
    ]


def test_accepted_document_with_warnings_ends_with_status_3(write, capsys):
    # Guards against the status of a refused document for one that instances accept.
    write("new.json", build_document(8, Services=[]))
    write("old.json", build_document(7))
    assert exit_status("new.json", "--in-force=old.json") == 3
    output = capsys.readouterr()
    assert output.out.splitlines() == ["version: 7 -> 8", "service orders: removed"]
    assert len(output.err.splitlines()) == 2
    write("new.json", build_document(8, Services=[5]))
    assert exit_status("new.json", "--in-force=old.json") == 1


def test_unreadable_files_and_arguments_end_with_status_2(write):
    write("new.json", build_document())
    write("broken.json", "x")
    assert exit_status("missing.json") == 2
    assert exit_status("new.json", "--in-force=missing.json") == 2
    assert exit_status("new.json", "--in-force=broken.json") == 2
    assert exit_status("new.json", "--unknown=1") == 2


def test_version_in_force_is_any_document_that_instances_accept(write, capsys):
    # Guards against status 2 for a document in force that instances have accepted,
    # although the check finds problems in it.
    services = [{"Name": "orders", "MaxConns": "40", "SyncReplicas": 1}]
    write("new.json", build_document(8))
    write("old.json", build_document(7, Services=services))
    main(["proxy-configuration", "check", "new.json", "--in-force", "old.json"])
    assert "service orders: max_connections 40 -> 42" in capsys.readouterr().out


@pytest.mark.parametrize("name", ["1e3", "0x10", "None", "True", "[new]", "a,b"])
def test_file_names_are_not_read_as_python_values(write, capsys, name):
    # Guards against "1e3" opened as "1000.0", and against "None", which left out the
    # comparison with the version in force without a word.
    write(name, build_document(8))
    write("old.json", build_document(7))
    main(["proxy-configuration", "check", name, "--in-force", "old.json"])
    assert f"{name}: correct: version 8" in capsys.readouterr().out
    write("new.json", build_document(9))
    main(["proxy-configuration", "check", "new.json", f"--in-force={name}"])
    assert "version: 8 -> 9" in capsys.readouterr().out


def test_second_file_without_its_option_is_an_error(write, capsys):
    # Guards against a script that passes several files, of which only the first would
    # be checked.
    write("new.json", build_document(8))
    write("other.json", build_document(7))
    assert exit_status("new.json", "other.json") == 2
    assert "correct" not in capsys.readouterr().out


def test_file_without_an_end_is_read_up_to_the_limit(write):
    # Guards against a check that fills the memory when the path is a device.
    assert exit_status("/dev/zero") == 1
    write("new.json", build_document(8))
    assert exit_status("new.json", "--in-force=/dev/zero") == 2


def check_in_a_process(directory, **options):
    return subprocess.Popen(
        [sys.executable, "-m", "bulrushloom", "proxy-configuration", "check"]
        + ["new.json", "--in-force=old.json"],
        cwd=directory,
        stderr=subprocess.PIPE,
        **options,
    )


def test_names_that_the_terminal_cannot_show_do_not_end_the_check(write, tmp_path):
    # Guards against a traceback with status 1, which looks like a problem.
    write("new.json", build_document(8))
    routes = [build_document()["Routes"][0] | {"Host": "\u043a"}]
    write("old.json", build_document(7, Routes=routes))
    environment = os.environ | {"PYTHONIOENCODING": "ascii"}
    process = check_in_a_process(
        tmp_path, env=environment, stdout=subprocess.PIPE, text=True
    )
    output, errors = process.communicate(timeout=60)
    assert (process.returncode, errors) == (0, "")
    assert "route of database \\u043a: removed" in output.splitlines()


def test_closed_output_does_not_change_the_status(write, tmp_path):
    # Guards against status 120 in a pipeline whose reader ends early.
    write("new.json", build_document(8))
    write("old.json", build_document(7))
    reading, writing = os.pipe()
    os.close(reading)
    process = check_in_a_process(tmp_path, stdout=writing)
    os.close(writing)
    _, errors = process.communicate(timeout=60)
    assert (process.returncode, errors) == (0, b"")
