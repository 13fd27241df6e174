"""Input files and platform clients for the commands."""

from datetime import timedelta
from pathlib import Path

from bulrushloom.conf.base import Settings
from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.conf.loader import load_settings
from bulrushloom.directories.base import InstanceDirectory
from bulrushloom.management.exceptions import BadInput
from bulrushloom.rules.base import RuleSet
from bulrushloom.rules.parser import MAX_TEXT_BYTES, parse_rules
from bulrushloom.rules.values import parse_address
from bulrushloom.stores.base import ConfigurationStore

PLATFORM_TIMEOUT = timedelta(seconds=2)
REQUEST_ORIGIN = "management"


def read_settings(path: str) -> Settings:
    """Return the settings, or raise ``BadInput`` with all problems."""
    try:
        return load_settings(str(path))
    except SettingsError as error:
        raise BadInput(str(error)) from error


def read_rules_text(path: str) -> str:
    """Return the text of a rules file, or raise ``BadInput`` if it is unreadable."""
    try:
        with Path(str(path)).open("rb") as file:
            data = file.read(MAX_TEXT_BYTES + 1)
        return data.decode()
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise BadInput(f"{path}: is not UTF-8 text") from error


def check_rules(path: str, text: str) -> RuleSet:
    """Return the validated rules, or raise ``BadInput`` with all problems."""
    rules = parse_rules(text, 0)
    if not isinstance(rules, RuleSet):
        raise BadInput("\n".join(f"{path}: {problem}" for problem in rules))
    return rules


def store_address(settings: str | None, store: str | None) -> str:
    """Return the store address from the option, or else from the settings file."""
    if store is not None:
        return _checked_address("--store", store)
    if settings is None:
        raise BadInput("needs --settings FILE or --store HOST:PORT")
    return read_settings(settings).store_address


def directory_address(settings: str | None, directory: str | None) -> str | None:
    """Return the directory address, or ``None`` if no option specifies it."""
    if directory is not None:
        return _checked_address("--directory", directory)
    return None if settings is None else read_settings(settings).directory_address


def open_store(address: str) -> ConfigurationStore:
    """Return a client of the store at ``address``."""
    from bulrushloom.stores.http import HttpConfigurationStore

    return HttpConfigurationStore(address, REQUEST_ORIGIN, PLATFORM_TIMEOUT)


def open_directory(address: str) -> InstanceDirectory:
    """Return a client of the directory at ``address``."""
    from bulrushloom.directories.http import HttpInstanceDirectory

    return HttpInstanceDirectory(address, REQUEST_ORIGIN, PLATFORM_TIMEOUT)


def _checked_address(option: str, address: str) -> str:
    try:
        return parse_address(str(address))
    except ValueError as error:
        raise BadInput(f"{option}: {address!r} {error}") from error
