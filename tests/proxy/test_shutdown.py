"""Planned stop of a running instance."""

import socket
from contextlib import ExitStack, closing

import pytest

from bulrushloom.proxy.stopping import SHUTDOWN_MARGIN, STOP_REASON, StopPlan
from tests.proxy.builders import ms
from tests.proxy.node_builders import SECOND, STEP, RunningNode

GRACE = SECOND * 6


@pytest.fixture
def running(tmp_path):
    with ExitStack() as stack:
        node = RunningNode(stack, tmp_path / "settings.yaml")
        node.run(SECOND)
        yield node


def accepts(running):
    with closing(socket.socket(socket.AF_INET, socket.SOCK_STREAM)) as sock:
        sock.settimeout(0.5)
        return sock.connect_ex(running.address("session_address")) == 0


def test_no_session_is_accepted_once_the_instance_ends_its_registration(running):
    # Guards against a statement that is cut: while the entry in the store was removed,
    # which takes up to 0.35 s, a stopping instance accepted sessions that could not end
    # any more. The load balancer uses it if its whole domain is stopping.
    running.node._on_signal(15)
    was_accepted = accepts(running)
    while any(key.startswith("members/") for key in running.store.item_by_key):
        running.loop.run_once(STEP)
    assert was_accepted
    assert not accepts(running)


def test_session_that_was_accepted_last_is_served(running):
    # Guards against the opposite: a session that is cut because the listener closes.
    running.node._on_signal(15)
    greeting = running.answer("session_address", b"START stock key-2\r\n", b"\r\n")
    assert greeting == b"READY I -\r\n"
    answer = running.answer(
        "session_address",
        b"START stock key-2\r\nQUERY 1 SET a b\r\n",
        b"DONE -\r\nREADY I -\r\n",
    )
    assert answer.endswith(b"DONE -\r\nREADY I -\r\n")


def test_no_request_of_a_client_that_never_pauses_is_cut(running):
    # Guards against sessions that stay open until the process ends, because they are
    # never found idle.
    running.node.settings = running.node.settings._replace(stop_grace=SECOND * 2)
    stopped = []
    running.loop.stop = lambda: stopped.append(running.loop.now())
    request = b"QUERY 1 READ 5\r\n"
    with closing(socket.create_connection(running.address("session_address"))) as sock:
        sock.setblocking(False)
        sock.sendall(b"START stock key-2\r\n")
        running.node._on_signal(15)
        received, is_closed = b"", False
        while not stopped and not is_closed:
            running.loop.run_once(STEP)
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                continue
            is_closed, received = not data, received + data
            if received.endswith(b"READY I -\r\n") and not is_closed:
                received = b""
                sock.sendall(request)
    assert is_closed and not stopped
    assert running.loop.now() < running.node.services.stop_plan.leaves_at


def test_stop_ends_although_the_store_does_not_answer(running):
    running.node.settings = running.node.settings._replace(stop_grace=SECOND * 2)
    running.store.status = 503
    running.node._on_signal(15)
    end = running.loop.now() + SECOND * 2
    stopped = []
    running.loop.stop = lambda: stopped.append(running.loop.now())
    while not stopped and running.loop.now() < end:
        running.loop.run_once(STEP)
    assert stopped and stopped[0] <= end - SHUTDOWN_MARGIN * 0.4


def begin_stop(instance, elapsed):
    """Put the instance into the state of a planned stop that began ``elapsed`` ago."""
    plan = StopPlan(instance.loop.now() - elapsed, GRACE)
    instance.services.stop_plan = plan
    if instance.loop.now() >= plan.closes_sessions_at:
        instance.services.session_close_reason = STOP_REASON


def answers_of_a_client_that_never_pauses(instance, texts):
    """Send each statement in the moment in which the answer before it arrives."""
    client, answers = instance.client("strict"), []
    for number, text in enumerate(texts, 1):
        client.send(f"QUERY busy-{number} {text}")
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            instance.run(ms(1))
            lines += client.received()
            if client.stream.at_eof and not lines:
                return answers
        answers.append(lines)
    return answers


def test_session_in_constant_use_is_closed_with_a_refusal(instance):
    # Guards against a session that no poll finds idle: it was cut with the request that
    # ran when the process ended. Closed after a success, it would lose the next request
    # of the client, which is on its way.
    begin_stop(instance, ms(2700))
    answers = answers_of_a_client_that_never_pauses(instance, ["READ 1"] * 50)
    assert 2 < len(answers) < 50
    assert all(lines[-2].startswith("DONE signed") for lines in answers[:-1])
    assert answers[-1][0] == "ERR BUSY the instance stops; retry after 100 ms"


