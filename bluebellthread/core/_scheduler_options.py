"""Policies, times and counts of a scheduler."""

import attrs

from bluebellthread.core import _policies

PREFILL_SLOTS = 2
"""Prompts reserved at a time on one prefill server."""

DECODE_SLOTS = 24
"""Requests on one decode server at a time: each slows all the others."""

TRANSFER_SLOTS = 4
"""KV caches reserved at a time on the link into one decode server."""


@attrs.frozen(kw_only=True)
class SchedulerOptions:
    """Policies, times and counts of a scheduler.

    Parameters
    ----------
    prefill_policy, decode_policy, queue_policy : str
        Names in the registries.
    prefill_slots, transfer_slots, decode_slots : int
        Reservations at a time on a prefill server, on the link into a
        decode server, and in its memory, however small they are.
    queue : QueueOptions
        Bounds of the queue.
    report_timeout_ms : int
        Age from which a load report counts no more.
    settle_timeout_ms : int
        How long after a cancel or a release a report may still show the
        request.
    rebuild_timeout_ms : int
        How long a new owner waits for the gateways' permits.
    register_period_ms : int
        Time between two calls for them.
    stray_timeout_ms : int
        How long a request that belongs to no live process may run.
    live_stray_timeout_ms : int
        The same where the process that granted it lives.
    cut_off_stray_timeout_ms : int
        The same where it granted more after it looked dead: it is cut
        off from this VM.
    unknown_gateway_timeout_ms : int
        How long a gateway may ask before the view shows it.
    minority_timeout_ms : int
        How long a VM that may itself be cut off waits before it cancels
        what belongs to processes that look dead to it.
    cancels_gone_gateways, cancels_strays, asks_registrations : bool
        Only tests turn these off.

    Examples
    --------
    >>> SchedulerOptions().prefill_slots
    2
    """

    prefill_policy: str = 'least-loaded'
    decode_policy: str = 'most-free'
    queue_policy: str = 'first-come'
    prefill_slots: int = PREFILL_SLOTS
    transfer_slots: int = TRANSFER_SLOTS
    decode_slots: int = DECODE_SLOTS
    queue: _policies.QueueOptions = attrs.field(factory=_policies.QueueOptions)
    report_timeout_ms: int = 3000
    settle_timeout_ms: int = 1000
    rebuild_timeout_ms: int = 2000
    register_period_ms: int = 300
    stray_timeout_ms: int = 1500
    live_stray_timeout_ms: int = 10000
    cut_off_stray_timeout_ms: int = 60000
    unknown_gateway_timeout_ms: int = 3000
    minority_timeout_ms: int = 10000
    cancels_gone_gateways: bool = True
    cancels_strays: bool = True
    asks_registrations: bool = True
