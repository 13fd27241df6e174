"""The ``proxy-configuration`` commands."""

from pathlib import Path

from bulrushloom.management.base import prepared_command
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.platform.document_changes import describe_changes, version_problem
from bulrushloom.platform.document_check import CheckedDocument, check_document
from bulrushloom.proxy.configuration import Configuration


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
        checked = _read_document(file)
        problems = list(checked.problems)
        if in_force is not None:
            previous = _read_document(in_force).configuration
            if previous is None:
                raise BadInput(f"{in_force}: is not a configuration document")
            if checked.configuration is not None:
                problems += _compare(previous, checked.configuration)
        if problems:
            raise CommandError("\n".join(f"{file}: {text}" for text in problems))
        print(f"{file}: correct: {_summary(checked.configuration)}")


def _read_document(path: str) -> CheckedDocument:
    try:
        return check_document(Path(str(path)).read_bytes())
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error


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
