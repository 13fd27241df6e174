"""Servers run only what clients sent: malformed input and changed keys at real daemons.

The messages that a client sent are determined here from the bytes that it wrote: each
ends with CR LF. Servers that end a line at other characters as well must not see any
of them inside a statement.
"""

import re
from contextlib import ExitStack, closing
from datetime import timedelta

import pytest

from bulrushloom.runtime.streams import TcpNetwork
from standins.platform.host import Platform
from tests.processes.test_proxy_daemon import open_session, wait_ready
from tests.runtime.builders import running_loop, wait_for, wait_until

SECOND = timedelta(seconds=1)
MAX_LINE_BYTES = 1024 * 1024
ACCOUNTS = [
    {"Name": name, "ApiKeys": [key], "Priority": 1, "RatePerS": 68, "Burst": 70}
    for name, key in (("hotel", "key-1"), ("shop", "key-3"))
]


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    with ExitStack() as stack:
        loop = stack.enter_context(running_loop())
        platform = Platform(stack, loop, tmp_path_factory.mktemp("daemon"))
        platform.configure(2, Tenants=ACCOUNTS)
        platform.send_heartbeats()
        platform.daemon = platform.start("north-1")
        wait_ready(platform, platform.daemon)
        platform.received_lines = record_lines(platform)
        yield platform


def record_lines(platform):
    """Record the raw bytes that the servers receive."""
    received = []
    for server in platform.group.server_by_id.values():
        accept = server.accept

        def accept_recorded(stream, accept=accept):
            accept(stream)
            handle = stream.read_line

            def read_line(limit):
                line = handle(limit)
                if line is not None:
                    received.append(line)
                return line

            stream.read_line = read_line

        server.accept = accept_recorded
        platform.listener_by_id[server.server_id]._accept = accept_recorded
    return received


def send_raw(platform, data, wait=SECOND):
    """Send bytes on a new connection and leave; return what was answered."""
    opening = TcpNetwork(platform.loop).connect(
        platform.daemon.addresses["session_address"], SECOND
    )
    stream = wait_for(platform.loop, opening)
    stream.write(data)
    end = platform.loop.now() + wait
    while platform.loop.now() < end and not stream.at_eof:
        platform.loop.run_once(timedelta(milliseconds=20))
    answer = stream.read_all()
    stream.close("left")
    wait_until(platform.loop, lambda: True)
    return answer


def sent_statements(data):
    """Return the text by request id of the complete messages in ``data``."""
    sent = {}
    for line in data.split(b"\r\n")[:-1]:
        word, _, rest = line.partition(b" ")
        if word == b"QUERY":
            request_id, _, text = rest.partition(b" ")
            sent[request_id.decode()] = text.decode()
    return sent


FORMS = {
    "line feed in data": b"QUERY a WRITE 6 two crates\nQUERY b WRITE 7 free\r\n",
    "carriage return in data": b"QUERY a WRITE 6 two\rQUERY b WRITE 7 free\r\n",
    "line feed before the end": b"QUERY a WRITE 6 two\n\r\n",
    "carriage return before the end": b"QUERY a WRITE 6 two\r\r\n",
    "line feed in an id": b"QUERY a\nQUERY b WRITE 7 free\r\n",
    "line feed in a value": b"QUERY a SET zone x\nQUERY b WRITE 7 free\r\n"
    b"QUERY c READ 1\r\n",
    "line feed in a shape": b"QUERY a PREPARE s WRITE q\nQUERY b WRITE 7 free\r\n"
    b"QUERY c EXEC s 1 data\r\n",
    "line feed in arguments": b"QUERY a PREPARE s WRITE q\r\n"
    b"QUERY c EXEC s 1 data\nQUERY b WRITE 7 free\r\n",
    "only line feeds": b"QUERY a READ 1\nQUERY b WRITE 7 free\nQUERY c READ 2\n",
    "other line separators": "QUERY a WRITE 6 x\x0b\x0c\x1c\x85\u2028y\r\n".encode(),
    "zero byte": b"QUERY a WRITE 6 x\x00QUERY b WRITE 7 free\r\n",
    "incomplete line": b"QUERY a READ 1\r\nQUERY b WRITE 7 fr",
    "line over the limit": b"QUERY a WRITE 6 " + b"x" * MAX_LINE_BYTES + b"\r\n"
    b"QUERY b READ 1\r\n",
    "id of the proxy": b"QUERY - WRITE 6 x\r\nQUERY - COMMIT\r\n",
    "condition of the proxy": b"QUERY a AFTER 1.1 READ 1\r\n",
    "command to servers": b"QUERY a DEMOTE 9\r\nQUERY b PAUSE 9\r\nQUERY c RESET\r\n",
    "blanks": b"QUERY a  WRITE 6 x\r\nQUERY b WRITE 6  x  y \r\n",
    "second start": b"START booking key-3\r\nQUERY a READ 1\r\n",
    "open transaction": b"QUERY a BEGIN\r\nQUERY b WRITE 6 x\r\n",
    "transaction and leave": b"QUERY a BEGIN\r\nQUERY b WRITE 6 x\r\nBYE\r\n",
    "commit in a line": b"QUERY a BEGIN\r\nQUERY b WRITE 6 x\nQUERY c COMMIT\r\n",
    "rolled back": b"QUERY a BEGIN\r\nQUERY b WRITE 6 x\r\nQUERY c ROLLBACK\r\n"
    b"QUERY d COMMIT\r\n",
}


