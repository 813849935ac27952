"""Sessions of a state machine as text, compared with golden files.

Set ``WRITE_GOLDEN=1`` to write the files instead, then read the change.
"""

import os
import pathlib

import attrs

DIRECTORY = pathlib.Path(__file__).parent.parent / 'golden'


def render(value):
    """Return a value as one line, without fields at their defaults."""
    if attrs.has(type(value)):
        fields = [
            f'{field.name}={render(getattr(value, field.name))}'
            for field in attrs.fields(type(value))
            if getattr(value, field.name) != field.default
        ]
        return f'{type(value).__name__}({", ".join(fields)})'
    if isinstance(value, tuple):
        return f'[{", ".join(map(render, value))}]'
    return str(value)


class Session:
    """Feeds a state machine and writes down what goes in and out."""

    def __init__(self, machine):
        self._machine = machine
        self._lines = []

    def note(self, text):
        """Write a comment."""
        self._lines.append(f'# {text}')

    def feed(self, now_ms, event):
        """Hand an event over and return the commands."""
        commands = self._machine.handle(event, now_ms)
        self._lines.append(f'{now_ms} {render(event)}')
        self._lines.extend(f'  -> {render(item)}' for item in commands)
        return commands

    def check(self, test_case, name):
        """Compare the session with the golden file of a name."""
        path = DIRECTORY / f'{name}.txt'
        text = '\n'.join(self._lines) + '\n'
        if os.environ.get('WRITE_GOLDEN'):
            path.write_text(text, encoding='utf-8')
        test_case.maxDiff = None
        test_case.assertEqual(path.read_text(encoding='utf-8'), text)
