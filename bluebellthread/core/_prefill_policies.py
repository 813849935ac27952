"""Policies that choose the prefill server of a request."""

import math

from bluebellthread.core import _ownership
from bluebellthread.core import _policies

SHORT_BACKLOG_TOKENS = 2000
"""Maximum prompt tokens reserved on a server that may get another prompt."""

LOAD_BOUND_PERCENT = 150
"""Maximum load of a server chosen for its cached prefix, in per cent of the
mean load."""


def has_room(*, reserved_tokens, reserved_count, slots):
    """Return whether a prefill server may take one more prompt.

    The next prompt is reserved during the previous prefill, so that the
    server does not idle. The reserved backlog must be short, since a
    granted request can be neither reordered nor refused any more.

    Parameters
    ----------
    reserved_tokens, reserved_count : int
        Total tokens and number of the prompts reserved on the server.
    slots : int
        Maximum number of prompts reserved at a time.

    Examples
    --------
    >>> has_room(reserved_tokens=400, reserved_count=1, slots=2)
    True
    >>> has_room(reserved_tokens=9000, reserved_count=1, slots=2)
    False
    """
    if not reserved_count:
        return True
    short = reserved_tokens <= SHORT_BACKLOG_TOKENS
    return short and reserved_count < slots


@_policies.prefill_policies.register('random')
@_policies.decode_policies.register('random')
class RandomServer(_policies.ServerPolicy):
    """Baseline: chooses a random server, whatever its load."""

    reserves = False

    def choose(self, request, candidates, rng):
        """Return a random candidate's name."""
        return rng.choice(candidates).name


@_policies.prefill_policies.register('round-robin')
@_policies.decode_policies.register('round-robin')
class RoundRobin(_policies.ServerPolicy):
    """Baseline: chooses each candidate in turn."""

    reserves = False

    def __init__(self):
        self._last_name = ''

    def choose(self, request, candidates, rng):
        """Return the name that follows the last choice, or the first name."""
        names = [item.name for item in candidates]
        later = [name for name in names if name > self._last_name]
        self._last_name = (later or names)[0]
        return self._last_name


@_policies.prefill_policies.register('least-reported')
class LeastReported(_policies.ServerPolicy):
    """Baseline: chooses the server that reports the shortest queue.

    The load report lags behind the grants.
    """

    reserves = False

    def choose(self, request, candidates, rng):
        """Return the server that reports the fewest waiting requests."""
        return min(candidates, key=lambda item: item.reported_queued).name


@_policies.prefill_policies.register('least-loaded')
class LeastReserved(_policies.ServerPolicy):
    """Chooses the server with the fewest reserved prompt tokens.

    The scheduler counts the reservations itself, so there is no lag.
    """

    def choose(self, request, candidates, rng):
        """Return the server with the fewest reserved tokens."""
        return min(candidates, key=lambda item: item.reserved_tokens).name


@_policies.prefill_policies.register('prefix')
class BoundedLoadPrefix(_policies.ServerPolicy):
    """Chooses the server with the longest cached prefix within a load bound.

    The bound is `LOAD_BOUND_PERCENT` of the mean load. Ties are
    broken by a rendezvous hash of the first block, so that prompts with a
    common prefix reach the same server before any cache event arrives.
    """

    def choose(self, request, candidates, rng):
        """Return the name of the best candidate within the load bound."""
        within = _within_bound(request, candidates)
        if not request.prefix_hashes:
            return min(within, key=lambda item: item.reserved_tokens).name
        key = f'prefix/{request.prefix_hashes[0]}'
        return max(
            within,
            key=lambda item: (
                item.cached_tokens,
                _ownership.rendezvous_weight(key, item.name),
            ),
        ).name


def _within_bound(request, candidates):
    total_tokens = request.prompt_tokens + sum(
        item.reserved_tokens for item in candidates
    )
    bound_tokens = math.ceil(
        total_tokens * LOAD_BOUND_PERCENT / (100 * len(candidates))
    )
    within = [
        item
        for item in candidates
        if item.reserved_tokens + request.prompt_tokens <= bound_tokens
    ]
    if within:
        return within
    # The prompt exceeds the bound on every server: choose by load.
    least = min(item.reserved_tokens for item in candidates)
    return [item for item in candidates if item.reserved_tokens == least]
