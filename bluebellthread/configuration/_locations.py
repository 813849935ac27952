"""Find the line of each value in a JSON text, for error messages."""

import re

import attrs

_TOKEN = re.compile(
    r"""
    (?P<space>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<string>"(?:[^"\\]|\\.)*")
    |(?P<mark>[\[\]{},:])
    |(?P<scalar>[^\s\[\]{},:"/]+)
    """,
    re.VERBOSE | re.DOTALL,
)


@attrs.define
class Locations:
    """Hold the line numbers of the values in a JSON text.

    Parameters
    ----------
    lines : dict
        Line number, from 1, of the key or list item at each path.
    repeated : list of (str, int)
        Path and line of each key that occurs earlier in the same object.
    """

    lines: dict[str, int] = attrs.field(factory=dict)
    repeated: list[tuple[str, int]] = attrs.field(factory=list)


def locate_lines(text):
    r"""Return the `Locations` of a valid JSON text; comments are allowed.

    Examples
    --------
    >>> locate_lines('{"a": [1,\n {"b": 2}]}').lines
    {'': 1, 'a': 1, 'a[0]': 1, 'a[1]': 2, 'a[1].b': 2}
    """
    locations = Locations()
    _Locator(text, locations).locate_value('')
    return locations


def find_line(lines, path):
    """Return the line of a path, or of its nearest known parent.

    Examples
    --------
    >>> find_line({'': 1, 'a': 4}, 'a.missing[0].x')
    4
    """
    while path and path not in lines:
        path = re.sub(r'(\[\d+\]|\.?[^.\[\]]*)$', '', path)
    return lines.get(path, 0)


class _Locator:
    def __init__(self, text, locations):
        self._tokens = self._iterate_tokens(text)
        self._lines = locations.lines
        self._repeated = locations.repeated
        self._advance()

    def _iterate_tokens(self, text):
        line = 1
        for match in _TOKEN.finditer(text):
            if match.lastgroup != 'space':
                yield match.group(), line
            line += match.group().count('\n')

    def _advance(self):
        token = getattr(self, '_token', None)
        self._token, self._line = next(self._tokens, ('', 0))
        return token

    def locate_value(self, path):
        self._lines.setdefault(path, self._line)
        opening = self._advance()
        if opening == '{':
            self._locate_object(path)
        elif opening == '[':
            self._locate_array(path)

    def _locate_object(self, path):
        while self._token not in ('}', ''):
            key = self._token[1:-1]
            child = f'{path}.{key}' if path else key
            if child in self._lines:
                self._repeated.append((child, self._line))
            self._lines[child] = self._line
            self._advance()  # the key
            self._advance()  # the colon
            self.locate_value(child)
            self._skip_comma()
        self._advance()

    def _locate_array(self, path):
        index = 0
        while self._token not in (']', ''):
            self.locate_value(f'{path}[{index}]')
            self._skip_comma()
            index += 1
        self._advance()

    def _skip_comma(self):
        if self._token == ',':
            self._advance()
