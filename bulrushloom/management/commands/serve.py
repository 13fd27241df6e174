"""The ``serve`` command."""

from bulrushloom.management.base import prepared_command
from bulrushloom.management.utils import read_settings


@prepared_command
def serve(settings: str) -> None:
    """Run one instance until SIGTERM.

    Args:
        settings: YAML file with the settings of the instance.
    """
    checked = read_settings(settings)
    from bulrushloom.instance.runtime import run_instance

    run_instance(checked)
