"""Exceptions raised by commands."""

BAD_INPUT_STATUS = 2
FAILURE_STATUS = 1
WARNING_STATUS = 3


class CommandError(Exception):
    """A command failed; the message is printed on standard error."""

    def __init__(self, message: str, status: int = FAILURE_STATUS):
        super().__init__(message)
        self.status = status


class BadInput(CommandError):
    """The arguments or files of a command are invalid."""

    def __init__(self, message: str):
        super().__init__(message, BAD_INPUT_STATUS)
