"""The order in which waiting model requests get their places.

The load pattern: bursts of some seconds at twice the rate that the prefill
servers can read, before and after which they catch up. An answer that is on
time is worth several late ones, and a late one much more than none.
"""

from bluebellthread.core import _registry

waiting_orders = _registry.Registry('waiting order')
"""Functions of an ask, the expected time to its first event and the time;
the ask with the lowest result goes first."""


@waiting_orders.register('first-come')
def order_first_come(ask, arrived_ms, first_event_ms, now_ms):
    """Order by arrival at the owner."""
    return (0, arrived_ms)


@waiting_orders.register('on-time-first')
def order_on_time_first(ask, arrived_ms, first_event_ms, now_ms):
    """Order what can still be on time before what can't.

    The first by when it has to start; the others by when their callers
    give up, so that a backlog of late requests is worked off whenever
    nothing punctual waits.
    """
    if now_ms + first_event_ms <= ask.target_deadline_ms:
        return (0, ask.target_deadline_ms)
    return (1, ask.deadline_ms)
