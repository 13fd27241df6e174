"""Parsers of values in rules: names, numbers, durations, addresses and digests."""

import ipaddress
import re
from datetime import timedelta

MAX_NAME_CHARACTERS = 64
MAX_NUMBER = 1_000_000
MAX_DURATION = timedelta(days=7)

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?")
_DIGEST = re.compile(r"sha256:[0-9a-f]{64}")
_COUNT = re.compile(r"[0-9]{1,9}")
_RATE = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,6})?")
_DURATION = re.compile(r"([0-9]{1,9})(ms|s|m|h)")
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9.]+):([0-9]{1,5})")
_DURATION_BY_UNIT = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
    "h": timedelta(hours=1),
}


def parse_name(text: str) -> str:
    """Return ``text`` if it is a name; raise ``ValueError`` otherwise."""
    if len(text) > MAX_NAME_CHARACTERS:
        raise ValueError(f"is longer than {MAX_NAME_CHARACTERS} characters")
    if not _NAME.fullmatch(text):
        raise ValueError(
            "may only contain a-z, 0-9, '.', '_' and '-', and must start and end "
            "with a letter or digit"
        )
    return text


def parse_digest(text: str) -> str:
    """Return a key digest: ``sha256:`` and 64 hexadecimal digits, in lower case."""
    digest = text.lower()
    if not _DIGEST.fullmatch(digest):
        raise ValueError("is not 'sha256:' and 64 hexadecimal digits")
    return digest


def parse_count(text: str) -> int:
    """Return a positive whole number."""
    if not _COUNT.fullmatch(text) or not 1 <= int(text) <= MAX_NUMBER:
        raise ValueError(f"is not a whole number from 1 to {MAX_NUMBER}")
    return int(text)


def parse_rate(text: str) -> float:
    """Return a positive rate, in statements a second."""
    if not _RATE.fullmatch(text) or not 0 < float(text) <= MAX_NUMBER:
        raise ValueError(f"is not a positive number up to {MAX_NUMBER}")
    return float(text)


def parse_duration(text: str) -> timedelta:
    """Return a duration such as ``500ms``, ``10s``, ``10m`` or ``1h``."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("is not a duration such as 500ms, 10s, 10m or 1h")
    if int(match[1]) > MAX_DURATION / _DURATION_BY_UNIT[match[2]]:
        raise ValueError("is longer than 7 days")
    return int(match[1]) * _DURATION_BY_UNIT[match[2]]


def parse_address(text: str) -> str:
    """Return ``ipv4:port`` or ``[ipv6]:port``; raise ``ValueError`` otherwise."""
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError("is not IPV4:PORT or [IPV6]:PORT")
    try:
        address = ipaddress.ip_address(match[1].strip("[]"))
    except ValueError:
        raise ValueError("does not contain a valid IP address") from None
    if (address.version == 6) != match[1].startswith("["):
        raise ValueError("must have brackets around an IPv6 address, and only there")
    if not 1 <= int(match[2]) <= 65535:
        raise ValueError("has a port outside 1 to 65535")
    return text
