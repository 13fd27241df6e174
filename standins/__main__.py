"""Run one stand-in: ``python -m standins store|directory|database --port N``."""

import fire

from standins.base import serve
from standins.database.app import DatabaseStandin, group_settings
from standins.directory.app import DirectoryStandin
from standins.store.app import StoreStandin


def store(port: int) -> None:
    """Serve the configuration store."""
    serve(StoreStandin(), port)


def directory(port: int) -> None:
    """Serve the list of instances."""
    serve(DirectoryStandin(), port)


def database(
    port: int,
    name: str,
    group: str,
    domain: str,
    peers: str = "",
    primary: bool = False,
    schema: str = "",
) -> None:
    """Serve one server of a group; ``peers`` is ``name=host:port,...``.

    With ``primary`` the server starts as the primary of term 1; the others find it
    among their peers. ``schema`` names a file of SQL that every server starts with.
    A stopped server has lost its grants and its log and must not be started again
    as a member of the same group.
    """
    text = ""
    if schema:
        with open(schema, encoding="utf-8") as file:
            text = file.read()
    settings = group_settings(str(name), str(group), str(domain), str(peers), primary)
    serve(DatabaseStandin(settings, text), port)


if __name__ == "__main__":
    fire.Fire({"store": store, "directory": directory, "database": database})
