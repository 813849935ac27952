"""Numbered log events, metrics and traces."""

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
from bluebellthread.observe._traces import HOPS
from bluebellthread.observe._traces import Tracer

__all__ = [
    'Event',
    'HOPS',
    'Metrics',
    'Tracer',
    'emit',
    'events',
    'list_events',
    'list_metrics',
    'metrics',
    'read_dropped_count',
    'start_json_log',
    'start_log',
]
