"""Registries of the scheduler's choices, and what the choices look at."""

import attrs

from bluebellthread.core import _registry

prefill_policies = _registry.Registry('prefill policy')
decode_policies = _registry.Registry('decode policy')
queue_policies = _registry.Registry('queue policy')
spill_policies = _registry.Registry('spill policy')


@attrs.frozen(kw_only=True)
class PrefillCandidate:
    """A prefill server that may take one more prompt.

    Parameters
    ----------
    name : str
        The backend server.
    reserved_tokens : int
        Prompt tokens reserved there whose prefill has not ended.
    reported_queued : int
        Waiting requests by the last, late report.
    """

    name: str
    reserved_tokens: int = 0
    reported_queued: int = 0


@attrs.frozen(kw_only=True)
class DecodeCandidate:
    """A decode server with room for the request.

    Parameters
    ----------
    name : str
        The backend server.
    free_pieces : int
        Pieces free by the scheduler's own account.
    running_count : int
        Permits on it.
    reported_free_pieces : int
        Pieces free by the last, late report.
    """

    name: str
    free_pieces: int
    running_count: int = 0
    reported_free_pieces: int = 0


@prefill_policies.register('least-loaded')
def choose_least_loaded(request, candidates, rng):
    """Return the candidate with the fewest reserved prompt tokens.

    Each prefill and decode policy takes the `PermitRequest`, a non-empty
    tuple of candidates sorted by name, and a random generator, and returns
    the name of one candidate.
    """
    return min(candidates, key=lambda item: item.reserved_tokens).name


@decode_policies.register('most-free')
def choose_most_free(request, candidates, rng):
    """Return the candidate with the most free pieces."""
    return max(candidates, key=lambda item: item.free_pieces).name


@queue_policies.register('first-come')
class FirstComeQueue:
    """Requests in the order of their arrival.

    Each queue policy is a class with these methods. ``pop_next`` takes a
    function that says whether a request fits now.
    """

    def __init__(self):
        self._waiting = []

    def __len__(self):
        return len(self._waiting)

    def push(self, request, *, now_ms):
        """Add a request."""
        self._waiting.append(request)

    def pop_next(self, fits, *, now_ms):
        """Remove and return the next request if it fits, else None."""
        if self._waiting and fits(self._waiting[0]):
            return self._waiting.pop(0)
        return None

    def remove(self, request_id):
        """Remove and return a request, or None if it does not wait."""
        for index, request in enumerate(self._waiting):
            if request.request_id == request_id:
                return self._waiting.pop(index)
        return None

    def pop_expired(self, *, now_ms):
        """Remove and return the requests whose deadline has passed."""
        expired = [r for r in self._waiting if r.deadline_ms <= now_ms]
        self._waiting = [r for r in self._waiting if r.deadline_ms > now_ms]
        return expired
