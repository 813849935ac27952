"""Choices of the prefill server for a prompt."""

import math

from bluebellthread.core import _ownership
from bluebellthread.core import _policies

SHORT_BACKLOG_TOKENS = 2000
"""Reserved prompt tokens up to which another prompt may be added."""

LOAD_BOUND_PERCENT = 150
"""Share of the mean load up to which a server keeps its prefixes."""


def has_room(*, reserved_tokens, reserved_count, slots):
    """Return whether a prefill server may take one more prompt.

    The next prompt is reserved while the last one is still read, so that
    the server does not idle; but only behind a short rest, since what has
    been granted can be neither reordered nor refused any more.

    Parameters
    ----------
    reserved_tokens, reserved_count : int
        Prompts reserved there, and their length in all.
    slots : int
        Prompts that may be reserved at a time.

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
    """Baseline: any candidate, whatever its load."""

    reserves = False

    def choose(self, request, candidates, rng):
        """Return a random candidate's name."""
        return rng.choice(candidates).name


@_policies.prefill_policies.register('round-robin')
@_policies.decode_policies.register('round-robin')
class RoundRobin(_policies.ServerPolicy):
    """Baseline: each candidate in turn."""

    reserves = False

    def __init__(self):
        self._last_name = ''

    def choose(self, request, candidates, rng):
        """Return the first name after the last one chosen, or wrap."""
        names = [item.name for item in candidates]
        later = [name for name in names if name > self._last_name]
        self._last_name = (later or names)[0]
        return self._last_name


@_policies.prefill_policies.register('least-reported')
class LeastReported(_policies.ServerPolicy):
    """Baseline: the shortest queue by the last, late report."""

    reserves = False

    def choose(self, request, candidates, rng):
        """Return the name with the fewest reported waiting requests."""
        return min(candidates, key=lambda item: item.reported_queued).name


@_policies.prefill_policies.register('least-loaded')
class LeastReserved(_policies.ServerPolicy):
    """The fewest prompt tokens reserved by the scheduler's own account."""

    def choose(self, request, candidates, rng):
        """Return the name with the fewest reserved tokens."""
        return min(candidates, key=lambda item: item.reserved_tokens).name


@_policies.prefill_policies.register('prefix')
class BoundedPrefix(_policies.ServerPolicy):
    """The server that has the prompt's prefix, unless it is overloaded.

    Among the servers whose load stays within a bound over the mean, the
    one with the longest cached prefix is taken. Where that ties, the rank
    by rendezvous hash of the first block decides, so that prompts with a
    shared beginning meet on one server before any cache event has come.
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
                _ownership.weigh(key, item.name),
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
    # One prompt longer than the bound fits nowhere: spread it by load.
    least = min(item.reserved_tokens for item in candidates)
    return [item for item in candidates if item.reserved_tokens == least]
