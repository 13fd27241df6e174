"""Keys with which instances authenticate their datagrams.

The keys live in a record of the platform's store, which only instances can read. The
leader creates the record and rotates the keys: a new key is first accepted by every
instance, then used for signing, and the old one is accepted until all have changed.
"""

import hashlib
import hmac
import os
from datetime import timedelta
from typing import Annotated, NamedTuple

import msgspec
import orjson
from msgspec import Meta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.store_eras import MAX_ERA

EXCHANGE_KEYS_KEY = "proxy/exchange-keys"
KEY_BYTES = 32
KEY_ID_BYTES = 4
TAG_BYTES = 16
MAX_KEYS = 3
# Every instance reads the record within this time, or stops using what it knows.
DISTRIBUTION_TIME = timedelta(seconds=30)
ROTATION_INTERVAL = timedelta(hours=24)
_SECOND = timedelta(seconds=1)


class ExchangeKeys(NamedTuple):
    """Accepted secrets by key id, and the id of the one that signs.

    ``changed_at_s`` is the Unix time of the last step of a rotation. ``era`` is the
    one of the store in which the record was written, and ``generation`` is one more
    than that of the record that it replaced; 0 if an earlier release wrote it.
    """

    signing_id: str
    secret_by_id: dict[str, bytes]
    changed_at_s: float
    era: int = 0
    generation: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return what orders the records."""
        return self.era, self.generation

    def in_era(self, era: int) -> "ExchangeKeys":
        """Return the record that replaces this one in an era."""
        return self._replace(era=era, generation=self.generation + 1)

    def sign(self, body: bytes) -> bytes:
        """Return ``body`` with the key id and the tag before it."""
        secret = self.secret_by_id[self.signing_id]
        return bytes.fromhex(self.signing_id) + _tag(secret, body) + body

    def verify(self, data: bytes) -> bytes | Missing:
        """Return the body of a signed datagram, or why it is not authentic."""
        start = KEY_ID_BYTES + TAG_BYTES
        if len(data) <= start:
            return Missing("shorter than a signature")
        secret = self.secret_by_id.get(data[:KEY_ID_BYTES].hex())
        if secret is None:
            return Missing("signed with an unknown key")
        body = data[start:]
        if not hmac.compare_digest(data[KEY_ID_BYTES:start], _tag(secret, body)):
            return Missing("the signature does not match")
        return body

    def encode(self) -> bytes:
        """Return the value to store."""
        return orjson.dumps(
            {
                "signing_id": self.signing_id,
                "secret_by_id": {k: v.hex() for k, v in self.secret_by_id.items()},
                "changed_at_s": self.changed_at_s,
                "era": self.era,
                "generation": self.generation,
            }
        )


def _tag(secret: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret, digest_size=TAG_BYTES).digest()


class _StoredKeys(msgspec.Struct, frozen=True):
    signing_id: str
    secret_by_id: dict[str, str]
    changed_at_s: float
    era: Annotated[int, Meta(ge=0, le=MAX_ERA)] = 0
    generation: Annotated[int, Meta(ge=0)] = 0


def decode_keys(value: bytes) -> ExchangeKeys | Missing:
    """Return the keys in a record, or the reason why it is invalid."""
    try:
        stored = msgspec.json.decode(value, type=_StoredKeys)
        secret_by_id = {k: bytes.fromhex(v) for k, v in stored.secret_by_id.items()}
        id_lengths = {len(bytes.fromhex(key_id)) for key_id in secret_by_id}
    except ValueError as error:
        return Missing(f"malformed exchange keys: {error}")
    lengths = {len(secret) for secret in secret_by_id.values()}
    if lengths != {KEY_BYTES} or id_lengths != {KEY_ID_BYTES}:
        return Missing("malformed exchange keys: a key has the wrong length")
    if stored.signing_id not in secret_by_id:
        return Missing("malformed exchange keys: the signing key is missing")
    return ExchangeKeys(
        stored.signing_id,
        secret_by_id,
        stored.changed_at_s,
        stored.era,
        stored.generation,
    )


def new_keys(now_s: float) -> ExchangeKeys:
    """Return a record with one new key; ``now_s`` is the Unix time."""
    key_id = os.urandom(KEY_ID_BYTES).hex()
    return ExchangeKeys(key_id, {key_id: os.urandom(KEY_BYTES)}, now_s)


def next_rotation_step(keys: ExchangeKeys, now_s: float) -> ExchangeKeys | None:
    """Return the record after the next step of a rotation, or ``None`` if none is due.

    A new key is added after ``ROTATION_INTERVAL``. It signs once every instance has
    had time to learn it, and the old one is dropped once no instance signs with it.
    """
    age = _SECOND * (now_s - keys.changed_at_s)
    if len(keys.secret_by_id) == 1:
        if age < ROTATION_INTERVAL:
            return None
        added = new_keys(now_s)
        return keys._replace(
            secret_by_id=keys.secret_by_id | added.secret_by_id, changed_at_s=now_s
        )
    if age < DISTRIBUTION_TIME:
        return None
    *_, newest_id = keys.secret_by_id
    if keys.signing_id == newest_id:
        keys = keys._replace(secret_by_id={newest_id: keys.secret_by_id[newest_id]})
    return keys._replace(signing_id=newest_id, changed_at_s=now_s)
