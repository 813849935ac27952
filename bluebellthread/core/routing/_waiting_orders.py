"""Queue orders: the order in which model requests get placements.

The load pattern: bursts of some seconds at twice the rate that the prefill
servers can handle, with time to catch up before and after. An answer that is
on time is worth several late ones, and a late one much more than none.
"""

from bluebellthread.core import _registry

waiting_orders = _registry.Registry('waiting order')
"""Functions of a `PlacementAsk`, its arrival time, the expected time to its
first event and the present time, all in milliseconds, and of what
`DemandShares.level` returns. The request with the lowest result goes first."""


@waiting_orders.register('first-come')
def order_first_come(request, arrived_ms, first_event_ms, now_ms, level=()):
    """Order requests by their arrival at the service owner."""
    return (0, arrived_ms)


@waiting_orders.register('on-time-first')
def order_on_time_first(request, arrived_ms, first_event_ms, now_ms, level=()):
    """Order requests that can still be on time before late ones.

    The former are sorted by target deadline, the latter by final deadline,
    so that a backlog of late requests is served whenever no request that
    can be on time is queued. Streams that have begun go before both: their
    callers wait between two events, and what was generated is lost if they
    leave.
    """
    if request.has_begun:
        return (-1, request.deadline_ms)
    if now_ms + first_event_ms <= request.target_deadline_ms:
        return (0, request.target_deadline_ms)
    return (1, request.deadline_ms)


@waiting_orders.register('urgent-first')
def order_urgent_first(request, arrived_ms, first_event_ms, now_ms, level=()):
    """Order requests that can be on time by customer, urgency and target.

    Requests of customers that get more than their usual share go behind the
    others, and late requests behind all that can be on time.
    """
    if request.has_begun:
        return (-1, (), request.deadline_ms)
    if now_ms + first_event_ms <= request.target_deadline_ms:
        return (0, level, request.target_deadline_ms)
    return (1, level, request.deadline_ms)
