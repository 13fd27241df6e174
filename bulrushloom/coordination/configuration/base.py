"""Messages and effects of configuration distribution."""

from typing import NamedTuple

# Store key of the rules.
RULES_KEY = "config/rules"


class Ping(NamedTuple):
    """Announce the rules version of the sender.

    The ``Pong`` that answers it has the same ``exchange`` number.
    """

    exchange: int
    version: int
    draining: bool


class Pong(NamedTuple):
    """Answer a ``Ping``.

    ``assured_age_ms`` is the time since the sender last knew that no version newer
    than ``version`` existed; it is negative if unknown. ``outage_age_ms_by_domain``
    is the time since a reader of each domain, an instance that reads the rules from the
    store for the others, reported the store unreachable. Both
    ages are measured when the ``Pong`` is created; the receiver adds the time since
    it sent the ``Ping``.
    """

    exchange: int
    version: int
    assured_age_ms: int
    outage_age_ms_by_domain: dict[str, int]
    draining: bool


class RulesRequest(NamedTuple):
    """Request the rules text if the recipient's version exceeds ``version``."""

    version: int


class RulesText(NamedTuple):
    """Carry the rules text, compressed with zlib and encoded with base64."""

    version: int
    packed: str


class RulesChanged(NamedTuple):
    """Report to the instance that another version of the rules is active."""

    version: int
