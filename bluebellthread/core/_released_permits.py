"""Permits that have ended, so that late messages do not bring them back."""

REMEMBER_MS = 30000
"""How long an ended permit is remembered."""


class ReleasedPermits:
    """Ids of ended permits with the time of their end.

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
        """Remember an ended permit; the first time counts."""
        self._ended_ms.setdefault(permit_id, now_ms)

    def holds(self, permit_id, *, since_ms=None):
        """Return whether a permit has ended, at all or since a time."""
        ended_ms = self._ended_ms.get(permit_id)
        if ended_ms is None:
            return False
        return since_ms is None or ended_ms >= since_ms

    def forget_old(self, now_ms):
        """Forget permits that ended long ago."""
        horizon_ms = now_ms - REMEMBER_MS
        # The oldest come first.
        for permit_id, ended_ms in list(self._ended_ms.items()):
            if ended_ms >= horizon_ms:
                break
            del self._ended_ms[permit_id]
