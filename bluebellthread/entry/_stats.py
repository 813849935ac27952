"""Metrics of an entry process, in the Prometheus text format."""

import prometheus_client

from bluebellthread.daemon import _clock

PREFIX = 'bluebellthread'
LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
    15.0,
)
"""Bucket bounds in seconds, around the target latency of the first token."""

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()


class EntryStats:
    """Holds the counters, histograms and gauges of one process.

    Examples
    --------
    >>> stats = EntryStats()
    >>> stats.count_request(kind='once', outcome='answered', took_ms=12)
    >>> b'bluebellthread_requests_total' in stats.render()
    True
    """

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = self._counter(
            'requests', 'Requests of callers', ('kind', 'outcome')
        )
        self._failures = self._counter(
            'failed_calls', 'Calls to servers that failed', ('stage',)
        )
        self._engine_ends = self._counter(
            'engine_ends', 'Servers that ended under requests'
        )
        self._silences = self._counter(
            'silences', 'Waits for servers that sent nothing for long'
        )
        self._followed = self._counter(
            'followed', 'Attempts made beside one at a silent server'
        )
        self._turned_away = self._counter(
            'turned_away', 'Requests kept from servers that name limits'
        )
        self._handed_on = self._counter(
            'handed_on', 'Requests that other VMs took from this one'
        )
        self._taken = self._counter(
            'taken', 'Requests taken from VMs without a path to servers'
        )
        self._latency = self._histogram(
            'request_seconds', 'From first byte to end', ('kind',)
        )
        self._first_event = self._histogram(
            'first_event_seconds', 'From first byte to first event'
        )
        self._prefill = self._histogram(
            'prefill_seconds', 'Calls that have a prompt read'
        )
        self._gauges = {
            name: prometheus_client.Gauge(
                f'{PREFIX}_{name}', text, registry=self._registry
            )
            for name, text in (
                ('config_version', 'Version of the configuration in force'),
                ('server_connections_opened', 'Connections to servers opened'),
                ('log_lines_dropped', 'Log lines over the limit'),
                ('tasks_failed', 'Tasks that met an unexpected error'),
                ('request_body_bytes', 'Memory that long bodies take'),
                ('placements_waiting', 'Requests that wait for engines here'),
                ('placements_held', 'Places at engines given here'),
                ('late_event_share', 'First events later than expected here'),
                ('shut_outs', 'Requests refused as they end servers'),
                ('lost_services', 'Services of which no server is reached'),
                ('limited_servers', 'Servers that name limits'),
            )
        }

    def _counter(self, name, text, labels=()):
        return prometheus_client.Counter(
            f'{PREFIX}_{name}', text, labels, registry=self._registry
        )

    def _histogram(self, name, text, labels=()):
        return prometheus_client.Histogram(
            f'{PREFIX}_{name}',
            text,
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def count_request(self, *, kind, outcome, took_ms):
        """Count a request that has ended, and record how long it took."""
        self._requests.labels(kind=kind, outcome=outcome).inc()
        self._latency.labels(kind=kind).observe(took_ms / _clock.MS_PER_S)

    def count_failure(self, stage):
        """Count a failed call to a server for one stage of the work."""
        self._failures.labels(stage=stage).inc()

    def count_engine_end(self):
        """Count an engine that ended under requests of this VM."""
        self._engine_ends.inc()

    def count_silence(self):
        """Count a server that keeps a request waiting in silence."""
        self._silences.inc()

    def count_followed(self):
        """Count an attempt made beside one at a silent server."""
        self._followed.inc()

    def count_turned_away(self):
        """Count a request that a server's limit kept from the server."""
        self._turned_away.inc()

    def count_handed_on(self):
        """Count a request that another VM has taken."""
        self._handed_on.inc()

    def count_taken(self):
        """Count a request that was taken from another VM."""
        self._taken.inc()

    def observe_first_event(self, took_ms):
        """Record the time from a request's first byte to its first event."""
        self._first_event.observe(took_ms / _clock.MS_PER_S)

    def observe_prefill(self, took_ms):
        """Record how long a prefill call took."""
        self._prefill.observe(took_ms / _clock.MS_PER_S)

    def set_gauge(self, name, value):
        """Set a gauge, named without the common prefix of all metrics."""
        self._gauges[name].set(value)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
