"""Which gateway processes are gone, so that their requests are."""

FORGET_MS = 600000
"""How long a process that is gone is remembered."""


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
    >>> watch.note_live({('vm2', 7)}, minority=False, now_ms=0)
    >>> watch.note_live(set(), minority=False, now_ms=0)
    >>> watch.find_gone([('vm2', 7)], 0)
    [('vm2', 7)]
    """

    def __init__(self, options):
        self._options = options
        self._gone_since_ms = {}
        self._minority = False
        self._start_ms = 0
        self._unknown_since_ms = {}
        self.live = frozenset()

    @property
    def wait_ms(self):
        """How long to wait before what looks dead is taken for dead."""
        return self._options.minority_timeout_ms if self._minority else 0

    def note_live(self, live, *, minority, now_ms):
        """Take in the live gateway processes."""
        if not self.live:
            self._start_ms = now_ms
        live = frozenset(live)
        names = {name for name, _ in live}
        gone = {
            process: since_ms
            for process, since_ms in self._gone_since_ms.items()
            if process not in live
            and (process[0] in names or not self._is_old(since_ms, now_ms))
        }
        for process in self.live - live:
            gone.setdefault(process, now_ms)
        self._gone_since_ms = gone
        self._minority = minority
        self.live = live

    def is_gone(self, gateway):
        """Return whether a process has left the view."""
        return gateway in self._gone_since_ms

    def gone_since_ms(self, process):
        """Return since when a process has not been in the view."""
        return self._gone_since_ms.get(process, self._start_ms)

    def _is_old(self, since_ms, now_ms):
        return now_ms - since_ms > FORGET_MS

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
            timeout_ms = max(
                self._options.unknown_gateway_timeout_ms, self.wait_ms
            )
            if holder in self._gone_since_ms:
                since_ms = self._gone_since_ms[holder]
                timeout_ms = self.wait_ms
            if now_ms - since_ms >= timeout_ms:
                gone.append(holder)
        self._unknown_since_ms = unknown
        return gone
