"""Collection of the permits that an earlier pool owner granted."""


class Registration:
    """Tracks which live gateways have registered their permits.

    Parameters
    ----------
    options : SchedulerOptions
        Timeouts of the scheduler.

    Examples
    --------
    >>> from bluebellthread.core import _scheduler_options
    >>> registration = Registration(_scheduler_options.SchedulerOptions())
    >>> registration.start(0)
    >>> registration.set_live_gateways({('vm2', 7)})
    >>> registration.pop_due_gateways(0), registration.check_done(0)
    ([('vm2', 7)], False)
    >>> registration.note_registered(('vm2', 7))
    >>> registration.shown_from_ms, registration.check_done(1)
    (1000, True)
    >>> registration.shown_from_ms is None
    True
    """

    def __init__(self, options):
        self._options = options
        self._live = None
        self._registered = set()
        self._deadline_ms = None
        self._shown_from_ms = None
        self._next_request_ms = 0
        self.rebuilding = True

    @property
    def shown_from_ms(self):
        """Time from which load reports show the permits of earlier owners.

        A report received before that may be older than these permits. The
        result is None once the ledger's rebuild has ended.
        """
        return self._shown_from_ms if self.rebuilding else None

    @property
    def is_complete(self):
        """Whether all live gateways have registered their permits."""
        return self._live is not None and self._live <= self._registered

    def start(self, now_ms):
        """Set the deadline of the ledger's rebuild on the first call."""
        if self._deadline_ms is None:
            self._deadline_ms = now_ms + self._options.rebuild_timeout_ms
            self._shown_from_ms = now_ms + self._options.settle_timeout_ms

    def set_live_gateways(self, live):
        """Replace the set of live gateway processes.

        Those that start after the rebuild hold no permits of earlier owners.
        """
        live = set(live)
        self._live = live if self.rebuilding else live & self._live

    def note_registered(self, gateway):
        """Record that a gateway process has registered its permits."""
        self._registered.add(gateway)

    def check_done(self, now_ms):
        """Return True once, when the ledger's rebuild ends.

        The rebuild ends when all live gateways have registered their
        permits, or at the deadline.
        """
        if not self.rebuilding:
            return False
        self.rebuilding = not self.is_complete and now_ms < self._deadline_ms
        return not self.rebuilding

    def pop_due_gateways(self, now_ms):
        """Return the gateway processes to ask for their permits now.

        A gateway that was too slow for the rebuild is still asked after it.
        """
        if self._live is None:
            return []
        if now_ms < self._next_request_ms:
            return []
        self._next_request_ms = now_ms + self._options.register_period_ms
        return sorted(self._live - self._registered)
