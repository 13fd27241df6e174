"""The ``rules`` commands."""

import getpass
import sys
from contextlib import closing

from bulrushloom.coordination.configuration.base import RULES_KEY
from bulrushloom.core.clock import SystemClock
from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.management.applying import (
    ApplyResult,
    RulesApplier,
    abbreviate_changes,
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
    """Check, apply and inspect the rules."""

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
        """Apply a rules file at all instances.

        Print the changed rules, then wait up to 6 s and report at which instances the
        version is in force. Exit with status 1 if another change won or if the
        version is not in force at all instances, and with status 2 if the file has
        errors.

        Args:
            file: the rules file.
            settings: YAML file that names the store and the directory.
            store: address of the store, IP:PORT; overrides the settings.
            directory: address of the directory, IP:PORT; overrides the settings.
            base: version on which the file is based; fail if the store has another one.
            author: name for the history; defaults to the name of the user.
        """
        text = read_rules_text(file)
        for warning in rules_warnings(check_rules(file, text)):
            print(f"{file}: warning: {warning}")
        if base is not None and type(base) is not int:
            raise BadInput(f"--base: {base!r} is not a version number")
        directory_host_port = directory_address(settings, directory)
        name = str(author) if author is not None else getpass.getuser()
        with closing(open_store(store_address(settings, store))) as client:
            applier = RulesApplier(
                client,
                SystemClock(),
                name,
                lambda: _highest_version(directory_host_port),
            )
            result = applier.apply(text, base)
        _print_result(result)
        if directory_host_port is None:
            print("not waiting: no directory was given")
        else:
            _wait_and_report(directory_host_port, result.version)

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
            store: address of the store, IP:PORT; overrides the settings.
            directory: address of the directory, IP:PORT; overrides the settings.
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
        """Print the most recently applied versions, newest first.

        Args:
            settings: YAML file that names the store.
            store: address of the store, IP:PORT; overrides the settings.
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


def _print_result(result: ApplyResult) -> None:
    if not result.written:
        print(f"version {result.version} already holds these rules")
        return
    for change in abbreviate_changes(result.changes):
        print(change)
    print(f"applied as version {result.version}")
    sys.stdout.flush()


def _highest_version(address: str | None) -> int:
    """Return the highest version that is active at any instance that answers."""
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
    lagging_reports = [report for report in reports if not report.runs(version)]
    active_count = len(reports) - len(lagging_reports)
    print(f"in force at {active_count} of {len(reports)} instances")
    if lagging_reports:
        lines = "; ".join(_version_line(report, version) for report in lagging_reports)
        raise CommandError(
            f"version {version} is applied, but not seen in force at: {lines}"
        )
    _check_no_higher_version(reports, version)


def _check_no_higher_version(reports: list[InstanceReport], version: int) -> None:
    """Raise ``CommandError`` if an instance runs a higher version."""
    names_ahead = [report.entry.name for report in reports if report.runs(version + 1)]
    if names_ahead:
        raise CommandError(
            f"{len(names_ahead)} instances run a higher version than {version}: "
            "another change followed; see 'rules history'"
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
