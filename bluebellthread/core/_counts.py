"""Reads counts that others have written as text."""

DIGITS_MAX = 15
"""Digits of the longest number that is taken for a count: Python converts
some thousands at the most, and slowly, and floats hold a few hundred."""


def parse_count(text):
    """Return a count written in ASCII digits, or None.

    Examples
    --------
    >>> parse_count('1460'), parse_count(' 8 ')
    (1460, 8)
    >>> parse_count('-1'), parse_count(''), parse_count('9' * 400)
    (None, None, None)
    """
    text = text.strip()
    if len(text) > DIGITS_MAX or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
