"""Command line of bulrushloom."""


def main() -> None:
    """Run the command named on the command line."""
    raise SystemExit("bulrushloom: no command is available yet")
