"""Replays golden sessions: recorded events of a core state machine.

Each ``.session`` file in this directory is one session::

    # The behaviour that the session shows.
    machine answer {"prompt": "a lost wig"}
    > 0 AnswerAsked {}
    < AskPermit {"request": {...}}

A line with ``>`` is an event, with its time in milliseconds. The lines
with ``<`` after it are the commands that the machine returns. Fields with
their default values are left out; a pool is shown as its key's text and a
permit as a summary. `replay` returns the session with the commands of the
current code; ``python -m tests.golden FILE...`` writes them into the files.
"""

import enum
import json

import attrs

from bluebellthread import core

machines = core.Registry('machine of a golden file')
"""Functions that take the options of a session and return its machine.

A machine has a method ``handle(event, now_ms)`` that returns commands.
"""

event_shorthands = core.Registry('shorthand of a golden file')
"""Functions that build an event from the fields of a shorthand.

A shorthand stands for an event that would be long to write in full.
"""


def replay(text, *, event_classes):
    """Return a session's text with the commands of the current code.

    Parameters
    ----------
    text : str
        Text of the session.
    event_classes : object
        Module or namespace with an attrs class for each event's name.
    """
    machine = None
    lines = []
    for line in text.splitlines():
        if line.startswith('< '):
            continue
        lines.append(line)
        if line.startswith('machine '):
            _, name, options = line.split(' ', 2)
            machine = machines.get(name)(json.loads(options))
        elif line.startswith('> '):
            _, now_ms, name, fields = line.split(' ', 3)
            event = _make_event(name, json.loads(fields), event_classes)
            commands = machine.handle(event, int(now_ms))
            lines.extend(f'< {show(command)}' for command in commands)
    return '\n'.join(lines) + '\n'


def show(command):
    """Return a command as the text of one line, without ``<``."""
    fields = json.dumps(_to_plain_value(command), ensure_ascii=False)
    return f'{type(command).__name__} {fields}'


def _make_event(name, fields, event_classes):
    if name in event_shorthands.names():
        return event_shorthands.get(name)(fields)
    return getattr(event_classes, name)(**fields)


def _to_plain_value(value):
    if isinstance(value, core.PoolKey):
        return value.text()
    if isinstance(value, core.Permit):
        servers = f'{value.prefill_server} to {value.decode_server}'
        return f'{value.permit_id}: {servers}, {value.pieces} pieces'
    if attrs.has(type(value)):
        shown = {}
        for field in attrs.fields(type(value)):
            item = getattr(value, field.name)
            if item != field.default:
                shown[field.name] = _to_plain_value(item)
        return shown
    if isinstance(value, (tuple, list)):
        return [_to_plain_value(item) for item in value]
    if isinstance(value, dict):
        return {key: _to_plain_value(item) for key, item in value.items()}
    return value.name if isinstance(value, enum.Enum) else value
