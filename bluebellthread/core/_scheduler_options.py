"""Options of a pool's scheduler."""

import attrs

from bluebellthread.core import _policies

PREFILL_SLOTS = 2
"""Maximum prompts reserved at a time on one prefill server."""

DECODE_SLOTS = 24
"""Maximum requests on one decode server; each slows the others."""

TRANSFER_SLOTS = 4
"""Maximum KV cache transfers reserved at a time on a decode server's link."""


@attrs.frozen(kw_only=True)
class SchedulerOptions:
    """Holds the policies, timeouts and limits of a scheduler.

    Parameters
    ----------
    prefill_policy, decode_policy, queue_policy : str
        Names of the policies in their registries.
    prefill_slots, transfer_slots, decode_slots : int
        Maximum reservations at a time on a prefill server, on the link
        into a decode server, and on a decode server, whatever their size.
    queue : QueueOptions
        Limits of the queue.
    report_timeout_ms : int
        Age from which a load report is ignored.
    settle_timeout_ms : int
        How long after a cancel, a release or a change of owner a load
        report may still show the state before it.
    rebuild_timeout_ms : int
        How long a new pool owner waits until the gateways have
        registered their permits.
    register_period_ms : int
        Time between two registration requests to the same gateway.
    stray_timeout_ms : int
        How long an orphaned request may run if the process that granted
        its permit is not in the membership view.
    live_stray_timeout_ms : int
        How long an orphaned request may run if the process that granted
        its permit is live, or if a live gateway has not registered its
        permits.
    cut_off_stray_timeout_ms : int
        How long an orphaned request may run if the process that granted
        its permit granted further ones after it left the membership view.
        That process is not dead but partitioned from this VM.
    unknown_gateway_timeout_ms : int
        How long the permits of a gateway that was never in the membership
        view are kept, since the view may not show the gateway yet.
    minority_timeout_ms : int
        How long a VM that may itself be partitioned waits before it
        cancels the permits of processes that look dead to it.
    cancels_gone_gateways, cancels_strays, asks_registrations : bool
        Whether to cancel the permits of dead gateways, cancel orphaned
        requests and ask gateways for registrations; only tests turn
        these off.

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
