"""Detection of process pauses, before queued messages are handled."""

from bluebellthread.daemon import _clock


class PauseGuard:
    """Detects a pause by a gap between two readings of the boot-time clock.

    Every task calls `check_for_pause` before it handles queued messages. The
    first task to run after a pause thereby notifies all listeners.

    Parameters
    ----------
    lease_timeout_ms : int
        Longest gap between two checks that does not count as a pause.
    read_clock_ms : callable
        Returns the boot-time clock's time in milliseconds.

    Examples
    --------
    >>> times = iter([0, 400, 2000])
    >>> guard = PauseGuard(
    ...     lease_timeout_ms=450, read_clock_ms=lambda: next(times))
    >>> (guard.check_for_pause(), guard.check_for_pause(),
    ...  guard.check_for_pause(), guard.epoch)
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
        """Add a function that is called when a pause is detected."""
        self._listeners.append(listener)

    def check_for_pause(self):
        """Detect a pause since the last check and return the time.

        ``epoch`` counts the pauses; a decision made in an earlier epoch must
        be made again.
        """
        now_ms = self._read_clock_ms()
        last_ms = self._last_ms
        self._last_ms = now_ms
        if last_ms is not None and now_ms - last_ms > self._lease_timeout_ms:
            self.epoch += 1
            for listener in self._listeners:
                listener()
        return now_ms
