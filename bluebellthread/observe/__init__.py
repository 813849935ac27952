"""Numbered log events, metrics and traces.

Traces are imported when they are first used: an entry process makes none, and
its callers wait for its start.
"""

import importlib

from bluebellthread.observe import _events as events
from bluebellthread.observe._events import emit
from bluebellthread.observe._events import Event
from bluebellthread.observe._events import list_events
from bluebellthread.observe._events import start_log
from bluebellthread.observe._json_log import read_dropped_count
from bluebellthread.observe._json_log import start_json_log
from bluebellthread.observe import _metrics as metrics
from bluebellthread.observe._metrics import list_metrics
from bluebellthread.observe._metrics import Metrics
from bluebellthread.observe._tracebacks import format_error

_TRACES = ('HOPS', 'Tracer')

__all__ = [
    *_TRACES,
    'Event',
    'Metrics',
    'emit',
    'events',
    'format_error',
    'list_events',
    'list_metrics',
    'metrics',
    'read_dropped_count',
    'start_json_log',
    'start_log',
]


def __getattr__(name):
    if name not in _TRACES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    traces = importlib.import_module(f'{__name__}._traces')
    return getattr(traces, name)
