"""Exit statuses and output of ``proxy-configuration check``."""

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
        "bulrushloom: new.json: database stock: there is no service orders",
        "bulrushloom: new.json: database booking: there is no service orders",
        "bulrushloom: new.json: version 7 is not higher than 7, which is in force",
    ]


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
