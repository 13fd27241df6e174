"""Entry point of the daemon; it imports only what it uses, to start quickly."""

import os
import sys
from contextlib import ExitStack

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.platform.process import SETTINGS_VARIABLE
from bulrushloom.proxy.node import Node
from bulrushloom.runtime.loop import BootClock, Loop

BAD_SETTINGS_STATUS = 2


def serve_proxy(settings_path: str) -> None:
    """Serve sessions until SIGTERM; exit with status 2 for bad settings."""
    with ExitStack() as stack:
        loop = Loop(BootClock())
        stack.callback(loop.close)
        try:
            node = Node(settings_path, loop, stack)
        except SettingsError as error:
            for problem in error.problems:
                print(f"bulrushloom: {problem}", file=sys.stderr)
            raise SystemExit(BAD_SETTINGS_STATUS) from error
        loop.on_error = lambda error: node.log.write(
            "task_failed", error=repr(error), traceback=_format_traceback(error)
        )
        node.start()
        loop.run()


def _format_traceback(error: BaseException) -> str:
    trace = error.__traceback__
    frames = []
    while trace is not None:
        code = trace.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}")
        trace = trace.tb_next
    return " ".join(frames)


def main(arguments: list[str]) -> None:
    """Run the command ``proxy [--settings=PATH]``."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    for argument in arguments:
        name, _, value = argument.partition("=")
        if name != "--settings" or not value:
            print(f"bulrushloom: unknown argument {argument!r}", file=sys.stderr)
            raise SystemExit(BAD_SETTINGS_STATUS)
        path = value
    if not path:
        message = f"--settings=PATH or the variable {SETTINGS_VARIABLE} is required"
        print(f"bulrushloom: {message}", file=sys.stderr)
        raise SystemExit(BAD_SETTINGS_STATUS)
    serve_proxy(path)
