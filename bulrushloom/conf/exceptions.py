"""Exceptions of the settings file."""


class SettingsError(ValueError):
    """Report every problem of a settings file, one line each."""

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems
