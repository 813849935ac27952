"""Which prefill servers should decode, decided before any work comes.

The load pattern: bursts of some seconds at twice the usual rate. Decode
servers have no memory left then, while prefill servers are idle for most of
the time, since a deployment starts with more of them than its requests need.
"""

import collections
import math

from bluebellthread.core.routing import _memory_models

READ_TOKENS_PER_MS = 33.3
PROMPT_TOKENS = 3200
OUTPUT_TOKENS = 1280
"""The engines' published rate and the mean request of the users' sheets; no
request has been seen when roles are planned."""


LOST_SHARE = 0.2
LOST_MIN = 1
"""Part of the prefill servers, and how many at least, without which prompts
must still be read as fast as they are answered. Crashes of a fifth of a
deployment's servers are usual."""


def plan_decode_switches(engines):
    """Return the prefill servers of one service that should decode.

    A server is moved as long as the others, with some of them lost, read
    at least as many requests a second as all decode servers then write.
    The last prefill server of a region stays, so that prompts need not
    cross regions.

    Parameters
    ----------
    engines : iterable of EngineServer

    Returns
    -------
    list of str
        Names, in the order in which they should be moved.

    Examples
    --------
    >>> plan_decode_switches([])
    []
    """
    prefills = [item for item in engines if item.role == 'prefill']
    write_rate = sum(
        _write_rate(item) for item in engines if item.role == 'decode'
    )
    read_rate = READ_TOKENS_PER_MS / PROMPT_TOKENS
    moved = []
    while True:
        server = _choose(prefills)
        if server is None:
            return moved
        write_rate += _write_rate(server)
        prefills.remove(server)
        lost_count = max(LOST_MIN, math.ceil(LOST_SHARE * len(prefills)))
        if read_rate * (len(prefills) - lost_count) < write_rate:
            return moved
        moved.append(server.name)


def _write_rate(engine):
    """Return how many requests a ms a decode server can finish."""
    memory_each = PROMPT_TOKENS + OUTPUT_TOKENS / 2
    together = min(engine.slot_count, engine.memory_tokens / memory_each)
    return together / (OUTPUT_TOKENS * _memory_models.TOKEN_MS)


def _choose(prefills):
    """Return a server of the region, then data centre, with the most."""
    by_region = collections.Counter(item.region for item in prefills)
    by_data_centre = collections.Counter(item.data_centre for item in prefills)
    spare = [item for item in prefills if by_region[item.region] > 1]
    return max(
        spare,
        key=lambda item: (
            by_region[item.region],
            by_data_centre[item.data_centre],
            item.name,
        ),
        default=None,
    )
