"""Registries of the scheduler's choices, and what the choices look at."""

import abc

import attrs

from bluebellthread.core import _messages
from bluebellthread.core import _registry

prefill_policies = _registry.Registry('prefill policy')
decode_policies = _registry.Registry('decode policy')
queue_policies = _registry.Registry('queue policy')
spill_policies = _registry.Registry('spill policy')

LONGEST_QUEUE = 1000
"""Waiting requests above which one is refused at once."""

LONGEST_CALLER_QUEUE = 200
"""Waiting requests of one caller above which its next one is refused."""

FAIR_WINDOW_TOKENS = 10000
"""Cost within which short requests go before long ones."""

RETRY_AFTER_MS = 1000
"""When a refused caller should come back, where nothing better is known."""


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
    cached_tokens : int
        Tokens at the start of the prompt whose KV cache is probably in
        the backend server's prefix cache.
    """

    name: str
    reserved_tokens: int = 0
    reported_queued: int = 0
    cached_tokens: int = 0


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


def prefer_others(candidates, avoid_servers):
    """Return the candidates that are not to be avoided, or else all.

    Examples
    --------
    >>> candidates = (DecodeCandidate(name='d1', free_pieces=1),)
    >>> prefer_others(candidates, ('d1',)) == candidates
    True
    """
    others = tuple(
        item for item in candidates if item.name not in avoid_servers
    )
    return others or candidates


class ServerPolicy(abc.ABC):
    """Chooses a backend server; one instance lives as long as its pool.

    Attributes
    ----------
    reserves : bool
        Whether only backend servers with room by the scheduler's own
        account are candidates. The baselines that go by chance or by
        report do without, as a router without an account has to.

    Examples
    --------
    >>> class First(ServerPolicy):
    ...     def choose(self, request, candidates, rng):
    ...         return candidates[0].name
    >>> First().choose(None, (PrefillCandidate(name='p1'),), None)
    'p1'
    """

    reserves = True

    @abc.abstractmethod
    def choose(self, request, candidates, rng):
        """Return the name of one candidate.

        Parameters
        ----------
        request : PermitRequest
            What is to be placed.
        candidates : tuple
            Not empty, sorted by name.
        rng : random.Random
            The only source of randomness.
        """


@attrs.frozen(kw_only=True)
class QueueOptions:
    """Bounds of a queue.

    Parameters
    ----------
    maximum_count, caller_maximum_count : int
        Waiting requests, of all callers and of one.
    fair_window_tokens : int
        Cost, in prompt tokens, that a caller may get ahead of another
        because its requests are shorter.

    Examples
    --------
    >>> QueueOptions(maximum_count=10).caller_maximum_count
    200
    """

    maximum_count: int = LONGEST_QUEUE
    caller_maximum_count: int = LONGEST_CALLER_QUEUE
    fair_window_tokens: int = FAIR_WINDOW_TOKENS


@attrs.frozen(kw_only=True)
class QueueRefusal:
    """A request that a queue gives up; it has not run.

    Parameters
    ----------
    request : PermitRequest
        The request.
    kind : str
        As in `PermitRefused`.
    retry_after_ms : int
        When there will probably be room.
    """

    request: _messages.PermitRequest
    kind: str
    retry_after_ms: int = RETRY_AFTER_MS


class QueuePolicy(abc.ABC):
    """Holds the requests that wait for a permit in one pool."""

    @abc.abstractmethod
    def __len__(self):
        """Return how many requests wait."""

    @abc.abstractmethod
    def push(self, request, *, now_ms):
        """Add a request and return the `QueueRefusal` tuple that follows.

        The tuple may name the request itself or others that give way.
        """

    @abc.abstractmethod
    def pop_next(self, fits, *, now_ms):
        """Remove and return the next request if it fits, else None.

        ``fits`` is a function that says whether a request fits now.
        """

    @abc.abstractmethod
    def remove(self, request_id):
        """Remove and return a request, or None if it does not wait."""

    @abc.abstractmethod
    def pop_expired(self, *, now_ms):
        """Remove what waits in vain; return a tuple of `QueueRefusal`."""

    def note_granted(self, request, *, now_ms):  # noqa: B027
        """Learn that a popped request has its permit."""

    def note_first_output(self, request_id, *, now_ms):  # noqa: B027
        """Learn that a granted request has begun to decode."""
