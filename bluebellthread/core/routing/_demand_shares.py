"""Tell which requests go behind or before others of the same service.

The load pattern: one customer sends six times as much as usual while capacity
is insufficient; urgent requests alone take all engines for seconds.
"""

import collections
import math

import attrs

RECENT_MS = 2000
"""Time constant of what a customer was granted lately."""

USUAL_MS = 60000
"""Time constant of a customer's usual demand."""

OVER_FACTOR = 1.3
OVER_EXTRA_PER_S = 1.0
"""A customer that was granted this many times its usual demand, and this much
more, goes behind the others: less is the spread of arrivals by chance."""

LEARNING_FACTOR = 1.5
"""Demand above this many times the usual isn't learned in full, so that a
burst does not become usual within its own length."""

STARVED_SHARE = 0.5
"""Requests of a priority that are granted this much less often than all go
first. The service's goal is a quarter."""

STARVED_MS = 6000
STARVED_ASKED_MIN = 10
"""Time constant and least number of requests for that comparison."""

COUNT_MIN = 0.1
"""Customers with fewer recent grants are not compared: there may be over a
thousand customers, most of them idle."""

REVIEW_PERIOD_MS = 100
"""How often both are determined again: a fraction of the requests' waits."""


@attrs.define
class _Rate:
    """Exponentially decayed count, corrected for its start."""

    constant_ms: int
    started_ms: int
    at_ms: int = 0
    count: float = 0.0

    def add(self, now_ms, weight=1.0):
        self.count = self.count_at(now_ms) + weight
        self.at_ms = now_ms

    def count_at(self, now_ms):
        elapsed_ms = max(0, now_ms - self.at_ms)
        return self.count * math.exp(-elapsed_ms / self.constant_ms)

    def per_s(self, now_ms):
        age = max(1000, now_ms - self.started_ms) / self.constant_ms
        seconds = self.constant_ms / 1000 * (1 - math.exp(-age))
        return self.count_at(now_ms) / seconds


class DemandShares:
    """Follows demand and grants by customer and priority."""

    def __init__(self):
        self._recent = {}
        self._asked_lately = {}
        self._usual = {}
        self._asked = {}
        self._granted = {}
        self._over = frozenset()
        self._starved = frozenset()
        self._next_review_ms = 0

    def note_asked(self, request, now_ms):
        """Count a request that has arrived."""
        name = request.customer
        if name:
            lately = self._find(self._asked_lately, name, RECENT_MS, now_ms)
            usual = self._find(self._usual, name, USUAL_MS, now_ms)
            lately.add(now_ms)
            most = LEARNING_FACTOR * usual.per_s(now_ms) + OVER_EXTRA_PER_S
            usual.add(now_ms, min(1.0, most / lately.per_s(now_ms)))
        self._find(self._asked, request.priority, STARVED_MS, now_ms).add(
            now_ms
        )

    def note_granted(self, request, now_ms):
        """Count a request that has got engines."""
        if request.customer:
            self._find(self._recent, request.customer, RECENT_MS, now_ms).add(
                now_ms
            )
        self._find(self._granted, request.priority, STARVED_MS, now_ms).add(
            now_ms
        )

    def review(self, now_ms):
        """Determine anew who goes behind and before others, if due."""
        if now_ms < self._next_review_ms:
            return
        self._next_review_ms = now_ms + REVIEW_PERIOD_MS
        self._recent = {
            name: recent
            for name, recent in self._recent.items()
            if recent.count_at(now_ms) >= COUNT_MIN
        }
        self._over = frozenset(
            name
            for name, recent in self._recent.items()
            if len(self._usual) > 1 and self._is_over(name, recent, now_ms)
        )
        self._starved = self._find_starved(now_ms)

    def _is_over(self, name, recent, now_ms):
        usual = self._usual.get(name)
        # A request may have been queued before demand was followed.
        return usual is not None and (
            recent.per_s(now_ms)
            > OVER_FACTOR * usual.per_s(now_ms) + OVER_EXTRA_PER_S
        )

    def _find_starved(self, now_ms):
        asked = collections.Counter(
            {key: rate.count_at(now_ms) for key, rate in self._asked.items()}
        )
        granted = collections.Counter(
            {key: rate.count_at(now_ms) for key, rate in self._granted.items()}
        )
        if len(asked) < 2:
            return frozenset()
        total = granted.total() / max(1.0, asked.total())
        return frozenset(
            priority
            for priority, count in asked.items()
            if count >= STARVED_ASKED_MIN
            and granted[priority] < STARVED_SHARE * total * count
        )

    def level(self, request):
        """Return the sort key of a request among those that can be on time."""
        priority = (
            -1 if request.priority in self._starved else request.priority
        )
        return (request.customer in self._over, priority)

    @staticmethod
    def _find(rates, key, constant_ms, now_ms):
        rate = rates.get(key)
        if rate is None:
            rate = rates[key] = _Rate(constant_ms, now_ms, now_ms)
        return rate


class NoShares:
    """Takes the place of `DemandShares` where demand does not count."""

    def note_asked(self, request, now_ms):
        """Ignore a request that has arrived."""

    def note_granted(self, request, now_ms):
        """Ignore a request that has got engines."""

    def review(self, now_ms):
        """Determine nothing."""

    def level(self, request):
        """Return the same sort key for all requests."""
        del request
        return ()
