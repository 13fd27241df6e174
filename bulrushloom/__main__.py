"""Entry point of ``python -m bulrushloom``."""

import sys


def main() -> None:
    """Run the proxy daemon, or pass any other command to the command line."""
    if sys.argv[1:2] == ["proxy"]:
        # The daemon may only use a small part of a core, so it starts without
        # importing the other commands.
        from bulrushloom.proxy.serve import main as serve_main

        serve_main(sys.argv[2:])
        return
    from bulrushloom.management import main as management_main

    management_main()


if __name__ == "__main__":
    main()
