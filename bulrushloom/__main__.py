"""Run the command line with ``python -m bulrushloom``."""

from bulrushloom.management import main

if __name__ == "__main__":
    main()
