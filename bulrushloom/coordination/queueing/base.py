"""Interface of the queue of statements that wait for a target's slots."""

from abc import ABC, abstractmethod
from datetime import timedelta

from bulrushloom.core.sentinels import Missing

EMPTY = Missing("the queue is empty")


class SlotQueue(ABC):
    """Queue of the statements that wait for a slot of one target."""

    @abstractmethod
    def push(
        self, item_id: str, account: str, deadline: timedelta, now: timedelta
    ) -> bool:
        """Add an item; return false if the account's queue is full."""

    @abstractmethod
    def pop(self, now: timedelta) -> str | Missing:
        """Remove and return the next item to run, skipping expired ones."""

    @abstractmethod
    def expired(self, now: timedelta) -> list[str]:
        """Remove and return the items whose deadline has passed, oldest first."""

    @abstractmethod
    def remove(self, item_id: str) -> bool:
        """Remove an item; return false if it is not in the queue."""

    @abstractmethod
    def charge(self, account: str, duration: timedelta) -> None:
        """Record the run time of an item of the account."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting items, including expired ones."""
