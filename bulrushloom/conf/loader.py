"""Loader of the settings file."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import yaml
from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import NotRequired, TypedDict

from bulrushloom.conf.base import Settings
from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.rules.values import parse_address, parse_name

SECRET_FILE_VARIABLE = "BULRUSHLOOM_FLEET_SECRET_FILE"
MIN_SECRET_CHARACTERS = 16
MAX_SETTINGS_BYTES = 64 * 1024

Name = Annotated[str, AfterValidator(parse_name)]
Address = Annotated[str, AfterValidator(parse_address)]
Milliseconds = Annotated[int, Field(strict=True, ge=1, le=600_000)]


class SettingsFile(TypedDict):
    """Content of the settings file."""

    __pydantic_config__ = ConfigDict(extra="forbid")  # type: ignore[misc]

    name: Name
    domain: Name
    caller_address: Address
    peer_address: Address
    store_address: Address
    directory_address: Address
    fleet_secret: NotRequired[str]
    fleet_secret_file: NotRequired[str]
    log_path: NotRequired[Annotated[str, Field(min_length=1)]]
    gateway_threads: NotRequired[Annotated[int, Field(strict=True, ge=1, le=256)]]
    max_body_bytes: NotRequired[
        Annotated[int, Field(strict=True, ge=1024, le=16 * 1024 * 1024)]
    ]
    request_timeout_ms: NotRequired[Milliseconds]
    drain_timeout_ms: NotRequired[Milliseconds]
    poll_interval_ms: NotRequired[Milliseconds]
    fault_injection: NotRequired[Annotated[bool, Field(strict=True)]]


DEFAULTS: dict[str, Any] = {
    "log_path": "/dev/stderr",
    "gateway_threads": 32,
    "max_body_bytes": 1024 * 1024,
    "request_timeout_ms": 5_000,
    "drain_timeout_ms": 25_000,
    "poll_interval_ms": 500,
    # Enables ``POST /faults`` on the peer address, for failure tests only. It must
    # stay off in production.
    "fault_injection": False,
}

_SETTINGS_FILE = TypeAdapter(SettingsFile)


def load_settings(path: str, environment: Mapping[str, str] = os.environ) -> Settings:
    """Load the YAML file at ``path``; raise ``SettingsError`` with all problems.

    The environment variable ``BULRUSHLOOM_FLEET_SECRET_FILE`` takes precedence over
    the keys ``fleet_secret_file`` and ``fleet_secret``.
    """
    content = _read_yaml(path)
    problems = _validation_problems(path, content)
    secret = _fleet_secret(path, content, environment, problems)
    if problems:
        raise SettingsError(problems)
    values = DEFAULTS | content | {"fleet_secret": secret}
    values.pop("fleet_secret_file", None)
    return Settings(**values)


def _read_yaml(path: str) -> dict[str, Any]:
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_SETTINGS_BYTES:
            raise SettingsError([f"{path}: is larger than {MAX_SETTINGS_BYTES} bytes"])
        content = yaml.safe_load(data.decode())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (UnicodeDecodeError, yaml.YAMLError, RecursionError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError([f"{path}: is not YAML: {reason}"]) from error
    if not isinstance(content, dict):
        raise SettingsError([f"{path}: is not a mapping of keys to values"])
    return content


def _validation_problems(path: str, content: dict[str, Any]) -> list[str]:
    try:
        _SETTINGS_FILE.validate_python(content)
    except ValidationError as error:
        return [
            f"{path}: {'.'.join(str(part) for part in item['loc'])}: {_message(item)}"
            for item in error.errors()
        ]
    return []


def _message(item: Any) -> str:
    if item["type"] == "extra_forbidden":
        return "unknown key"
    if item["type"] == "missing":
        return "the key is missing"
    reason = item["msg"].removeprefix("Value error, ")
    if item["loc"][0] == "fleet_secret":
        return reason
    return f"{str(item['input'])[:80]!r}: {reason}"


def _fleet_secret(
    path: str,
    content: dict[str, Any],
    environment: Mapping[str, str],
    problems: list[str],
) -> str:
    """Return the secret; add to ``problems`` if it is missing or too short."""
    source, secret = f"{path}: fleet_secret", content.get("fleet_secret", "")
    secret_file = content.get("fleet_secret_file", "")
    if environment.get(SECRET_FILE_VARIABLE):
        source, secret_file = SECRET_FILE_VARIABLE, environment[SECRET_FILE_VARIABLE]
    elif secret_file and secret:
        problems.append(f"{path}: fleet_secret_file: fleet_secret is set as well")
    elif secret_file:
        source = f"{path}: fleet_secret_file"
    if secret_file and isinstance(secret_file, str):
        try:
            secret = Path(secret_file).read_text().strip()
        except (OSError, ValueError) as error:
            problems.append(f"{source}: cannot read {secret_file!r}: {error}")
            return ""
    if isinstance(secret, str) and len(secret) < MIN_SECRET_CHARACTERS:
        problems.append(
            f"{source}: must have at least {MIN_SECRET_CHARACTERS} characters"
        )
    return secret
