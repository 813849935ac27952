"""Counts what this VM sends to other VMs for control."""

from bluebellthread.observe import metrics


class Traffic:
    """Messages and bytes sent to other VMs.

    Parameters
    ----------
    sender : bluebellthread.observe.Metrics
        Told of the sums now and then.
    """

    def __init__(self, sender):
        self._sender = sender
        self._messages = 0
        self._bytes = 0

    def count(self, size_bytes, *, messages=1):
        """Count what is sent."""
        self._messages += messages
        self._bytes += size_bytes

    def flush(self):
        """Send the sums since the last time."""
        self._sender.count(metrics.CONTROL_MESSAGES, self._messages)
        self._sender.count(metrics.CONTROL_BYTES, self._bytes)
        self._messages = 0
        self._bytes = 0
