"""Exceptions raised by the settings loader."""


class SettingsError(ValueError):
    """A settings file is invalid; the message has one line per problem."""

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems
