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

CUSTOMERS_MAX = 128
"""Most customers that are counted by name: some 100 KB of memory and 10 KB of
each answer to the monitoring. The others are counted together."""

OTHER_CUSTOMERS = '(other)'
NO_CUSTOMER = '(none)'
"""Names that stand for the customers beyond `CUSTOMERS_MAX`, and for requests
to routes that need no key."""

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
        self._customer_requests = self._counter(
            'customer_requests', 'Requests by customer', ('customer',)
        )
        self._customer_names = {OTHER_CUSTOMERS, NO_CUSTOMER}
        self._unknown_keys = self._counter(
            'unknown_keys', 'Requests refused as no customer has their key'
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
        self._waited = self._counter(
            'plain_waits', 'Waits for a place at full servers'
        )
        self._customer_units = self._counter(
            'customer_units',
            'Units asked for of customers with limits',
            ('customer', 'outcome'),
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
                ('client_memory_bytes', 'Memory held for clients'),
                ('client_connections', 'Connections of clients'),
                ('clients_cut_off', 'Stalled clients cut off so far'),
                ('connections_refused', 'Connections over the limit so far'),
                (
                    'requests_unacceptable',
                    'Malformed, late or oversized requests so far',
                ),
                ('placements_waiting', 'Requests that wait for engines here'),
                ('placements_held', 'Places at engines given here'),
                ('late_event_share', 'First events later than expected here'),
                ('shut_outs', 'Requests refused as they end servers'),
                ('lost_services', 'Services of which no server is reached'),
                ('limited_servers', 'Servers that name limits'),
            )
        }

        self._server_load, self._report_age = (
            prometheus_client.Gauge(
                f'{PREFIX}_{name}', text, ('server',), registry=self._registry
            )
            for name, text in (
                ('server_load', 'Estimated requests at a server per slot'),
                ('load_report_age_seconds', 'Age of the last load report'),
            )
        )

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

    def count_customer(self, customer):
        """Count a request where the configuration has customers.

        Parameters
        ----------
        customer : Customer or None
            Who has sent it.
        """
        name = NO_CUSTOMER if customer is None else customer.name
        name = self._find_label(name)
        self._customer_requests.labels(customer=name).inc()

    def count_unknown_key(self):
        """Count a request that is refused for its key."""
        self._unknown_keys.inc()

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

    def count_waited(self):
        """Count a wait of a request for a place at full servers."""
        self._waited.inc()

    def _find_label(self, name):
        """Return the name under which a customer is counted."""
        names = self._customer_names
        if name not in names:
            # Two of the names stand for no customer.
            if len(names) < CUSTOMERS_MAX + 2:
                names.add(name)
            else:
                name = OTHER_CUSTOMERS
        return name

    def count_customer_units(self, customer, units, *, is_admitted):
        """Count the units of a request of a customer with a limit."""
        customer = self._find_label(customer)
        outcome = 'admitted' if is_admitted else 'refused'
        self._customer_units.labels(customer=customer, outcome=outcome).inc(
            units
        )

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

    def set_server_loads(self, estimates):
        """Replace the estimates of servers: load, and age of the report.

        Parameters
        ----------
        estimates : iterable of (ListedServer, float, float or None)
            The requests per slot, and the milliseconds since the report.
        """
        self._server_load.clear()
        self._report_age.clear()
        for server, load, age_ms in estimates:
            self._server_load.labels(server=server.name).set(load)
            if age_ms is not None:
                age_s = age_ms / _clock.MS_PER_S
                self._report_age.labels(server=server.name).set(age_s)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
