"""Registry of commands, their exit codes and `CommandError`.

A command is a class whose docstring is its help text. Its method
``add_arguments(parser)`` adds arguments, and ``run(arguments)`` prints the
result and returns an exit code. A name of two words, such as
``config check``, puts the command into a group.
"""

from bluebellthread import core

EXIT_DONE = 0
EXIT_INVALID = 1
"""A file is invalid, or a check failed."""
EXIT_USAGE = 2
"""The command line is wrong; argparse exits with the same code."""
EXIT_UNREADABLE = 3
"""A file can't be read."""
EXIT_UNREACHABLE = 4
"""A VM can't be reached or does not answer in time."""
EXIT_UNKNOWN_NAME = 5
"""A service, data centre, request or ticket of this name is unknown."""

commands = core.Registry('command')


class CommandError(core.BluebellthreadError):
    """Raised to end a command with one line on standard error.

    Parameters
    ----------
    message : str
        The problem and its remedy, on one line.
    exit_code : int
        Exit code of the process, one of the ``EXIT_`` constants.

    Examples
    --------
    >>> CommandError('x', exit_code=EXIT_UNREACHABLE).exit_code
    4
    """

    def __init__(self, message, *, exit_code):
        self.exit_code = exit_code
        super().__init__(message)
