"""The ``report`` commands."""

from contextlib import closing
from pathlib import Path

from bulrushloom.core.clock import SystemClock
from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.management.base import prepared_command
from bulrushloom.management.burning import (
    FleetBurn,
    HTTPBurnReader,
    burn_alerts,
    read_fleet_burn,
)
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.management.utils import directory_address, open_directory
from bulrushloom.telemetry.burn import render_table


class ReportCommands:
    """Report on service levels."""

    @prepared_command
    def burn(
        self,
        settings: str | None = None,
        directory: str | None = None,
        html: str | None = None,
    ) -> None:
        """Print how fast each account consumes the error budget of each measure.

        A burn rate of 1 consumes exactly the budget. Exit with status 1 if no
        instance answers.

        Args:
            settings: YAML file that names the directory.
            directory: address of the directory, IP:PORT; overrides the settings.
            html: HTML file with plots to write in addition to the table.
        """
        fleet = _fleet_burn(settings, directory)
        notes = _response_notes(fleet)
        for line in notes:
            print(line)
        if not fleet.answered_count:
            raise CommandError("no instance answers")
        print(render_table(fleet.rows), end="")
        for line in burn_alerts(fleet.rows):
            print(line)
        if html is not None:
            _write_page(str(html), fleet, notes)


def _fleet_burn(settings: str | None, directory: str | None) -> FleetBurn:
    address = directory_address(settings, directory)
    if address is None:
        raise BadInput("needs --settings FILE or --directory IP:PORT")
    with closing(open_directory(address)) as client:
        with closing(HTTPBurnReader()) as reader:
            try:
                return read_fleet_burn(client, reader)
            except DirectoryUnavailable as error:
                raise CommandError(f"the directory does not answer: {error}") from error


def _response_notes(fleet: FleetBurn) -> list[str]:
    total = fleet.answered_count + len(fleet.missing_reports)
    lines = [f"{fleet.answered_count} of {total} instances answered"]
    for entry, reason in fleet.missing_reports:
        place = f"{entry.name} domain={entry.domain} address={entry.address}"
        lines.append(f"missing: {place} reason='{reason.reason}'")
    return lines


def _write_page(path: str, fleet: FleetBurn, notes: list[str]) -> None:
    from bulrushloom.management.plots import render_page

    text = render_page(
        fleet.rows, notes + burn_alerts(fleet.rows), SystemClock().utcnow()
    )
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error
    print(f"written: {path}")
