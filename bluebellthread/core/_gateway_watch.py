"""Detection of gateway processes that have left the membership view."""

GONE_PROCESS_RETENTION_MS = 600000
"""How long a process that has left the view is remembered."""


class GatewayWatch:
    """Finds holders of permits that are not in the membership view.

    Parameters
    ----------
    options : SchedulerOptions
        Timeouts of the scheduler.

    Examples
    --------
    >>> from bluebellthread.core import _scheduler_options
    >>> watch = GatewayWatch(_scheduler_options.SchedulerOptions())
    >>> watch.set_live_gateways({('vm2', 7)}, minority=False, now_ms=0)
    >>> watch.set_live_gateways(set(), minority=False, now_ms=0)
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
    def minority_wait_ms(self):
        """How long a process must be missing before it counts as dead."""
        return self._options.minority_timeout_ms if self._minority else 0

    def set_live_gateways(self, live, *, minority, now_ms):
        """Replace the set of live gateway processes.

        ``minority`` tells whether more VMs of the data centre look dead than
        alive; a gateway that left the view then counts as dead only after
        `minority_wait_ms`.
        """
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
        """Return whether a process has left the membership view."""
        return gateway in self._gone_since_ms

    def gone_since_ms(self, process):
        """Return the time at which a process left the membership view.

        If that is unknown, return the time of the last call of
        `set_live_gateways` that replaced an empty set.
        """
        return self._gone_since_ms.get(process, self._start_ms)

    def _is_old(self, since_ms, now_ms):
        return now_ms - since_ms > GONE_PROCESS_RETENTION_MS

    def find_gone(self, holders, now_ms):
        """Return the holders that count as dead.

        A process that was never in the view may be too new for it, so it
        counts as dead only after ``unknown_gateway_timeout_ms``.
        """
        gone = []
        unknown = {}
        for holder in holders:
            if holder in self.live:
                continue
            since_ms = self._unknown_since_ms.get(holder, now_ms)
            unknown[holder] = since_ms
            timeout_ms = max(
                self._options.unknown_gateway_timeout_ms, self.minority_wait_ms
            )
            if holder in self._gone_since_ms:
                since_ms = self._gone_since_ms[holder]
                timeout_ms = self.minority_wait_ms
            if now_ms - since_ms >= timeout_ms:
                gone.append(holder)
        self._unknown_since_ms = unknown
        return gone
