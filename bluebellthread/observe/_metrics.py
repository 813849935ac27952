"""Catalogue of metrics, and a client that sends them to statsd.

docs/METRICS.md lists the same metrics; a test compares the two.
"""

import attrs
import statsd

PREFIX = 'bluebellthread'


@attrs.frozen
class Metric:
    """Name and type of a metric that a VM sends.

    Parameters
    ----------
    name : str
        Name after the prefix ``bluebellthread.VM.``. Parts in braces are
        filled in when a value is sent.
    kind : str
        ``'counter'``, ``'gauge'`` or ``'timer'``.

    Examples
    --------
    >>> REQUESTS_REFUSED.fill(kind='overloaded')
    'requests.refused.overloaded'
    """

    name: str
    kind: str

    def fill(self, **parts):
        """Return the name with the parts in braces filled in."""
        return self.name.format(**parts)


PREFILL_WASTED_TOKENS = Metric('prefill.wasted_tokens.{kind}', 'counter')
REQUESTS = Metric('requests', 'counter')
CONTROL_MESSAGES = Metric('control.messages', 'counter')
CONTROL_BYTES = Metric('control.bytes', 'counter')
REQUESTS_REFUSED = Metric('requests.refused.{kind}', 'counter')
RETRIES = Metric('retries.{kind}', 'counter')


def list_metrics():
    """Return all metrics of the catalogue, sorted by name."""
    found = [item for item in globals().values() if isinstance(item, Metric)]
    return sorted(found, key=lambda metric: metric.name)


class Metrics:
    """Client that sends metrics to a statsd server, if there is one.

    Parameters
    ----------
    host, port : str, int
        Address of the statsd server; an empty host sends nothing.
    vm : str
        Name of the VM, which is part of the name of every metric.

    Examples
    --------
    >>> metrics = Metrics(host='', port=0, vm='vm1')
    >>> metrics.count(REQUESTS)
    """

    def __init__(self, *, host, port, vm):
        self._client = None
        if host:
            self._client = statsd.StatsClient(
                host=host, port=port, prefix=f'{PREFIX}.{vm}'
            )

    def count(self, metric, amount=1, **parts):
        """Add an amount to a counter."""
        if self._client is not None:
            self._client.incr(metric.fill(**parts), amount)

    def gauge(self, metric, value, **parts):
        """Set a gauge to a value."""
        if self._client is not None:
            self._client.gauge(metric.fill(**parts), value)

    def time_ms(self, metric, value_ms, **parts):
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(metric.fill(**parts), value_ms)

    def close(self):
        """Close the socket to the statsd server."""
        if self._client is not None:
            self._client.close()