@pytest.mark.parametrize("form", FORMS)
def test_servers_run_only_messages_that_the_client_sent(platform, form):
    # Guards against statements that are smuggled inside others, or run with another
    # text: a line feed in the data of a write started a second statement.
    prefix = re.sub(r"\W", "", form).encode()
    data = re.sub(rb"QUERY (\w)", rb"QUERY " + prefix + rb"-\1", FORMS[form])
    sent = sent_statements(data)
    first_run, first_line = len(platform.group.runs), len(platform.received_lines)
    log_before = len(platform.group.primary().log)
    answer = send_raw(platform, b"START booking key-1\r\n" + data)
    assert answer.startswith(b"READY")
    for run in platform.group.runs[first_run:]:
        text = sent.get(run.request_id)
        assert text is not None, run
        assert run.text == text or text.startswith("EXEC"), run
        assert run.account == "hotel"
    for line in platform.received_lines[first_line:]:
        assert b"\n" not in line and b"\r" not in line
    ended = [i for i, text in sent.items() if text == "COMMIT"]
    writes = [i for i, text in sent.items() if text.startswith(("WRITE", "EXEC"))]
    if "BEGIN" in sent.values() and not ended:
        assert len(platform.group.primary().log) == log_before
    committed = {
        request_id
        for commit in platform.group.primary().log[log_before:]
        for request_id in commit.request_ids
    }
    assert committed <= set(writes)


def test_servers_get_the_account_that_holds_the_key(platform):
    # Guards against work on a pooled connection of another account, also while keys
    # move from one account to the other.
    hotel = open_session(platform, platform.daemon, key="key-1")
    shop = open_session(platform, platform.daemon, key="key-3")
    with closing(hotel.stream), closing(shop.stream):
        for caller, account in ((hotel, "hotel"), (shop, "shop"), (hotel, "hotel")):
            caller.query("WRITE 1 data")
            assert platform.group.runs[-1].account == account
        pausing = open_session(platform, platform.daemon, key="key-3")
        pausing.query("BEGIN")
        pausing.query("WRITE 1 data")
        swapped = [
            account | {"ApiKeys": other["ApiKeys"]}
            for account, other in zip(ACCOUNTS, reversed(ACCOUNTS), strict=True)
        ]
        platform.configure(3, Tenants=swapped)
        end = platform.loop.now() + SECOND * 3
        while platform.loop.now() < end:
            platform.loop.run_once(timedelta(milliseconds=20))
        for caller, account in ((hotel, "shop"), (shop, "hotel")):
            caller.query("WRITE 1 data")
            assert platform.group.runs[-1].account == account
        # A transaction continues on its connection, which belongs to the former holder.
        assert pausing.query("COMMIT")[0].startswith("ERR ABORTED")
        pausing.stream.close("done")
        platform.configure(4, Tenants=ACCOUNTS)
