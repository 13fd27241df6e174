import re
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from bulrushloom.core.sentinels import Missing
from bulrushloom.management import main
from bulrushloom.management.commands import rules, status
from bulrushloom.management.fleet import HTTPStatusReader
from bulrushloom.rules.keys import key_digest
from tests.management.builders import FakeStatusReader, MemoryDirectory, MemoryStore
from tests.rules.builders import RULES_TEXT, with_line

STORE = "--store=127.0.0.1:7001"
DIRECTORY = "--directory=127.0.0.1:7002"


@pytest.fixture
def platform(monkeypatch, tmp_path):
    store, directory = MemoryStore(), MemoryDirectory()
    reader = FakeStatusReader({f"127.0.0.1:{i}": 0 for i in range(3)})
    in_force = dict.fromkeys(reader.version_by_address, 1)
    store.before_swap = lambda: reader.version_by_address.update(in_force)
    monkeypatch.setattr(rules, "open_store", lambda address: store)
    for module in (rules, status):
        monkeypatch.setattr(module, "open_directory", lambda address: directory)
        monkeypatch.setattr(module, "HTTPStatusReader", lambda: reader)
    (tmp_path / "rules").write_text(RULES_TEXT)
    monkeypatch.chdir(tmp_path)
    return store, reader


def assert_exit_status(status, *arguments):
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == status


def test_apply_reports_changes_and_where_they_are_in_force(platform, capsys):
    main(["rules", "apply", "rules", STORE, DIRECTORY, "--author=maya"])
    output = capsys.readouterr().out
    assert "added account dispatch rate=2.5 burst=10" in output
    assert "applied as version 1" in output
    assert "in force at 3 of 3 instances" in output
    main(["rules", "status", STORE, DIRECTORY])
    output = capsys.readouterr().out
    assert "store: version 1, applied by maya at" in output
    assert "n2 (domain d): version 1, in force" in output
    main(["rules", "history", STORE])
    assert "version 1 by maya at" in capsys.readouterr().out


def test_applied_version_exceeds_those_of_all_instances(platform, capsys):
    platform[1].version_by_address["127.0.0.1:1"] = 9
    platform[1].version_by_address["127.0.0.1:0"] = 10
    platform[0].before_swap = lambda: platform[1].version_by_address.update(
        {"127.0.0.1:0": 12, "127.0.0.1:1": 11, "127.0.0.1:2": 11}
    )
    assert_exit_status(1, "rules", "apply", "rules", STORE, DIRECTORY)
    output = capsys.readouterr()
    assert "applied as version 11" in output.out
    assert "1 instances run a higher version than 11: another change" in output.err


def test_unknown_option_is_reported_before_apply_runs(platform, capsys):
    assert_exit_status(2, "rules", "apply", "rules", STORE, "--dry_run")
    assert platform[0].swap_count == 0


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (["rules", "apply", "rules"], "needs --settings FILE or --store"),
        (["rules", "apply", "rules", "--store=host:1"], "--store: 'host:1' is not"),
        (["rules", "apply", "none", STORE], "none: No such file"),
        (["rules", "apply", "rules", STORE, "--base=x"], "--base: 'x' is not"),
        (["status"], "needs --settings FILE or --directory"),
        (["serve", "--settings=none.yaml"], "none.yaml: No such file"),
    ],
)
def test_invalid_input_prints_one_line_and_exits_with_status_2(
    platform, capsys, arguments, reason
):
    assert_exit_status(2, *arguments)
    errors = capsys.readouterr().err
    assert re.fullmatch(rf"bulrushloom: {re.escape(reason)}.*\n", errors)


def test_check_reports_every_problem(platform, capsys, tmp_path):
    (tmp_path / "bad").write_text(with_line("group A # x: y\ngroup b"))
    assert_exit_status(2, "rules", "check", "bad")
    assert capsys.readouterr().err.count("bulrushloom: bad: line 1") == 2
    main(["rules", "check", "rules"])
    assert "3 targets, 2 accounts, 1 keys" in capsys.readouterr().out


def test_unavailable_store_exits_with_status_1(platform, capsys):
    platform[0].faults = ["lost"]
    assert_exit_status(1, "rules", "status", STORE)
    assert capsys.readouterr().err == (
        "bulrushloom: the store does not answer: no answer\n"
    )


def test_status_prints_one_line_per_instance(platform, capsys):
    platform[1].version_by_address["127.0.0.1:1"] = None
    main(["status", DIRECTORY])
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].endswith("rules=0 fresh=yes draining=no groups=0")
    assert lines[1].endswith("status=unknown reason='no answer'")


def test_new_key_matches_its_digest(capsys):
    main(["keys", "new"])
    key, digest = re.findall(r": +(\S+)$", capsys.readouterr().out, re.MULTILINE)
    assert key_digest(key) == digest


@pytest.mark.parametrize(
    "command",
    [
        ["serve"],
        ["rules", "check"],
        ["rules", "apply"],
        ["rules", "status"],
        ["rules", "history"],
        ["status"],
        ["keys", "new"],
    ],
)
def test_every_command_has_help(command, capsys):
    assert_exit_status(0, *command, "--help")
    assert re.search(r" - [A-Z].*\.", capsys.readouterr().err)


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"{", "the status is malformed"),
        (b'{"name": "n"}', "the status is malformed"),
        (None, "answered with status 503"),
    ],
)
def test_invalid_status_is_missing(body, reason):
    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            self.send_response(503 if body is None else 200)
            self.end_headers()
            self.wfile.write(body or b"")

        def log_message(self, *arguments):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.01,)).start()
    try:
        answer = HTTPStatusReader().read(f"127.0.0.1:{server.server_port}")
    finally:
        server.shutdown()
        server.server_close()
    assert isinstance(answer, Missing)
    assert answer.reason == reason
    refused = HTTPStatusReader().read(f"127.0.0.1:{server.server_port}")
    assert refused.reason == "no answer"
