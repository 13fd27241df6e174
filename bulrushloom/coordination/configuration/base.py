"""Messages and effects of the configuration spread."""

from typing import NamedTuple

# Key of the store that holds the rules.
RULES_KEY = "config/rules"


class Ping(NamedTuple):
    """Announce the sender's version; ``exchange`` identifies the ping."""

    exchange: int
    version: int
    draining: bool


class Pong(NamedTuple):
    """Answer a ``Ping``.

    ``assured_age_ms`` is how long ago no version newer than ``version`` existed, and
    is negative if unknown. ``outage_age_ms_by_domain`` is how long ago a reader of a
    domain reported the store unreachable. Both are ages when the answer is made; the
    receiver adds the time since it sent the ``Ping``.
    """

    exchange: int
    version: int
    assured_age_ms: int
    outage_age_ms_by_domain: dict[str, int]
    draining: bool


class RulesRequest(NamedTuple):
    """Ask for the rules text if its version is above ``version``."""

    version: int


class RulesText(NamedTuple):
    """Carry the rules text, compressed with zlib and encoded with base64."""

    version: int
    packed: str


class RulesChanged(NamedTuple):
    """Tell the instance that another version of the rules is in force."""

    version: int
