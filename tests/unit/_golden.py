"""Records sessions of a state machine and compares them with golden files.

Set ``WRITE_GOLDEN=1`` in the environment to update the files, then review
the difference.
"""

import os
import pathlib

import attrs

DIRECTORY = pathlib.Path(__file__).parent.parent / 'golden'


def render(value):
    """Return a value as one line, without fields that have their default."""
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
    """Feed events to a state machine and record them with its commands."""

    def __init__(self, machine):
        self._machine = machine
        self._lines = []

    def note(self, text):
        """Add a comment line to the session."""
        self._lines.append(f'# {text}')

    def feed(self, now_ms, event):
        """Pass an event to the machine and return its commands."""
        commands = self._machine.handle(event, now_ms)
        self._lines.append(f'{now_ms} {render(event)}')
        self._lines.extend(f'  -> {render(item)}' for item in commands)
        return commands

    def check(self, test_case, name):
        """Assert that the session equals the golden file of this name."""
        path = DIRECTORY / f'{name}.txt'
        text = '\n'.join(self._lines) + '\n'
        if os.environ.get('WRITE_GOLDEN'):
            path.write_text(text, encoding='utf-8')
        test_case.maxDiff = None
        test_case.assertEqual(path.read_text(encoding='utf-8'), text)
