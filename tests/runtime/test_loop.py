"""Tasks, timers and futures of the event loop."""

from concurrent.futures import Future
from datetime import timedelta

import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.runtime.loop import Loop
from standins.platform.network import run_for

SECOND = timedelta(seconds=1)


@pytest.fixture
def loop():
    errors = []
    loop = Loop(ManualClock(), errors.append)
    loop.errors = errors
    yield loop
    loop.close()


def test_task_waits_and_returns(loop):
    def steps():
        yield loop.sleep(SECOND)
        return loop.now()

    task = loop.spawn(steps())
    run_for(loop, SECOND * 2)
    assert task.result() == SECOND


def test_exception_of_an_awaited_future_is_raised_in_the_task(loop):
    awaited = Future()

    def steps():
        try:
            yield awaited
        except KeyError:
            return "caught"

    task = loop.spawn(steps())
    loop.call_soon(lambda: awaited.set_exception(KeyError()))
    run_for(loop, SECOND)
    assert task.result() == "caught"


def test_error_of_a_spawned_task_is_reported(loop):
    def steps():
        yield loop.sleep(SECOND)
        raise ValueError("broken")

    loop.spawn(steps())
    run_for(loop, SECOND * 2)
    assert [str(error) for error in loop.errors] == ["broken"]


def test_supervised_task_is_restarted_after_an_error(loop):
    # Guards against a daemon that keeps running without one of its tasks.
    starts = []

    def steps():
        starts.append(loop.now())
        yield loop.sleep(SECOND)
        raise ValueError("broken")

    loop.supervise(steps)
    run_for(loop, SECOND * 4)
    assert len(starts) >= 3


def test_wait_times_out_and_a_late_result_is_dropped(loop):
    late = Future()
    limited = loop.wait_for(late, SECOND)
    run_for(loop, SECOND * 2)
    with pytest.raises(TimeoutError):
        limited.result()
    late.set_result(1)


def test_first_of_is_done_with_the_first_future(loop):
    first, second = loop.sleep(SECOND), loop.sleep(SECOND * 2)
    done = loop.first_of([first, second])
    run_for(loop, SECOND * 3)
    assert done.done()


def test_cancelled_timer_is_not_called(loop):
    called = []
    timer = loop.call_later(SECOND, lambda: called.append(1))
    timer.cancel()
    assert loop.next_timer_at() is None
    run_for(loop, SECOND * 2)
    assert called == []


def raise_error():
    raise ValueError("broken")


def test_error_of_a_callback_is_reported_and_the_loop_continues(loop):
    # Guards against one unexpected error that ends the process.
    called = []
    loop.call_soon(raise_error)
    loop.call_later(SECOND, raise_error)
    loop.call_later(SECOND, lambda: called.append(loop.now()))
    run_for(loop, SECOND * 2)
    assert called == [SECOND]
    assert [str(error) for error in loop.errors] == ["broken", "broken"]
    assert loop.error_count == 2


def test_report_that_fails_does_not_end_the_loop():
    def fail(_):
        raise OSError("the log is gone")

    loop = Loop(ManualClock(), fail)
    loop.call_soon(raise_error)
    loop.run_once(timedelta())
    assert loop.error_count == 1
    loop.close()


def test_error_of_a_callback_is_raised_without_a_handler():
    loop = Loop(ManualClock())
    loop.call_soon(raise_error)
    with pytest.raises(ValueError):
        loop.run_once(timedelta())
    loop.close()