def test_session_stays_open_until_the_load_balancer_has_removed_the_instance(instance):
    begin_stop(instance, ms(100))
    answers = answers_of_a_client_that_never_pauses(instance, ["READ 1"] * 5)
    assert len(answers) == 5


def test_request_that_was_received_before_the_close_is_answered(instance):
    # The opposite case: requests that have already arrived are not dropped.
    begin_stop(instance, ms(2400))
    client = instance.client("strict")
    client.send("QUERY first READ 1")
    client.send("QUERY second READ 2")
    instance.run(ms(200))
    assert [line for line in client.received() if line.startswith("DONE")] == [
        "DONE signed-first",
        "DONE signed-second",
    ]


def test_requests_that_were_sent_without_waiting_are_refused_one_by_one(instance):
    # Guards against a close that drops requests which have arrived.
    client = instance.client("strict")
    begin_stop(instance, ms(3100))
    client.send("QUERY first READ 1")
    client.send("QUERY second READ 2")
    instance.run(ms(10))
    assert len([x for x in client.received() if x.startswith("ERR BUSY")]) == 2
    assert client.stream.at_eof


def test_transaction_without_pauses_is_aborted_in_time(instance):
    # Guards against a transaction that is never found between two statements.
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 data")
    begin_stop(instance, ms(3100))
    lines = client.query("READ 1")
    assert lines[0].startswith("ERR ABORTED")
    assert client.query("ROLLBACK")[-1].startswith("READY I")
    assert instance.group.acknowledged == []


def test_transaction_still_commits_in_the_second_half_of_the_grace(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 data")
    begin_stop(instance, ms(3100))
    assert client.query("COMMIT")[0].startswith("DONE signed")


def test_work_that_may_not_be_finished_is_refused_at_once(instance):
    client = instance.client("strict")
    begin_stop(instance, ms(3100))
    answer = client.query("WRITE 1 data", ms(50))
    assert answer[0].startswith("ERR BUSY the instance stops")
    assert instance.group.runs == []


def test_new_transaction_is_refused_once_sessions_are_closed(instance):
    client = instance.client("strict")
    begin_stop(instance, ms(2400))
    assert client.query("BEGIN")[0].startswith("ERR BUSY the instance stops")


@pytest.mark.parametrize(
    "texts, code",
    [
        (["READ 1"], "FAILED"),
        (["WRITE 1 data"], "INDOUBT"),
        (["PREPARE s WRITE shape", "EXEC s 1 data"], "INDOUBT"),
        (["BEGIN", "WRITE 1 data"], "ABORTED"),
        (["BEGIN", "WRITE 1 data", "COMMIT"], "INDOUBT"),
    ],
)
def test_request_that_outlasts_the_grace_is_answered(instance, texts, code):
    # Guards against a connection that ends without an answer, which tells the client
    # less than the instance knows.
    client = instance.client("strict")
    for text in texts[:-1]:
        client.query(text)
    instance.group.primary().work = SECOND
    client.send(f"QUERY last {texts[-1]}")
    instance.run(ms(100))
    client.session.end()
    instance.run(ms(10))
    assert client.received() == [f"ERR {code} the instance stops"]


def test_idle_sessions_end_without_a_message(instance):
    client = instance.client("strict")
    client.query("READ 1")
    client.session.end()
    instance.run(ms(10))
    assert client.received() == []


@pytest.mark.parametrize("grace", [SECOND, SECOND * 2, GRACE, SECOND * 30])
def test_steps_of_a_stop_are_in_order(grace):
    plan = StopPlan(SECOND, grace)
    steps = (
        plan.started_at,
        plan.closes_sessions_at,
        plan.refuses_work_at,
        plan.leaves_at,
        plan.ends_at,
    )
    assert list(steps) == sorted(steps)
    assert plan.ends_at < plan.started_at + grace


def test_isolated_instance_closes_sessions_in_constant_use(instance):
    # The same cause: a session of an isolated instance stayed there while it was used.
    instance.services.session_close_reason = "the instance is cut off"
    assert len(answers_of_a_client_that_never_pauses(instance, ["READ 1"] * 3)) == 3
    instance.store_is_reachable = False
    instance.run(ms(2200))
    assert len(answers_of_a_client_that_never_pauses(instance, ["READ 1"] * 3)) == 1


def test_long_timeouts_do_not_refuse_work_in_the_first_half(instance):
    # The opposite case: most statements need a fraction of their timeout.
    configuration = instance.services.configuration
    route = configuration.route_by_database["strict"]
    route = route._replace(statement_timeout=SECOND * 20)
    instance.services.configuration = configuration._replace(
        route_by_database=configuration.route_by_database | {"strict": route}
    )
    client = instance.client("strict")
    begin_stop(instance, ms(2900))
    assert client.query("READ 1")[-2].startswith("DONE signed")
