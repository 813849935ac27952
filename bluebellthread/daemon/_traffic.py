"""Counts of the control messages that this VM sends to other VMs."""

from bluebellthread.observe import metrics


class Traffic:
    """Counts messages and bytes sent to other VMs.

    Parameters
    ----------
    sender : bluebellthread.observe.Metrics
        Receives the sums when `flush` is called.
    """

    def __init__(self, sender):
        self._sender = sender
        self._messages = 0
        self._bytes = 0

    def count(self, size_bytes, *, messages=1):
        """Add sent messages and their total size to the sums."""
        self._messages += messages
        self._bytes += size_bytes

    def flush(self):
        """Report the sums since the last flush as metrics and reset them."""
        self._sender.count(metrics.CONTROL_MESSAGES, self._messages)
        self._sender.count(metrics.CONTROL_BYTES, self._bytes)
        self._messages = 0
        self._bytes = 0
