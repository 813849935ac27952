"""The fair queue with foresight: refuses at once what would be late.

The queue learns how fast it drains and how long a granted request takes
to its first output. A request that would miss its deadline or its target
for the first output is refused when it arrives, or as soon as it is
known, with the time after which there will be room.
"""

from bluebellthread.core import _estimates
from bluebellthread.core import _fair_queue
from bluebellthread.core import _policies

LEAST_RETRY_AFTER_MS = 50
"""Least time that a refused caller is told to wait."""

LONGEST_RETRY_AFTER_MS = 30000
"""Longest time that a refused caller is told to wait."""

LONGEST_REMEMBERED_GRANTS = 1000
"""Grants whose first output is awaited, to learn the service time."""


@_policies.queue_policies.register('fair-early-refusal')
class EarlyRefusalQueue(_fair_queue.FairQueue):
    """Fair over callers, by deadline within, refusing what would be late.

    Examples
    --------
    >>> queue = EarlyRefusalQueue()
    >>> len(queue)
    0
    """

    def __init__(self, options=None):
        super().__init__(options)
        self._drain = None
        self._first_output = _estimates.FirstOutputTime()
        self._granted = {}
        self._booked_until_ms = 0

    def push(self, request, *, now_ms):
        """Add a request; return what is refused for it."""
        self._advance(now_ms)
        late_ms = self._expected_lateness_ms(request, now_ms)
        if late_ms > 0:
            refusal = _policies.QueueRefusal(
                request=request,
                kind='deadline',
                retry_after_ms=self._book(request, late_ms, now_ms),
            )
            return (*self.pop_expired(now_ms=now_ms), refusal)
        return super().push(request, now_ms=now_ms)

    def pop_next(self, fits, *, now_ms):
        """Remove and return the request whose turn it is, if it fits."""
        self._advance(now_ms)
        return super().pop_next(fits, now_ms=now_ms)

    def note_granted(self, request, *, now_ms):
        """Start to time a request's first output."""
        if len(self._granted) >= LONGEST_REMEMBERED_GRANTS:
            del self._granted[next(iter(self._granted))]
        self._granted[request.request_id] = (request.prompt_tokens, now_ms)

    def note_first_output(self, request_id, *, now_ms):
        """Learn a request's time to its first output."""
        granted = self._granted.pop(request_id, None)
        if granted is not None:
            prompt_tokens, granted_ms = granted
            self._first_output.add(
                prompt_tokens=prompt_tokens, elapsed_ms=now_ms - granted_ms
            )

    def expected_wait_ms(self, request):
        """Return how long a new request would wait, 0 if not known."""
        return self._time_for(self._cost_ahead(request))

    def _advance(self, now_ms):
        if self._drain is None:
            self._drain = _estimates.DrainRate(last_ms=now_ms)
        self._drain.advance(now_ms, backlogged=bool(len(self)))

    def _expected_lateness_ms(self, request, now_ms):
        spare_ms = self._start_by_ms(request, now_ms) - now_ms
        waiting_cost = sum(level.cost for level in self._levels.values())
        if self._time_for(waiting_cost) <= spare_ms:
            # In time even behind all that waits: no need to look closer.
            return 0
        return self.expected_wait_ms(request) - spare_ms

    def _time_for(self, cost):
        rate = self._drain.cost_per_ms() if self._drain else None
        if rate is None or not cost:
            return 0
        return round(cost / rate) if rate > 0 else LONGEST_RETRY_AFTER_MS

    def _start_by_ms(self, request, now_ms):
        service_ms = self._first_output.estimate_ms(request.prompt_tokens)
        if now_ms + service_ms > request.first_output_deadline_ms:
            # Late for the target even on idle engines: a refusal would
            # repeat for ever, so only its own deadline counts.
            return request.deadline_ms - service_ms
        target_ms = min(request.first_output_deadline_ms, request.deadline_ms)
        return target_ms - service_ms

    def _make_entry(self, request, now_ms):
        entry = super()._make_entry(request, now_ms)
        entry.start_by_ms = self._start_by_ms(request, now_ms)
        return entry

    def _charge(self, entry):
        super()._charge(entry)
        # What never waited says nothing of how fast a backlog drains.
        if entry.pushed_ms < self._drain.last_ms:
            self._drain.add(entry.cost)

    def _cost_ahead(self, request):
        """Return the cost served before a new request would be."""
        level = self._levels.get(request.priority)
        ahead = _cost_ahead_in_level(request, level) if level else 0
        own = ahead + _fair_queue.cost_of(request)
        weight = _fair_queue.weight_of(request.priority)
        for priority, other in self._levels.items():
            if priority != request.priority:
                share = _fair_queue.weight_of(priority) / weight
                ahead += min(other.cost, own * share)
        return ahead

    def _book(self, request, late_ms, now_ms):
        """Return when to come back, later for each refusal in a row.

        Each refused request books its cost at the drain rate, so that
        those who come back do not come all at once.
        """
        rate = self._drain.cost_per_ms() or 1.0
        turn_ms = round(_fair_queue.cost_of(request) / rate)
        earliest_ms = now_ms + late_ms
        latest_ms = now_ms + LONGEST_RETRY_AFTER_MS
        self._booked_until_ms = min(
            max(self._booked_until_ms, earliest_ms) + turn_ms, latest_ms
        )
        wait_ms = self._booked_until_ms - now_ms
        return max(LEAST_RETRY_AFTER_MS, wait_ms)

    def _refusal(self, request, kind, now_ms):
        return _policies.QueueRefusal(
            request=request,
            kind=kind,
            retry_after_ms=self._book(request, 0, now_ms),
        )


def _cost_ahead_in_level(request, level):
    order_ms = _fair_queue.order_of(request)
    own_flow = level.flows.get(request.caller)
    ahead = own_flow.cost_before(order_ms) if own_flow else 0
    tag = level.order.tag(request.caller) + ahead
    for caller, flow in level.flows.items():
        start = level.order.tag(caller)
        if flow is not own_flow and start <= tag:
            # A request that has begun its turn is served whole.
            served = max(flow.first().cost, tag - start)
            ahead += min(flow.cost, served)
    return ahead
