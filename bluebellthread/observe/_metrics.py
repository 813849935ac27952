"""Counters, gauges and timers by statsd."""

import statsd

PREFIX = 'bluebellthread'


class Metrics:
    """Sends metrics to a statsd server, or nowhere.

    Parameters
    ----------
    host, port : str, int
        The statsd server; an empty host sends nothing.
    vm : str
        Name of the VM, a part of every metric's name.

    Examples
    --------
    >>> metrics = Metrics(host='', port=0, vm='vm1')
    >>> metrics.count('requests')
    """

    def __init__(self, *, host, port, vm):
        self._client = None
        if host:
            self._client = statsd.StatsClient(
                host=host, port=port, prefix=f'{PREFIX}.{vm}'
            )

    def count(self, name, amount=1):
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name, value):
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def time_ms(self, name, value_ms):
        """Record a time in milliseconds."""
        if self._client is not None:
            self._client.timing(name, value_ms)

    def close(self):
        """Close the socket."""
        if self._client is not None:
            self._client.close()
