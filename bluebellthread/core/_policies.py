"""Registries, base classes and inputs of the scheduler's policies."""

import abc

import attrs

from bluebellthread.core import _messages
from bluebellthread.core import _registry

prefill_policies = _registry.Registry('prefill policy')
decode_policies = _registry.Registry('decode policy')
queue_policies = _registry.Registry('queue policy')
spill_policies = _registry.Registry('spill policy')

MAX_WAITING_REQUESTS = 1000
"""Default maximum number of waiting requests in a queue."""

MAX_WAITING_PER_CALLER = 200
"""Default maximum number of waiting requests of one caller."""

FAIR_WINDOW_TOKENS = 10000
"""Default maximum lead in cost, in prompt tokens, of a caller with shorter
requests over another caller."""

RETRY_AFTER_MS = 1000
"""Default time after which a refused caller may retry, without an estimate."""


@attrs.frozen(kw_only=True)
class PrefillCandidate:
    """Describes a prefill server that may take one more prompt.

    Parameters
    ----------
    name : str
        Name of the backend server.
    reserved_tokens : int
        Prompt tokens reserved there whose prefill has not ended.
    reported_queued : int
        Number of waiting requests in the last load report, which lags behind.
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
    """Describes a decode server that may take the request.

    Parameters
    ----------
    name : str
        Name of the backend server.
    free_pieces : int
        Free memory blocks according to the scheduler's own account.
    running_count : int
        Permits that use the server.
    reported_free_pieces : int
        Free memory blocks in the last load report, which lags behind.
    """

    name: str
    free_pieces: int
    running_count: int = 0
    reported_free_pieces: int = 0


def prefer_others(candidates, avoid_servers):
    """Return the candidates not in ``avoid_servers``, or all if none is left.

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
    """Chooses a backend server; each pool keeps one instance.

    Attributes
    ----------
    reserves : bool
        Whether only backend servers that have capacity according to the
        scheduler's own account are candidates. False for the baselines that
        choose at random, in turn or by load report, like a router that
        keeps no account.

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
            The request to place.
        candidates : tuple
            Candidate servers, at least one, sorted by name.
        rng : random.Random
            The only source of randomness.
        """


@attrs.frozen(kw_only=True)
class QueueOptions:
    """Holds the limits of a queue.

    Parameters
    ----------
    maximum_count, caller_maximum_count : int
        Maximum number of waiting requests of all callers and of one caller.
    fair_window_tokens : int
        Maximum lead in cost, in prompt tokens, of a caller with shorter
        requests over another caller.

    Examples
    --------
    >>> QueueOptions(maximum_count=10).caller_maximum_count
    200
    """

    maximum_count: int = MAX_WAITING_REQUESTS
    caller_maximum_count: int = MAX_WAITING_PER_CALLER
    fair_window_tokens: int = FAIR_WINDOW_TOKENS


@attrs.frozen(kw_only=True)
class QueueRefusal:
    """Describes a queue's refusal of a request, which has not run.

    Parameters
    ----------
    request : PermitRequest
        The refused request.
    kind : str
        Reason, as in `PermitRefused`.
    retry_after_ms : int
        Milliseconds after which a retry will probably be accepted.
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
        """Add a request and return a tuple of `QueueRefusal`.

        The refusals may concern this request or requests that already wait.
        """

    @abc.abstractmethod
    def pop_next(self, fits, *, now_ms):
        """Remove and return the next request if it fits, else None.

        ``fits`` is a function that says whether engines have capacity for a
        request now.
        """

    @abc.abstractmethod
    def remove(self, request_id):
        """Remove and return a request, or None if it does not wait."""

    @abc.abstractmethod
    def pop_expired(self, *, now_ms):
        """Remove requests that cannot start in time; return their refusals.

        The result is a tuple of `QueueRefusal`.
        """

    def note_granted(self, request, *, now_ms):  # noqa: B027
        """Record that a popped request was granted a permit."""

    def note_first_output(self, request_id, *, now_ms):  # noqa: B027
        """Record that a granted request has started to decode."""
