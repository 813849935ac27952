"""Fair queue: equal service for callers, each by earliest deadline.

Requests are ordered at three levels. Priorities share the engines by
weight, so a low one is slowed but never starved. Callers of one priority
share equally, by start-time fair queueing over the cost of their requests;
among callers within a window of their share, the shortest request goes
first. The requests of one caller are served by earliest deadline.

A full queue first drops the requests that can no longer start in time.
Then, in the lowest priority, it sheds a request of the caller with the
largest waiting cost: the one with the latest deadline.
"""

import heapq

import attrs

from bluebellthread.core import _fair_order
from bluebellthread.core import _messages
from bluebellthread.core import _policies

OUTPUT_TOKEN_COST = 8
"""Cost of one output token, in units of one prompt token."""

PRIORITY_WEIGHT = 8
"""Ratio of a priority's share to that of the next lower priority."""

WEIGHT_SHIFT = 24
"""Left shift, in bits, of a cost before its division by a weight."""

HIGHEST_PRIORITY = 3
"""Priorities are clamped to -HIGHEST_PRIORITY to HIGHEST_PRIORITY."""


def cost_of(request):
    """Return the engine cost of a request, in prompt tokens."""
    return request.prompt_tokens + OUTPUT_TOKEN_COST * request.output_tokens


def order_of(request):
    """Return the earlier deadline of a request, by which it is ordered."""
    return min(request.first_output_deadline_ms, request.deadline_ms)


@attrs.define(kw_only=True, eq=False)
class Entry:
    """Holds one waiting request and the keys that order it.

    Parameters
    ----------
    request : PermitRequest
        The waiting request.
    priority : int
        Its priority in this queue, which may be lower than requested.
    cost : int
        Its engine cost, in prompt tokens.
    order_ms : int
        The deadline that orders one caller's requests.
    start_by_ms : int
        The latest time at which it can start and still be in time.
    pushed_ms : int
        When it was added to the queue.
    waiting : bool
        False once it has left the queue.
    """

    request: _messages.PermitRequest
    priority: int
    cost: int
    order_ms: int
    start_by_ms: int
    pushed_ms: int
    waiting: bool = True


@attrs.define(kw_only=True, eq=False)
class Flow:
    """Holds the waiting requests of one caller at one priority."""

    entries: list = attrs.field(factory=list)
    count: int = 0
    cost: int = 0

    def first(self):
        """Return the entry with the earliest deadline."""
        while not self.entries[0][2].waiting:
            heapq.heappop(self.entries)
        return self.entries[0][2]

    def last(self):
        """Return the entry with the latest deadline."""
        waiting = [item for item in self.entries if item[2].waiting]
        return max(waiting)[2]

    def cost_before(self, order_ms):
        """Return the cost of the entries due at or before ``order_ms``."""
        return sum(
            item[2].cost
            for item in self.entries
            if item[2].waiting and item[0] <= order_ms
        )


@attrs.define(kw_only=True, eq=False)
class Level:
    """Holds the waiting requests of one priority, grouped by caller."""

    order: _fair_order.FairOrder
    flows: dict = attrs.field(factory=dict)
    cost: int = 0


def weight_of(priority):
    """Return the weight by which a priority shares the engines.

    Examples
    --------
    >>> weight_of(1) // weight_of(0)
    8
    """
    bounded = max(-HIGHEST_PRIORITY, min(HIGHEST_PRIORITY, priority))
    return PRIORITY_WEIGHT ** (bounded + HIGHEST_PRIORITY)


