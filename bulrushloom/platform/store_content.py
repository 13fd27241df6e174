"""Content of the platform's store: configuration, targets, members and records.

Decoded entries are kept by revision, since most of them are the same in the next read.
"""

import base64
import binascii
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform.documents import decode_configuration, decode_target
from bulrushloom.platform.store_answers import decode_record
from bulrushloom.proxy.configuration import Configuration, Target
from bulrushloom.proxy.store import (
    ConfigurationDocument,
    DocumentError,
    Record,
    StoreSnapshot,
)

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
# The rest of such a key is the name of a domain; its value has no meaning.
EVACUATION_PREFIX = "op/evacuate/"
MAX_DOMAIN_LENGTH = 200
MEMBER_PREFIX = "members/"

LogEvent = Callable[..., None]


class StoreContent:
    """Decoder of reads, with the entries that it has decoded before; no I/O.

    Everything that is kept by revision is dropped when the store names a new era.
    Invalid target entries are logged once and left out; an invalid configuration is
    logged, and the last valid one stays.
    """

    def __init__(self, log: LogEvent):
        self._log = log
        # The era of the last snapshot.
        self._era = 0
        # The configuration in the store, and the latest one that is known.
        self._stored: Configuration | None = None
        self._configuration: Configuration | None = None
        self._document: ConfigurationDocument | None = None
        self._target_by_key: dict[str, tuple[int, Target | Missing]] = {}

    def enter_era(self, era: int) -> None:
        """Drop what is cached by revision if the store has returned from a copy."""
        if era > self._era:
            self._era = era
            self._stored = None
            self._target_by_key = {}

    def read_items(
        self,
        sent_at: timedelta,
        revision: int,
        items: list[dict[str, Any]],
        with_members: bool,
    ) -> StoreSnapshot:
        """Return the snapshot that the items of a read make up."""
        records: dict[str, Record] = {}
        members: dict[str, Record] = {}
        target_by_key = {}
        evacuated_domains = set()
        for item in items:
            key = item["Key"]
            if key == CONFIGURATION_KEY:
                self._read_configuration(item)
            elif key.startswith(TARGET_PREFIX):
                target_by_key[key] = self._read_target(item)
            elif key.startswith(EVACUATION_PREFIX):
                evacuated_domains.add(key.removeprefix(EVACUATION_PREFIX))
            elif key.startswith(MEMBER_PREFIX):
                members[key] = decode_record(item)
            else:
                records[key] = decode_record(item)
        self._target_by_key = target_by_key
        targets = (target for _, target in target_by_key.values())
        return StoreSnapshot(
            sent_at,
            revision,
            self._stored,
            {t.target_id: t for t in targets if not isinstance(t, Missing)},
            records,
            members if with_members else None,
            frozenset(d for d in evacuated_domains if 0 < len(d) <= MAX_DOMAIN_LENGTH),
            self._era,
        )

    def _read_configuration(self, item: dict[str, Any]) -> None:
        if self._stored and item["Rev"] == self._stored.revision:
            return
        try:
            value = base64.b64decode(item["Value"])
            stored = decode_configuration(value, item["Rev"])
        except (DocumentError, binascii.Error) as error:
            self._log("configuration_unreadable", reason=str(error))
            return
        self._stored = stored
        if self._configuration is None or self._configuration.version < stored.version:
            self._configuration = stored
            self._document = ConfigurationDocument(stored.version, value)

    def document(self) -> ConfigurationDocument | None:
        """Return the latest known configuration in its stored form."""
        return self._document

    def apply_document(self, document: ConfigurationDocument) -> Configuration:
        """Apply a configuration if it is newer; return the latest known one.

        Raise ``DocumentError`` if it is newer and invalid.
        """
        known = self._configuration
        if known is None or known.version < document.version:
            known = decode_configuration(document.value, 0)
            if known.version != document.version:
                reason = f"version {known.version} instead of {document.version}"
                raise DocumentError(reason)
            self._configuration, self._document = known, document
        return known

    def _read_target(self, item: dict[str, Any]) -> tuple[int, Target | Missing]:
        key, revision = item["Key"], item["Rev"]
        known = self._target_by_key.get(key)
        if known is not None and known[0] == revision:
            return known
        try:
            value = base64.b64decode(item["Value"])
        except binascii.Error:
            value = b""
        target = decode_target(key.removeprefix(TARGET_PREFIX), value, revision)
        if isinstance(target, Missing) and not (
            known is not None and isinstance(known[1], Missing)
        ):
            self._log("target_entry_unreadable", key=key, reason=target.reason)
        return revision, target
