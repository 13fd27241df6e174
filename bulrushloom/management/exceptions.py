"""Exceptions of the command line."""

BAD_INPUT_STATUS = 2
FAILURE_STATUS = 1


class CommandError(Exception):
    """End a command with lines for standard error and an exit status."""

    def __init__(self, message: str, status: int = FAILURE_STATUS):
        super().__init__(message)
        self.status = status


class BadInput(CommandError):
    """End a command because of its arguments or files."""

    def __init__(self, message: str):
        super().__init__(message, BAD_INPUT_STATUS)
