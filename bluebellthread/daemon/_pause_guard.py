"""Notices that this process was paused, before it acts on anything."""

from bluebellthread.daemon import _clock


class PauseGuard:
    """Compares the boot-time clock with the last look at it.

    Every task looks before it acts on what has queued, so that the first
    one to run after a pause tells all others.

    Parameters
    ----------
    lease_timeout_ms : int
        Longest gap between two looks that is no pause.
    read_clock_ms : callable
        The clock.

    Examples
    --------
    >>> times = iter([0, 400, 2000])
    >>> guard = PauseGuard(
    ...     lease_timeout_ms=450, read_clock_ms=lambda: next(times))
    >>> guard.check(), guard.check(), guard.check(), guard.epoch
    (0, 400, 2000, 1)
    """

    def __init__(
        self, *, lease_timeout_ms, read_clock_ms=_clock.read_clock_ms
    ):
        self._lease_timeout_ms = lease_timeout_ms
        self._read_clock_ms = read_clock_ms
        self._last_ms = None
        self._listeners = []
        self.epoch = 0

    def add_listener(self, listener):
        """Have a function called as soon as a pause is noticed."""
        self._listeners.append(listener)

    def check(self):
        """Notice a pause and return the time.

        ``epoch`` counts the pauses: what was decided in an earlier epoch
        has to be decided again.
        """
        now_ms = self._read_clock_ms()
        last_ms = self._last_ms
        self._last_ms = now_ms
        if last_ms is not None and now_ms - last_ms > self._lease_timeout_ms:
            self.epoch += 1
            for listener in self._listeners:
                listener()
        return now_ms
