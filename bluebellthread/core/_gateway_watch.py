"""Which gateway processes are gone, so that their requests are."""


class GatewayWatch:
    """Compares the holders of permits with the membership view.

    Parameters
    ----------
    options : SchedulerOptions
        The times.

    Examples
    --------
    >>> from bluebellthread.core import _scheduler_options
    >>> watch = GatewayWatch(_scheduler_options.SchedulerOptions())
    >>> watch.note_live({('vm2', 7)})
    >>> watch.note_live(set())
    >>> watch.find_gone([('vm2', 7)], 0)
    [('vm2', 7)]
    """

    def __init__(self, options):
        self._options = options
        self._gone = set()
        self._unknown_since_ms = {}
        self.live = frozenset()

    def note_live(self, live):
        """Take in the live gateway processes."""
        live = frozenset(live)
        names = {name for name, _ in live}
        kept = {item for item in self._gone if item[0] in names}
        self._gone = (kept | (self.live - live)) - live
        self.live = live

    def is_gone(self, gateway):
        """Return whether a process has left the view."""
        return gateway in self._gone

    def find_gone(self, holders, now_ms):
        """Return which of the holders are gone.

        A process that was never in the view may be too new for it, and
        counts as gone only after a while.
        """
        gone = []
        unknown = {}
        for holder in holders:
            if holder in self.live:
                continue
            since_ms = self._unknown_since_ms.get(holder, now_ms)
            unknown[holder] = since_ms
            timeout_ms = self._options.unknown_gateway_timeout_ms
            if holder in self._gone or now_ms - since_ms >= timeout_ms:
                gone.append(holder)
        self._unknown_since_ms = unknown
        return gone
