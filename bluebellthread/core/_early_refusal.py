"""Fair queue that refuses early the requests that would be late.

The queue estimates its drain rate and the time from a grant to the first
output. A request that would miss its deadline or its first-output target
is refused on arrival, or as soon as the queue can tell, with the time
after which it can expect to be served.
"""

from bluebellthread.core import _estimates
from bluebellthread.core import _fair_queue
from bluebellthread.core import _policies

MIN_RETRY_AFTER_MS = 50
"""Minimum retry delay given to a refused caller."""

MAX_RETRY_AFTER_MS = 30000
"""Maximum retry delay given to a refused caller."""

MAX_TRACKED_GRANTS = 1000
"""Maximum number of grants whose time to first output is measured."""


@_policies.queue_policies.register('fair-early-refusal')
class EarlyRefusalQueue(_fair_queue.FairQueue):
    """Fair queue that refuses requests that would miss their deadline.

    Callers share equally; one caller's requests are served by deadline.

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
        self._retries_booked_until_ms = 0

    def push(self, request, *, now_ms):
        """Add a request, or refuse it if it would be late.

        Returns a tuple with a `QueueRefusal` for each refused request. This
        can be the new request, or a waiting one that expired, was superseded
        by a newer attempt, or was dropped because the queue is full.
        """
        self._advance(now_ms)
        late_ms = self._expected_lateness_ms(request, now_ms)
        if late_ms > 0:
            refusal = _policies.QueueRefusal(
                request=request,
                kind='deadline',
                retry_after_ms=self._reserve_retry_ms(
                    request, late_ms, now_ms
                ),
            )
            return (*self.pop_expired(now_ms=now_ms), refusal)
        return super().push(request, now_ms=now_ms)

    def pop_next(self, fits, *, now_ms):
        """Remove and return the next request, or None if it does not fit."""
        self._advance(now_ms)
        return super().pop_next(fits, now_ms=now_ms)

    def note_granted(self, request, *, now_ms):
        """Start measuring the time to a request's first output."""
        if len(self._granted) >= MAX_TRACKED_GRANTS:
            del self._granted[next(iter(self._granted))]
        self._granted[request.request_id] = (request.prompt_tokens, now_ms)

    def note_first_output(self, request_id, *, now_ms):
        """Record the time from a request's grant to its first output."""
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
        wait_ms = self._drain_time_ms(
            sum(level.cost for level in self._levels.values())
        )
        if wait_ms > spare_ms:
            # The request would be late behind the whole backlog: count only
            # the part that is served before it.
            wait_ms = self._drain_time_ms(self._cost_ahead(request, priority))
        return wait_ms - spare_ms

    def _drain_time_ms(self, cost):
        rate = self._drain.cost_per_ms() if self._drain else None
        if rate is None or not cost:
            return 0
        return round(cost / rate) if rate > 0 else MAX_RETRY_AFTER_MS

    def _cannot_meet_target(self, request, now_ms):
        """Return whether idle engines would miss the first-output target."""
        service_ms = self._first_output.estimate_ms(request.prompt_tokens)
        return now_ms + service_ms > request.first_output_deadline_ms

    def _priority_of(self, request, now_ms):
        # A request that misses its target in any case must not delay others.
        if self._cannot_meet_target(request, now_ms):
            return request.priority - 1
        return request.priority

    def _start_by_ms(self, request, now_ms):
        service_ms = self._first_output.estimate_ms(request.prompt_tokens)
        if self._cannot_meet_target(request, now_ms):
            # Every retry would miss the target too and be refused, so only
            # the request's own deadline counts.
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
        # A request that did not wait is no sample of the drain rate.
        if entry.pushed_ms < self._drain.last_ms:
            self._drain.add(entry.cost)

    def _cost_ahead(self, request, priority):
        """Return the cost that is served before a new request."""
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

    def _reserve_retry_ms(self, request, late_ms, now_ms):
        """Return the retry delay of a refused request.

        Each refusal reserves the request's cost at the drain rate and so
        delays the next one. This spreads the retries over time.
        """
        rate = self._drain.cost_per_ms() or 1.0
        drain_ms = round(_fair_queue.cost_of(request) / rate)
        earliest_ms = now_ms + late_ms
        latest_ms = now_ms + MAX_RETRY_AFTER_MS
        self._retries_booked_until_ms = min(
            max(self._retries_booked_until_ms, earliest_ms) + drain_ms,
            latest_ms,
        )
        wait_ms = self._retries_booked_until_ms - now_ms
        return max(MIN_RETRY_AFTER_MS, wait_ms)

    def _make_refusal(self, request, kind, now_ms):
        return _policies.QueueRefusal(
            request=request,
            kind=kind,
            retry_after_ms=self._reserve_retry_ms(request, 0, now_ms),
        )


def _cost_ahead_in_level(request, level, window):
    order_ms = _fair_queue.order_of(request)
    cost = _fair_queue.cost_of(request)
    own_flow = level.flows.get(request.caller)
    ahead = own_flow.cost_before(order_ms) if own_flow else 0
    tag = level.order.start_tag_of(request.caller) + ahead
    for caller, flow in level.flows.items():
        if flow is not own_flow:
            first_cost = flow.first().cost
            # Within the fairness window a shorter request goes first.
            last = tag + window if first_cost <= cost else tag - window
            start = level.order.start_tag_of(caller)
            if start <= last:
                # A caller's first request is served in full, even if its
                # cost exceeds ``last - start``.
                ahead += min(flow.cost, max(first_cost, last - start))
    return ahead
