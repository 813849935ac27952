"""How a new owner learns of the permits that an earlier one granted."""


class Registration:
    """Tracks which live gateways have told of their permits.

    Parameters
    ----------
    options : SchedulerOptions
        The times.

    Examples
    --------
    >>> from bluebellthread.core import _scheduler_options
    >>> registration = Registration(_scheduler_options.SchedulerOptions())
    >>> registration.start(0)
    >>> registration.note_live({('vm2', 7)})
    >>> registration.pop_calls(0), registration.check_done(0)
    ([('vm2', 7)], False)
    >>> registration.note_registered(('vm2', 7))
    >>> registration.check_done(1)
    True
    """

    def __init__(self, options):
        self._options = options
        self._live = None
        self._registered = set()
        self._deadline_ms = None
        self._next_call_ms = 0
        self.rebuilding = True

    def start(self, now_ms):
        """Set the grace deadline when the first event comes."""
        if self._deadline_ms is None:
            self._deadline_ms = now_ms + self._options.rebuild_timeout_ms

    def note_live(self, live):
        """Take in the live gateway processes."""
        self._live = set(live)

    def note_registered(self, gateway):
        """Note that a gateway process has told of its permits."""
        self._registered.add(gateway)

    def check_done(self, now_ms):
        """Return True once, when the rebuilding ends."""
        if not self.rebuilding:
            return False
        complete = self._live is not None and (self._live <= self._registered)
        self.rebuilding = not complete and now_ms < self._deadline_ms
        return not self.rebuilding

    def pop_calls(self, now_ms):
        """Return the gateway processes to call now."""
        if not self.rebuilding or self._live is None:
            return []
        if now_ms < self._next_call_ms:
            return []
        self._next_call_ms = now_ms + self._options.register_period_ms
        return sorted(self._live - self._registered)
