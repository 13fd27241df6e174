"""The ``proxy-configuration`` commands."""

from pathlib import Path

from bulrushloom.management.base import prepared_command
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.platform.document_changes import describe_changes, version_problem
from bulrushloom.platform.document_check import check_document
from bulrushloom.platform.documents import decode_configuration
from bulrushloom.proxy.configuration import Configuration
from bulrushloom.proxy.store import DocumentError


class ProxyConfigurationCommands:
    """Check the configuration of the session proxy."""

    @prepared_command
    def check(self, file: str, in_force: str | None = None) -> None:
        """Check a configuration document before it is written to the store.

        Print what differs from the version in force. Exit with status 1 if there are
        problems, and with status 2 if a file cannot be read.

        Args:
            file: JSON file with the document.
            in_force: JSON file with the document that is in force.
        """
        checked = check_document(_read_file(file))
        problems = list(checked.problems)
        if in_force is not None:
            previous = _read_in_force(in_force)
            if checked.configuration is not None:
                problems += _compare(previous, checked.configuration)
        if problems:
            raise CommandError("\n".join(f"{file}: {text}" for text in problems))
        print(f"{file}: correct: {_summary(checked.configuration)}")


def _read_file(path: str) -> bytes:
    try:
        return Path(str(path)).read_bytes()
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error


def _read_in_force(path: str) -> Configuration:
    """Decode the document in force as instances do, which may have other problems."""
    try:
        return decode_configuration(_read_file(path), 0)
    except DocumentError as error:
        raise BadInput(f"{path}: is not a configuration document") from error


def _compare(previous: Configuration, configuration: Configuration) -> list[str]:
    """Print the differences; return the problem of the version, if any."""
    for line in describe_changes(previous, configuration):
        print(line)
    problem = version_problem(previous, configuration)
    return [problem] if problem else []


def _summary(configuration: Configuration | None) -> str:
    assert configuration is not None
    return (
        f"version {configuration.version}, "
        f"{len(configuration.route_by_database)} routes, "
        f"{len(configuration.service_by_name)} services, "
        f"{len(configuration.account_by_name)} accounts, "
        f"{len(configuration.account_by_key)} keys"
    )
