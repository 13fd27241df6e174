"""Concurrent builds in one folder."""

import threading

from bundling.build import locked


def test_second_build_waits_for_the_first(tmp_path):
    # Guards against workers that replace the folders of each other's builds.
    second_entered = threading.Event()

    def enter() -> None:
        with locked(tmp_path / "lock"):
            second_entered.set()

    with locked(tmp_path / "lock"):
        thread = threading.Thread(target=enter)
        thread.start()
        assert not second_entered.wait(0.1)
    thread.join(5)
    assert second_entered.is_set()
