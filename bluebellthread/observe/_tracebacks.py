"""Texts of unforeseen errors, for the log."""

import traceback

TRACEBACK_MAX_CHARACTERS = 2000
"""Maximum length of a traceback in a log line; longer ones lose their first
frames."""


def format_error(error):
    r"""Return the end of an error's traceback, which names its cause.

    Examples
    --------
    >>> format_error(ValueError('x'))
    'ValueError: x\n'
    """
    text = ''.join(traceback.format_exception(error))
    return text[-TRACEBACK_MAX_CHARACTERS:]
