"""The ``status`` command."""

from contextlib import closing

from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.management.base import prepared_command
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.management.fleet import HTTPStatusReader, InstanceReport, read_fleet
from bulrushloom.management.utils import directory_address, open_directory


@prepared_command
def status(settings: str | None = None, directory: str | None = None) -> None:
    """Print the status of every instance that the directory lists.

    Args:
        settings: YAML file that names the directory.
        directory: address of the directory, IP:PORT; overrides the settings.
    """
    for report in fleet_reports(settings, directory):
        print(status_line(report))


def fleet_reports(settings: str | None, directory: str | None) -> list[InstanceReport]:
    """Return the reports of all instances, or raise ``CommandError``."""
    address = directory_address(settings, directory)
    if address is None:
        raise BadInput("needs --settings FILE or --directory IP:PORT")
    with closing(open_directory(address)) as client:
        with closing(HTTPStatusReader()) as reader:
            try:
                return read_fleet(client, reader)
            except DirectoryUnavailable as error:
                raise CommandError(f"the directory does not answer: {error}") from error


def status_line(report: InstanceReport) -> str:
    """Return the status of an instance as one line."""
    entry, current = report
    place = f"{entry.name} domain={entry.domain} address={entry.address}"
    if isinstance(current, Missing):
        return f"{place} status=unknown reason='{current.reason}'"
    return (
        f"{place} rules={current['rules_version']}"
        f" fresh={'yes' if current['fresh'] else 'no'}"
        f" draining={'yes' if current['draining'] else 'no'}"
        f" groups={len(current['groups'])}"
    )
