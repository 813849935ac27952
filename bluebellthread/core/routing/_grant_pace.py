"""Tell how soon a queue reaches a request, by the pace of past grants."""

import collections

WINDOW_MS = 1500
"""Period over which grants and arrivals are counted: shorter than the bursts,
and long enough for some tens of grants."""

SPARE_SHARE_MIN = 0.1
"""Least share of the pace that late requests are expected to get while all of
it goes to others: arrivals vary."""

RETRY_MIN_MS = 3000
RETRY_MAX_MS = 4600
"""Range of retry delays, before jitter takes up to 15 % off: bursts last four
to five seconds, and callers wait no longer than the longest of them. A minimum
of 1,000 ms serves fewer retries."""


class GrantPace:
    """Counts the grants and the new requests of the last seconds.

    Examples
    --------
    >>> pace = GrantPace()
    >>> pace.late_wait_ms(5, 0)
    0.0
    """

    def __init__(self):
        self._grants = collections.deque()
        self._arrivals = collections.deque()
        self._next_retry_ms = 0.0

    def note_granted(self, now_ms):
        """Count a grant."""
        self._grants.append(now_ms)
        self._expire(now_ms)

    def note_asked(self, now_ms):
        """Count a request that has arrived."""
        self._arrivals.append(now_ms)
        self._expire(now_ms)

    def _expire(self, now_ms):
        for times in (self._grants, self._arrivals):
            while times and times[0] <= now_ms - WINDOW_MS:
                times.popleft()

    def _rates_per_ms(self, now_ms):
        self._expire(now_ms)
        granted = len(self._grants) / WINDOW_MS
        return granted, granted - len(self._arrivals) / WINDOW_MS

    def late_wait_ms(self, position, now_ms):
        """Return when as many requests that new ones pass have their turn."""
        granted, spare = self._rates_per_ms(now_ms)
        if not granted:
            return 0.0
        return position / max(spare, SPARE_SHARE_MIN * granted)

    def choose_retry_ms(self, waiting_count, now_ms, rng):
        """Return after which delay a refused request finds room.

        Refused requests get one turn after the other at the spare pace.
        """
        granted, spare = self._rates_per_ms(now_ms)
        spare = max(spare, SPARE_SHARE_MIN * granted, 1 / RETRY_MAX_MS)
        room_ms = now_ms + waiting_count / max(granted, spare)
        self._next_retry_ms = max(self._next_retry_ms, room_ms) + 1 / spare
        self._next_retry_ms = min(self._next_retry_ms, now_ms + RETRY_MAX_MS)
        delay_ms = max(RETRY_MIN_MS, self._next_retry_ms - now_ms)
        return int(delay_ms * rng.uniform(0.85, 1.0))
