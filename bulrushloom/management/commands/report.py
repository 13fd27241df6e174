"""Commands ``report``."""

from contextlib import closing
from pathlib import Path

from bulrushloom.core.clock import SystemClock
from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.management.base import prepared_command
from bulrushloom.management.burning import (
    FleetBurn,
    HTTPBurnReader,
    burning,
    read_burn,
)
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.management.utils import directory_address, open_directory
from bulrushloom.telemetry.burn import render_table


class ReportCommands:
    """Report on the service level."""

    @prepared_command
    def burn(
        self,
        settings: str | None = None,
        directory: str | None = None,
        html: str | None = None,
    ) -> None:
        """Print how fast each account uses up the error budget of each measure.

        A burn rate of 1 uses up the budget exactly. Exit with status 1 if no
        instance answers.

        Args:
            settings: YAML file that names the directory.
            directory: address of the directory, IP:PORT, in place of the settings.
            html: file for a page with plots, written in addition to the table.
        """
        fleet = _fleet_burn(settings, directory)
        notes = _notes(fleet)
        for line in notes:
            print(line)
        if not fleet.answered:
            raise CommandError("no instance answers")
        print(render_table(fleet.rows), end="")
        for line in burning(fleet.rows):
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
                return read_burn(client, reader)
            except DirectoryUnavailable as error:
                raise CommandError(f"the directory does not answer: {error}") from error


def _notes(fleet: FleetBurn) -> list[str]:
    total = fleet.answered + len(fleet.missing)
    lines = [f"{fleet.answered} of {total} instances answered"]
    for entry, reason in fleet.missing:
        place = f"{entry.name} domain={entry.domain} address={entry.address}"
        lines.append(f"missing: {place} reason='{reason.reason}'")
    return lines


def _write_page(path: str, fleet: FleetBurn, notes: list[str]) -> None:
    from bulrushloom.management.plots import render_page

    text = render_page(fleet.rows, notes + burning(fleet.rows), SystemClock().utcnow())
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error
    print(f"written: {path}")
