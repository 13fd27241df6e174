"""Command line: ``python -m standins store|directory|database --port N``.

Each command runs one stand-in until it receives SIGTERM or SIGINT.
"""

import fire

from standins.base import serve
from standins.database.app import DatabaseStandin, group_settings
from standins.directory.app import DirectoryStandin
from standins.store.app import StoreStandin


def store(port: int) -> None:
    """Run the configuration store."""
    serve(StoreStandin(), port)


def directory(port: int) -> None:
    """Run the directory of instances."""
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
    """Run one database server of a group; ``peers`` is ``name=host:port,...``.

    With ``primary``, the server starts as the primary of term 1; the other servers
    discover it among their peers. ``schema`` is the path of an SQL file that every
    server runs at startup. The server keeps its term grants and its log in memory
    only, so after a stop it must not rejoin the same group.
    """
    text = ""
    if schema:
        with open(schema, encoding="utf-8") as file:
            text = file.read()
    settings = group_settings(str(name), str(group), str(domain), str(peers), primary)
    serve(DatabaseStandin(settings, text), port)


if __name__ == "__main__":
    fire.Fire({"store": store, "directory": directory, "database": database})
