"""Options for how a service owner grants placements."""

import attrs


@attrs.frozen(kw_only=True)
class AllocatorOptions:
    """Options for how a service owner grants placements.

    Parameters
    ----------
    waiting_order : str
        Name of the queue order, registered in `waiting_orders`.
    memory_model : str
        Name of the memory model, registered in `memory_models`.
    prefill_depth : int
        Maximum number of prompts assigned to one prefill server at a time:
        one that runs and one in flight, so that the server never idles for a
        round trip between regions.
    late_per_server : float
        Requests per decode server that may stay queued although they will
        miss their target. Further ones are refused at once with a retry
        delay.
    local_prefill_slack_ms : float
        While all prefill servers are busy, the decode server runs the
        prefill of a request that can be delayed by at most this long
        without missing its target.
    first_event_time : str
        Name of the estimate of the time from a grant to the first event,
        registered in `first_event_times`.
    learns_pace : bool
        Whether the time that engines take for a token is learned.
    weighs_demand : bool
        Whether demand by customer and priority counts for the order.
    refuses_unreached : bool
        Whether late requests that the queue won't reach in time by the pace
        of grants are refused at once, and told when it will.
    overtaking_max, overtaking_ms : int, int
        Requests that may pass one that waits for memory, and for how long,
        before a decode server is reserved for it. None may if 0.
    """

    waiting_order: str = 'on-time-first'
    memory_model: str = 'growth'
    prefill_depth: int = 2
    late_per_server: float = 1.5
    local_prefill_slack_ms: float = 300
    first_event_time: str = 'mean-prefill'
    learns_pace: bool = False
    weighs_demand: bool = False
    refuses_unreached: bool = False
    overtaking_max: int = 0
    overtaking_ms: int = 0


CONTENDED_OPTIONS = AllocatorOptions(
    waiting_order='urgent-first',
    memory_model='expected-peak',
    prefill_depth=3,
    first_event_time='quantile',
    learns_pace=True,
    weighs_demand=True,
    refuses_unreached=True,
    overtaking_max=8,
    overtaking_ms=200,
)
"""Options for services whose requests compete for engines: those with several
priorities or customers, or whose servers report how fast they are."""
