"""Run the command line with ``python -m bulrushloom``."""

import sys


def main() -> None:
    """Run the daemon directly, and all other commands by their full command line."""
    if sys.argv[1:2] == ["proxy"]:
        # The daemon starts within its machine's small share of a core.
        from bulrushloom.proxy.serve import main as serve_main

        serve_main(sys.argv[2:])
        return
    from bulrushloom.management import main as management_main

    management_main()


if __name__ == "__main__":
    main()
