"""Record of ended permits, so that late messages cannot revive them."""

RETENTION_MS = 30000
"""How long the id of an ended permit is kept."""


class ReleasedPermits:
    """Holds the ids of ended permits with the time of their end.

    Examples
    --------
    >>> released = ReleasedPermits()
    >>> released.add('vm1-7-1', 5)
    >>> released.holds('vm1-7-1'), released.holds('vm1-7-1', since_ms=6)
    (True, False)
    """

    def __init__(self):
        self._ended_ms = {}

    def add(self, permit_id, now_ms):
        """Record an ended permit; keep the time of the first call."""
        self._ended_ms.setdefault(permit_id, now_ms)

    def holds(self, permit_id, *, since_ms=None):
        """Return whether a permit has ended, optionally at or after a time."""
        ended_ms = self._ended_ms.get(permit_id)
        if ended_ms is None:
            return False
        return since_ms is None or ended_ms >= since_ms

    def forget_old(self, now_ms):
        """Delete permits that ended more than `RETENTION_MS` ago."""
        horizon_ms = now_ms - RETENTION_MS
        # The dictionary is ordered by time, oldest first.
        for permit_id, ended_ms in list(self._ended_ms.items()):
            if ended_ms >= horizon_ms:
                break
            del self._ended_ms[permit_id]
