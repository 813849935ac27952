"""The registry of commands and what a command may raise.

A command is a class whose doc comment is its help text. It has
``add_arguments(parser)`` and ``run(arguments)``, which prints and returns
an exit code. A name of two words, such as ``config check``, puts the
command into a group.
"""

from bluebellthread import core

EXIT_DONE = 0
EXIT_INVALID = 1
"""The checked file has problems, or the answer is no."""
EXIT_USAGE = 2
"""The command line is wrong; argparse uses this number too."""
EXIT_UNREADABLE = 3
"""A file can't be read."""
EXIT_UNREACHABLE = 4
"""A VM can't be reached or does not answer in time."""
EXIT_UNKNOWN_NAME = 5
"""A name that nothing has."""

commands = core.Registry('command')


class CommandError(core.BluebellthreadError):
    """Ends a command with one line on standard error.

    Parameters
    ----------
    message : str
        What is wrong and what mends it, on one line.
    exit_code : int
        One of the ``EXIT_`` constants.

    Examples
    --------
    >>> CommandError('x', exit_code=EXIT_UNREACHABLE).exit_code
    4
    """

    def __init__(self, message, *, exit_code):
        self.exit_code = exit_code
        super().__init__(message)
