"""Plan which prefill servers change to decode before requests arrive.

The load pattern: bursts of some seconds at twice the usual rate. Decode
servers then run out of memory while prefill servers are mostly idle, since a
deployment starts with more of them than its requests need.
"""

import collections
import math

from bluebellthread.core.routing import _memory_models

PREFILL_TOKENS_PER_MS = 33.3
PROMPT_TOKENS = 3200
OUTPUT_TOKENS = 1280
"""Published prefill rate of the engines, and mean request lengths from the
users' specifications: no request has arrived when roles are planned."""


TOLERATED_LOSS_SHARE = 0.2
TOLERATED_LOSS_MIN = 1
"""Fraction and minimum number of prefill servers that may fail while the
others still prefill as fast as the decode servers finish requests: crashes
of a fifth of a deployment's servers are common."""


def plan_decode_switches(engines):
    """Return the prefill servers of one service to change to decode.

    Servers are moved while the remaining ones, minus a tolerated loss, can
    prefill at least as many requests per second as all decode servers can
    finish. The last prefill server of a region stays, so that prompts need
    not cross regions.

    Parameters
    ----------
    engines : iterable of EngineServer
        All engines of the service.

    Returns
    -------
    list of str
        Server names, in the order in which to move them.

    Examples
    --------
    >>> plan_decode_switches([])
    []
    """
    prefills = [item for item in engines if item.role == 'prefill']
    decode_rate = sum(
        _decode_rate(item) for item in engines if item.role == 'decode'
    )
    prefill_rate = PREFILL_TOKENS_PER_MS / PROMPT_TOKENS
    moved = []
    while True:
        server = _choose_server_to_move(prefills)
        if server is None:
            return moved
        decode_rate += _decode_rate(server)
        prefills.remove(server)
        lost_count = max(
            TOLERATED_LOSS_MIN, math.ceil(TOLERATED_LOSS_SHARE * len(prefills))
        )
        if prefill_rate * (len(prefills) - lost_count) < decode_rate:
            return moved
        moved.append(server.name)


def _decode_rate(engine):
    """Return how many requests per ms a decode server can finish."""
    memory_per_request = PROMPT_TOKENS + OUTPUT_TOKENS / 2
    concurrency = min(
        engine.slot_count, engine.memory_tokens / memory_per_request
    )
    return concurrency / (OUTPUT_TOKENS * _memory_models.TOKEN_MS)


def _choose_server_to_move(prefills):
    """Return the prefill server to move next, or None.

    It is taken from the region with the most prefill servers, and there from
    the data centre with the most. The result is None if each region has only
    one prefill server left.
    """
    by_region = collections.Counter(item.region for item in prefills)
    by_data_centre = collections.Counter(item.data_centre for item in prefills)
    movable = [item for item in prefills if by_region[item.region] > 1]
    return max(
        movable,
        key=lambda item: (
            by_region[item.region],
            by_data_centre[item.data_centre],
            item.name,
        ),
        default=None,
    )
