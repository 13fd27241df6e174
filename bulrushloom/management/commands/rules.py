"""Commands ``rules``."""

import getpass
import sys
from contextlib import closing

from bulrushloom.coordination.configuration.base import RULES_KEY
from bulrushloom.core.clock import SystemClock
from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.management.applying import (
    Applied,
    RulesApplier,
    shown_changes,
    wait_until_active,
)
from bulrushloom.management.base import prepared_command
from bulrushloom.management.commands.status import fleet_reports
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.management.fleet import HTTPStatusReader, InstanceReport, read_fleet
from bulrushloom.management.utils import (
    check_rules,
    directory_address,
    open_directory,
    open_store,
    read_rules_text,
    store_address,
)
from bulrushloom.rules.parser import rules_warnings
from bulrushloom.rules.stored import StoredRules, read_stored_rules
from bulrushloom.stores.base import StoredValue
from bulrushloom.stores.exceptions import StoreUnavailable


class RulesCommands:
    """Check, apply and inspect the operators' rules."""

    @prepared_command
    def check(self, file: str) -> None:
        """Check a rules file without applying it.

        Args:
            file: the rules file.
        """
        rules = check_rules(file, read_rules_text(file))
        for warning in rules_warnings(rules):
            print(f"{file}: warning: {warning}")
        print(
            f"{file}: correct: {len(rules.target_by_name)} targets, "
            f"{len(rules.account_by_name)} accounts, {len(rules.key_by_digest)} keys"
        )

    @prepared_command
    def apply(
        self,
        file: str,
        settings: str | None = None,
        store: str | None = None,
        directory: str | None = None,
        base: int | None = None,
        author: str | None = None,
    ) -> None:
        """Put a rules file in force at all instances.

        Print the changed rules, then wait up to 6 s and report where the version is
        in force. Exit with status 1 if another change won or the version is not in
        force everywhere, and with 2 if the file has errors.

        Args:
            file: the rules file.
            settings: YAML file that names the store and the directory.
            store: address of the store, IP:PORT, in place of the settings.
            directory: address of the directory, IP:PORT, in place of the settings.
            base: version from which the file was edited; another one is refused.
            author: name for the history; the name of the user by default.
        """
        text = read_rules_text(file)
        for warning in rules_warnings(check_rules(file, text)):
            print(f"{file}: warning: {warning}")
        if base is not None and type(base) is not int:
            raise BadInput(f"--base: {base!r} is not a version number")
        directory_at = directory_address(settings, directory)
        name = str(author) if author is not None else getpass.getuser()
        with closing(open_store(store_address(settings, store))) as client:
            applier = RulesApplier(
                client, SystemClock(), name, lambda: _highest_version(directory_at)
            )
            applied = applier.apply(text, base)
        _print_applied(applied)
        if directory_at is None:
            print("not waiting: no directory was given")
        else:
            _wait_and_report(directory_at, applied.version)

    @prepared_command
    def status(
        self,
        settings: str | None = None,
        store: str | None = None,
        directory: str | None = None,
    ) -> None:
        """Print the version in the store and the version at each instance.

        Args:
            settings: YAML file that names the store and the directory.
            store: address of the store, IP:PORT, in place of the settings.
            directory: address of the directory, IP:PORT, in place of the settings.
        """
        value, stored = _read_store(store_address(settings, store))
        if stored is None:
            print(f"store: version {value.version}, no rules")
        else:
            print(
                f"store: version {value.version}, applied by {stored['author']} "
                f"at {stored['applied_at']}"
            )
        if directory_address(settings, directory) is not None:
            for report in fleet_reports(settings, directory):
                print(_version_line(report, value.version))

    @prepared_command
    def history(self, settings: str | None = None, store: str | None = None) -> None:
        """Print the latest applied versions, newest first.

        Args:
            settings: YAML file that names the store.
            store: address of the store, IP:PORT, in place of the settings.
        """
        _, stored = _read_store(store_address(settings, store))
        for entry in stored["history"] if stored else []:
            print(
                f"version {entry['version']} by {entry['author']} at "
                f"{entry['applied_at']} (apply id {entry['apply_id']}): "
                f"{entry['summary']}"
            )


def _read_store(address: str) -> tuple[StoredValue, StoredRules | None]:
    with closing(open_store(address)) as client:
        try:
            value = client.get(RULES_KEY)
        except StoreUnavailable as error:
            raise CommandError(f"the store does not answer: {error}") from error
    return value, read_stored_rules(value.value)


def _print_applied(applied: Applied) -> None:
    if not applied.written:
        print(f"version {applied.version} already holds these rules")
        return
    for change in shown_changes(applied.changes):
        print(change)
    print(f"applied as version {applied.version}")
    sys.stdout.flush()


def _highest_version(address: str | None) -> int:
    """Return the highest version in force at any instance that answers."""
    if address is None:
        return 0
    with closing(open_directory(address)) as client:
        with closing(HTTPStatusReader()) as reader:
            try:
                reports = read_fleet(client, reader)
            except DirectoryUnavailable:
                return 0
    statuses = [report.status for report in reports]
    return max(
        (
            status["rules_version"]
            for status in statuses
            if not isinstance(status, Missing)
        ),
        default=0,
    )


def _wait_and_report(address: str, version: int) -> None:
    clock = SystemClock()
    with closing(open_directory(address)) as client:
        with closing(HTTPStatusReader()) as reader:
            try:
                reports = wait_until_active(client, reader, version, clock)
            except DirectoryUnavailable as error:
                raise CommandError(
                    f"version {version} is applied, but the directory does not "
                    f"answer: {error}"
                ) from error
    behind = [report for report in reports if not report.runs(version)]
    in_force = len(reports) - len(behind)
    print(f"in force at {in_force} of {len(reports)} instances")
    if behind:
        lines = "; ".join(_version_line(report, version) for report in behind)
        raise CommandError(
            f"version {version} is applied, but not seen in force at: {lines}"
        )
    _check_ahead(reports, version)


def _check_ahead(reports: list[InstanceReport], version: int) -> None:
    """Fail if instances run a higher version than the store has given."""
    ahead = [report.entry.name for report in reports if report.runs(version + 1)]
    if ahead:
        raise CommandError(
            f"{len(ahead)} instances run a higher version than {version}: another "
            "change followed; see 'rules history'"
        )


def _version_line(report: InstanceReport, version: int) -> str:
    entry, current = report
    if isinstance(current, Missing):
        return f"{entry.name} (domain {entry.domain}): unknown, {current.reason}"
    state = "in force" if report.runs(version) else "behind"
    return (
        f"{entry.name} (domain {entry.domain}): version "
        f"{current['rules_version']}, {state}"
    )
