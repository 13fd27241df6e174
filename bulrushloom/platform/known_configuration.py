"""The configuration item of the last read, if it is too large to read each time."""

from typing import Any, NamedTuple

from bulrushloom.platform.store_content import CONFIGURATION_KEY

# The leader reads the store twice a second. Below this size of the encoded value, one
# call for everything costs less than the further calls that leave the configuration
# out. Above it, the configuration would be most of what the leader receives; with
# thousands of accounts it has megabytes, which take longer than the interval.
LARGE_VALUE_LENGTH = 128 * 1024


class KnownConfiguration(NamedTuple):
    """The item, which was in force in the store at ``revision`` of ``era``."""

    item: dict[str, Any]
    revision: int
    era: int

    @classmethod
    def from_read(
        cls, items: list[dict[str, Any]], revision: int, era: int
    ) -> "KnownConfiguration | None":
        """Return what a read returned of the configuration, if that is large."""
        for item in items:
            if item["Key"] == CONFIGURATION_KEY:
                is_large = len(item["Value"]) >= LARGE_VALUE_LENGTH
                return cls(item, revision, era) if is_large else None
        return None
