"""Settings of the session proxy: a YAML file that is validated at startup."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

import yaml

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.runtime.streams import split_address

MAX_SETTINGS_BYTES = 64 * 1024


class ProxySettings(NamedTuple):
    """Validated settings of one session proxy; addresses are ``host:port``.

    ``withdrawn_key_bound`` is the time after which a withdrawn key must be refused.
    ``configuration_bound`` is the time in which a new configuration must be applied.
    ``rate_window`` is the window over which the operations of an account are limited;
    ``rate_excess`` (a fraction) and ``rate_slack`` (operations) are added to the limit.
    ``target_drain_bound`` is how long a draining target may receive new statements.
    ``stop_grace`` is the time from SIGTERM to SIGKILL. ``lease_minimum`` is the
    shortest time to live of a lease that the store accepts.

    The rest is optional. ``region`` is the region of ``domain``; ``region_by_domain``
    has the regions of all domains, and is empty where there is only one.
    ``evacuation_bound`` is the time within which the targets of an evacuated domain
    must get no more statements; ``None`` if the deployment sets no bound. A target that
    started recently may get ``cold_per_s * cold_excess + cold_slack`` requests in a
    second, with the ``cold_per_s`` of its service. ``memory_limit_mb`` and
    ``descriptor_limit`` are those of the
    machine; ``None`` if they are not known.
    """

    name: str
    domain: str
    session_address: str
    probe_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    duties_address: str
    withdrawn_key_bound: timedelta
    configuration_bound: timedelta
    target_drain_bound: timedelta
    stop_grace: timedelta
    rate_window: timedelta
    rate_excess: float
    rate_slack: float
    lease_minimum: timedelta
    region: str = ""
    region_by_domain: Mapping[str, str] = MappingProxyType({})
    evacuation_bound: timedelta | None = None
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    memory_limit_mb: float | None = None
    descriptor_limit: int | None = None


def _address(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("must be host:port")
    split_address(value)
    return value


def _name(value: Any) -> str:
    if not isinstance(value, str) or not value or len(value) > 100:
        raise ValueError("must be text of 1 to 100 characters")
    return value


def _non_negative_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("must be a non-negative number")
    return float(value)


def _positive_number(value: Any) -> float:
    number = _non_negative_number(value)
    if not number or not math.isfinite(number):
        raise ValueError("must be above 0 and finite")
    return number


def _positive_count(value: Any) -> int:
    number = _positive_number(value)
    if not number.is_integer():
        raise ValueError("must be a whole number")
    return int(number)


def _name_by_name(value: Any) -> Mapping[str, str]:
    if not isinstance(value, dict):
        raise ValueError("must be a mapping of names to names")
    return MappingProxyType({_name(k): _name(v) for k, v in value.items()})


def _milliseconds(value: Any) -> timedelta:
    return timedelta(milliseconds=_non_negative_number(value))


def _seconds(value: Any) -> timedelta:
    return timedelta(seconds=_non_negative_number(value))


_FIELD_AND_PARSER_BY_KEY: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "name": ("name", _name),
    "domain": ("domain", _name),
    "session_address": ("session_address", _address),
    "probe_address": ("probe_address", _address),
    "peer_address": ("peer_address", _address),
    "metrics_address": ("metrics_address", _address),
    "store_address": ("store_address", _address),
    "duties_address": ("duties_address", _address),
    "withdrawn_key_bound_ms": ("withdrawn_key_bound", _milliseconds),
    "configuration_bound_ms": ("configuration_bound", _milliseconds),
    "target_drain_bound_ms": ("target_drain_bound", _milliseconds),
    "stop_grace_s": ("stop_grace", _seconds),
    "rate_window_s": ("rate_window", _seconds),
    "rate_excess": ("rate_excess", _non_negative_number),
    "rate_slack": ("rate_slack", _non_negative_number),
    "lease_minimum_ms": ("lease_minimum", _milliseconds),
}
# A missing key and an empty value, such as a placeholder that a deployment does not
# fill, both mean the default.
_OPTIONAL_FIELD_AND_PARSER_BY_KEY: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "region": ("region", _name),
    "region_by_domain": ("region_by_domain", _name_by_name),
    "evacuation_bound_ms": ("evacuation_bound", _milliseconds),
    "cold_excess": ("cold_excess", _non_negative_number),
    "cold_slack": ("cold_slack", _non_negative_number),
    "memory_limit_mb": ("memory_limit_mb", _positive_number),
    "descriptor_limit": ("descriptor_limit", _positive_count),
}


def load_proxy_settings(path: str) -> ProxySettings:
    """Load the YAML file at ``path``; raise ``SettingsError`` with all problems.

    Unknown keys are ignored, since the platform may add fields at any time.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    return parse_proxy_settings(data, path)


def parse_proxy_settings(data: bytes, path: str) -> ProxySettings:
    """Validate the YAML text ``data``; ``path`` is only used in error messages."""
    if len(data) > MAX_SETTINGS_BYTES:
        raise SettingsError([f"{path}: is larger than {MAX_SETTINGS_BYTES} bytes"])
    try:
        content = yaml.load(data, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (UnicodeDecodeError, yaml.YAMLError, RecursionError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError([f"{path}: is not valid YAML: {reason}"]) from error
    if not isinstance(content, dict):
        raise SettingsError([f"{path}: must contain a mapping"])
    problems: list[str] = []
    values: dict[str, Any] = {}
    parsers = _FIELD_AND_PARSER_BY_KEY | _OPTIONAL_FIELD_AND_PARSER_BY_KEY
    for key, (field, parse) in parsers.items():
        if key in _OPTIONAL_FIELD_AND_PARSER_BY_KEY and content.get(key) in (None, ""):
            continue
        if key not in content:
            problems.append(f"{path}: {key}: the key is missing")
            continue
        try:
            values[field] = parse(content[key])
        except ValueError as error:
            problems.append(f"{path}: {key}: {str(content[key])[:80]!r}: {error}")
    if problems:
        raise SettingsError(problems)
    return ProxySettings(**values)
