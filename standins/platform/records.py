"""Records of the simulated servers: commits and statements that ran."""

from datetime import timedelta
from typing import NamedTuple


class Commit(NamedTuple):
    """A log entry: the writes of one transaction, at position ``(term, number)``."""

    term: int
    number: int
    request_ids: tuple[str, ...]


class Promotion(NamedTuple):
    """A promotion that took effect, with the last position of the server's log."""

    at: timedelta
    server: str
    term: int
    position: tuple[int, int]


class Start(NamedTuple):
    """A START message that a server received, with the account that it named."""

    server: str
    account: str
    at: timedelta


class Query(NamedTuple):
    """A QUERY message that a server received, whether or not it ran."""

    server: str
    request_id: str
    text: str
    at: timedelta


class Run(NamedTuple):
    """A statement that a server ran.

    ``shape`` is the text of the prepared statement, if any. ``transaction`` is the
    number of its transaction, or 0. ``position`` is the position of the last entry that
    the server had applied.
    """

    server: str
    request_id: str
    text: str
    shape: str
    account: str
    connection: int
    transaction: int
    values: dict[str, str]
    position: tuple[int, int]
    at: timedelta
