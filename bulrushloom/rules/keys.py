"""Keys of callers, and their digests."""

import hashlib
import hmac
import secrets
from typing import NamedTuple

from bulrushloom.rules.base import KeyRule, RuleSet

KEY_BYTES = 32
MAX_KEY_CHARACTERS = 256


class NewKey(NamedTuple):
    """A new key for a caller, and its digest for the rules file."""

    key: str
    digest: str


def new_key() -> NewKey:
    """Return a random 256-bit key as URL-safe text, with its digest."""
    key = secrets.token_urlsafe(KEY_BYTES)
    return NewKey(key, key_digest(key))


def key_digest(key: str) -> str:
    """Return ``sha256:`` followed by the hexadecimal digest of ``key``."""
    data = key.encode(errors="surrogatepass")
    return f"sha256:{hashlib.sha256(data).hexdigest()}"


def find_key(rules: RuleSet, presented: str) -> KeyRule | None:
    """Return the rule of the presented key, or ``None`` if it is unknown.

    The time of the lookup by digest reveals nothing useful about a random 256-bit
    key, and the comparison of the digests takes constant time.
    """
    if len(presented) > MAX_KEY_CHARACTERS:
        return None
    digest = key_digest(presented)
    rule = rules.key_by_digest.get(digest)
    if rule is None or not hmac.compare_digest(rule.digest, digest):
        return None
    return rule
