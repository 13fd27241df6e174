"""The ``proxy-configuration`` commands."""

import io
import os
import sys
from collections.abc import Iterable
from pathlib import Path

from fire.decorators import SetParseFn

from bulrushloom.management.base import prepared_command
from bulrushloom.management.exceptions import (
    FAILURE_STATUS,
    WARNING_STATUS,
    BadInput,
    CommandError,
)
from bulrushloom.platform.document_changes import describe_changes, version_problem
from bulrushloom.platform.document_check import MAX_DOCUMENT_BYTES, check_document
from bulrushloom.platform.documents import decode_configuration
from bulrushloom.proxy.configuration import Configuration
from bulrushloom.proxy.store import DocumentError


class ProxyConfigurationCommands:
    """Check the configuration of the session proxy."""

    # Without ``str``, Fire would read a name such as 1e3 or None as a Python value.
    @SetParseFn(str)
    @prepared_command
    def check(self, file: str, *, in_force: str | None = None) -> None:
        """Check a configuration document before it is written to the store.

        Print what differs from the version in force. Exit with status 1 if instances
        refuse the document or do not apply it, with status 3 if they accept it but
        there are warnings, and with status 2 if a file cannot be read.

        Args:
            file: JSON file with the document.
            in_force: JSON file with the document that is in force.
        """
        checked = check_document(_read_file(file))
        errors = list(checked.errors)
        lines: list[str] = []
        if in_force is not None:
            previous = _read_in_force(in_force)
            if checked.configuration is not None:
                lines += describe_changes(previous, checked.configuration)
                problem = version_problem(previous, checked.configuration)
                errors += [problem] if problem else []
        problems = [f"{file}: error: {text}" for text in errors]
        problems += [f"{file}: warning: {text}" for text in checked.warnings]
        if not problems:
            lines.append(f"{file}: correct: {_summary(checked.configuration)}")
        _print_lines(lines)
        if problems:
            status = FAILURE_STATUS if errors else WARNING_STATUS
            raise CommandError("\n".join(problems), status)


def _read_file(path: str) -> bytes:
    """Read a file, but not much more than the largest document."""
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error


def _read_in_force(path: str) -> Configuration:
    """Decode the document in force as instances do, which may have other problems."""
    data = _read_file(path)
    if len(data) > MAX_DOCUMENT_BYTES:
        raise BadInput(f"{path}: has more than {MAX_DOCUMENT_BYTES} bytes")
    try:
        return decode_configuration(data, 0)
    except DocumentError as error:
        raise BadInput(f"{path}: is not a configuration document") from error


def _print_lines(lines: Iterable[str]) -> None:
    """Print lines; the exit status stays that of the check if this fails.

    Characters that the output cannot encode are escaped. A reader such as ``head`` may
    end before the output does.
    """
    if isinstance(sys.stdout, io.TextIOWrapper):
        sys.stdout.reconfigure(errors="backslashreplace")
    try:
        for line in lines:
            print(line)
        sys.stdout.flush()
    except BrokenPipeError:
        # The interpreter flushes the output once more when it exits.
        with open(os.devnull, "wb") as null:
            os.dup2(null.fileno(), sys.stdout.fileno())


def _summary(configuration: Configuration | None) -> str:
    assert configuration is not None
    return (
        f"version {configuration.version}, "
        f"{len(configuration.route_by_database)} routes, "
        f"{len(configuration.service_by_name)} services, "
        f"{len(configuration.account_by_name)} accounts, "
        f"{len(configuration.account_by_key)} keys"
    )