@_policies.queue_policies.register('fair')
class FairQueue(_policies.QueuePolicy):
    """Bounded queue that serves callers equally, each by deadline.

    It does not predict lateness: a request waits until its deadline.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.pop_next(lambda request: True, now_ms=0) is None
    True
    """

    def __init__(self, options=None):
        self._options = options or _policies.QueueOptions()
        self._levels = {}
        self._order = _fair_order.FairOrder()
        self._entries = {}
        self._expiry = []
        self._counter = 0

    def __len__(self):
        return len(self._entries)

    def push(self, request, *, now_ms):
        """Add a request; return a `QueueRefusal` for each refused request.

        An older attempt of the same request is refused as superseded.
        """
        refused = self.pop_expired(now_ms=now_ms)
        older = self.remove(request.request_id)
        if older is not None:
            refused += (self._make_refusal(older, 'superseded', now_ms),)
        entry = self._make_entry(request, now_ms)
        flow = self._find_flow(entry.priority, request.caller)
        caller_count = flow.count if flow else 0
        if caller_count >= self._options.caller_maximum_count:
            return (
                *refused,
                self._make_refusal(request, 'caller-limit', now_ms),
            )
        self._add(entry)
        if len(self._entries) > self._options.maximum_count:
            shed = self._choose_entry_to_shed()
            self._remove_entry(shed)
            refused += (
                self._make_refusal(shed.request, 'overloaded', now_ms),
            )
        return refused

    def pop_next(self, fits, *, now_ms):
        """Remove and return the next request, or None if it does not fit."""
        priority = self._order.first()
        if priority is None:
            return None
        level = self._levels[priority]
        caller = level.order.first()
        entry = level.flows[caller].first()
        if not fits(entry.request):
            return None
        self._charge(entry)
        self._remove_entry(entry)
        return entry.request

    def remove(self, request_id):
        """Remove and return a request, or None if it is not queued."""
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        self._remove_entry(entry)
        return entry.request

    def pop_expired(self, *, now_ms):
        """Remove requests that can no longer start in time and refuse them."""
        refused = []
        while self._expiry and self._expiry[0][0] <= now_ms:
            entry = heapq.heappop(self._expiry)[2]
            if entry.waiting:
                self._remove_entry(entry)
                refused.append(
                    self._make_refusal(entry.request, 'deadline', now_ms)
                )
        return tuple(refused)

    def _make_entry(self, request, now_ms):
        return Entry(
            request=request,
            priority=request.priority,
            cost=cost_of(request),
            order_ms=order_of(request),
            start_by_ms=request.deadline_ms,
            pushed_ms=now_ms,
        )

    def _make_refusal(self, request, kind, now_ms):
        return _policies.QueueRefusal(request=request, kind=kind)

    def _find_flow(self, priority, caller):
        level = self._levels.get(priority)
        return level.flows.get(caller) if level else None

    def _find_or_add_level(self, priority):
        if priority not in self._levels:
            window = self._options.fair_window_tokens
            order = _fair_order.FairOrder(window=window)
            self._levels[priority] = Level(order=order)
        return self._levels[priority]

    def _add(self, entry):
        request = entry.request
        level = self._find_or_add_level(entry.priority)
        flow = level.flows.setdefault(request.caller, Flow())
        self._counter += 1
        heapq.heappush(flow.entries, (entry.order_ms, self._counter, entry))
        heapq.heappush(self._expiry, (entry.start_by_ms, self._counter, entry))
        flow.count += 1
        flow.cost += entry.cost
        level.cost += entry.cost
        self._entries[request.request_id] = entry
        level.order.activate(request.caller, rank=flow.first().cost)
        self._order.activate(entry.priority, rank=-entry.priority)

    def _charge(self, entry):
        request = entry.request
        level = self._levels[entry.priority]
        level.order.charge(request.caller, entry.cost)
        # The shift keeps the rounding error small at any weight.
        scaled = (entry.cost << WEIGHT_SHIFT) // weight_of(entry.priority)
        self._order.charge(entry.priority, scaled)

    def _remove_entry(self, entry):
        request = entry.request
        level = self._levels[entry.priority]
        flow = level.flows[request.caller]
        entry.waiting = False
        del self._entries[request.request_id]
        flow.count -= 1
        flow.cost -= entry.cost
        level.cost -= entry.cost
        if not flow.count:
            del level.flows[request.caller]
            level.order.deactivate(request.caller)
        else:
            level.order.activate(request.caller, rank=flow.first().cost)
        if not level.flows:
            self._order.deactivate(entry.priority)

    def _choose_entry_to_shed(self):
        priority = min(p for p, level in self._levels.items() if level.flows)
        flows = self._levels[priority].flows.values()
        return max(flows, key=lambda flow: flow.cost).last()
