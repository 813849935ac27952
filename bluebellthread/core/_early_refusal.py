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

    def _advance(self, now_ms):
        if self._drain is None:
            self._drain = _estimates.DrainRate(last_ms=now_ms)
        self._drain.advance(now_ms, backlogged=bool(len(self)))

    def _expected_lateness_ms(self, request, now_ms):
        spare_ms = self._start_by_ms(request, now_ms) - now_ms
        priority = self._priority_of(request, now_ms)
        wait_ms = self._time_for(
            sum(level.cost for level in self._levels.values())
        )
        if wait_ms > spare_ms:
            # Late behind all that waits; look at what would go before it.
            wait_ms = self._time_for(self._cost_ahead(request, priority))
        return wait_ms - spare_ms

    def _time_for(self, cost):
        rate = self._drain.cost_per_ms() if self._drain else None
        if rate is None or not cost:
            return 0
        return round(cost / rate) if rate > 0 else LONGEST_RETRY_AFTER_MS

    def _is_late_anyway(self, request, now_ms):
        """Return whether even idle engines would miss the first target."""
        service_ms = self._first_output.estimate_ms(request.prompt_tokens)
        return now_ms + service_ms > request.first_output_deadline_ms

    def _priority_of(self, request, now_ms):
        # What is late anyway may not make others late as well.
        if self._is_late_anyway(request, now_ms):
            return request.priority - 1
        return request.priority

    def _start_by_ms(self, request, now_ms):
        service_ms = self._first_output.estimate_ms(request.prompt_tokens)
        if self._is_late_anyway(request, now_ms):
            # A refusal would repeat for ever, so only its own deadline
            # counts.
            return request.deadline_ms - service_ms
        target_ms = min(request.first_output_deadline_ms, request.deadline_ms)
        return target_ms - service_ms

    def _make_entry(self, request, now_ms):
        entry = super()._make_entry(request, now_ms)
        entry.start_by_ms = self._start_by_ms(request, now_ms)
        entry.priority = self._priority_of(request, now_ms)
        return entry

    def _charge(self, entry):
        super()._charge(entry)
        # What never waited says nothing of how fast a backlog drains.
        if entry.pushed_ms < self._drain.last_ms:
            self._drain.add(entry.cost)

    def _cost_ahead(self, request, priority):
        """Return the cost served before a new request would be."""
        level = self._levels.get(priority)
        window = self._options.fair_window_tokens
        ahead = _cost_ahead_in_level(request, level, window) if level else 0
        own = ahead + _fair_queue.cost_of(request)
        weight = _fair_queue.weight_of(priority)
        for other_priority, other in self._levels.items():
            if other_priority != priority:
                share = _fair_queue.weight_of(other_priority) / weight
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


def _cost_ahead_in_level(request, level, window):
    order_ms = _fair_queue.order_of(request)
    cost = _fair_queue.cost_of(request)
    own_flow = level.flows.get(request.caller)
    ahead = own_flow.cost_before(order_ms) if own_flow else 0
    tag = level.order.tag(request.caller) + ahead
    for caller, flow in level.flows.items():
        if flow is not own_flow:
            first_cost = flow.first().cost
            # Within the window a shorter request goes first.
            last = tag + window if first_cost <= cost else tag - window
            start = level.order.tag(caller)
            if start <= last:
                # A request that has begun its turn is served whole.
                ahead += min(flow.cost, max(first_cost, last - start))
    return ahead
