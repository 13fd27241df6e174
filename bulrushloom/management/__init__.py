"""Command-line interface."""

import sys
from collections.abc import Sequence
from typing import Any, TextIO

import fire

from bulrushloom.management.base import PreparedCommand, run_prepared
from bulrushloom.management.commands.keys import KeysCommands
from bulrushloom.management.commands.proxy_configuration import (
    ProxyConfigurationCommands,
)
from bulrushloom.management.commands.report import ReportCommands
from bulrushloom.management.commands.rules import RulesCommands
from bulrushloom.management.commands.serve import serve
from bulrushloom.management.commands.status import status
from bulrushloom.management.exceptions import CommandError


class Commands:
    """Run and operate bulrushloom, a database proxy with session consistency."""

    def __init__(self) -> None:
        self.serve = serve
        self.rules = RulesCommands()
        self.keys = KeysCommands()
        self.proxy_configuration = ProxyConfigurationCommands()
        self.status = status
        self.report = ReportCommands()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the command line names.

    Exit with status 2 for invalid arguments, settings or rules, with status 3 if a
    check ends with warnings only, and with status 1 for other failures. The reason is
    printed on standard error.
    """
    # Fire's default display would start a pager process.
    fire.core.Display = _print_lines
    arguments_list = None if arguments is None else list(arguments)
    result = fire.Fire(
        Commands(), arguments_list, "bulrushloom", serialize=_hide_prepared_command
    )
    if not isinstance(result, PreparedCommand):
        return
    try:
        run_prepared(result)
    except CommandError as error:
        for line in str(error).splitlines():
            print(f"bulrushloom: {line}", file=sys.stderr)
        raise SystemExit(error.status) from error


def _hide_prepared_command(result: Any) -> Any:
    return None if isinstance(result, PreparedCommand) else result


def _print_lines(lines: list[str], out: TextIO) -> None:
    out.write("\n".join(lines) + "\n")
