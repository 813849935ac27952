"""Routes: which service a request goes to, and what may be done with it."""

import hashlib

import attrs

KIND_REPEATABLE = 'repeatable'
"""A request that may run any number of times."""

KIND_ONCE = 'once'
"""A request that runs at most once for each attempt of its caller."""

KIND_STREAM = 'stream'
"""A request to a model, answered by a series of numbered events."""


@attrs.frozen(kw_only=True)
class ServiceShare:
    """The part of a route's requests that one service gets."""

    service: str
    weight: int = 1


@attrs.frozen(kw_only=True)
class Route:
    """What the operator says of the requests below one prefix.

    Parameters
    ----------
    name : str
        For logs and metrics.
    host, prefix : str
        Which requests; the prefix begins and ends with a slash.
    kind : str
        `KIND_REPEATABLE`, `KIND_ONCE` or `KIND_STREAM`.
    shares : tuple of ServiceShare
        Where the requests go.
    timeout_ms : int
        Longest time that a caller is kept waiting; 0 for no limit.
    target_ms : int
        Time within which an answer is on time; for streams, its first
        event.
    send_max : int
        Backend servers that may run one attempt.
    priority : int
        0 is the most urgent.
    is_resumable : bool
        Whether a stream may go on at another backend server.
    gap_target_ms : int
        Longest pause between events for a stream that is on time.
    patience_ms : int
        How long callers wait for an event before they leave; 0 if that is
        not known.

    Examples
    --------
    >>> route = Route(name='r', host='h', prefix='/a/', kind=KIND_ONCE,
    ...     shares=(ServiceShare(service='s'),))
    >>> route.choose_service('id-1')
    's'
    """

    name: str
    host: str
    prefix: str
    kind: str
    shares: tuple[ServiceShare, ...]
    timeout_ms: int = 0
    target_ms: int = 0
    send_max: int = 1
    priority: int = 0
    is_resumable: bool = False
    gap_target_ms: int = 0
    patience_ms: int = 0

    @property
    def may_repeat(self):
        """Whether another run of the same attempt is allowed."""
        return self.kind == KIND_REPEATABLE or self.is_resumable

    def choose_service(self, request_id):
        """Return the service of a request, the same one at every VM."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return self.shares[0].service
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, 'big') % total
        for share in self.shares:
            if point < share.weight:
                return share.service
            point -= share.weight
        return self.shares[-1].service


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What all engines of one service have in common.

    Parameters
    ----------
    slot_count : int
        Requests that run at once.
    memory_tokens : int
        Tokens of KV cache that fit.
    handle_hold_ms : int
        How long a prompt that was read is kept for its transfer.
    """

    slot_count: int
    memory_tokens: int
    handle_hold_ms: int


@attrs.frozen(kw_only=True)
class ServiceTraits:
    """A service as the operator configures it.

    Parameters
    ----------
    engine : EngineTraits or None
        None for a plain service.
    connection_max : int
        Connections that one backend server accepts from all VMs.
    """

    name: str
    check_path: str = '/'
    connection_max: int = 0
    engine: EngineTraits | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds of what callers may send, and of how long they may take.

    Parameters
    ----------
    header_max_bytes, body_max_bytes : int
        Longest head and body of a request.
    header_timeout_ms : int
        From the first byte of a head to its end.
    idle_timeout_ms : int
        How long a connection may stay without a request.
    """

    header_max_bytes: int = 16384
    body_max_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class RoutingTable:
    """One version of the operator's configuration, indexed for look-ups.

    Parameters
    ----------
    version : int
        The operator's number; 0 means that none is known.
    routes : tuple of Route
    services : tuple of ServiceTraits
    limits : CallerLimits

    Examples
    --------
    >>> share = (ServiceShare(service='s'),)
    >>> table = RoutingTable(version=1, routes=(
    ...     Route(name='a', host='h', prefix='/x/', kind=KIND_ONCE,
    ...           shares=share),
    ...     Route(name='b', host='h', prefix='/x/y/', kind=KIND_ONCE,
    ...           shares=share)))
    >>> table.find('h', '/x/y/z').name, table.find('h', '/x/q').name
    ('b', 'a')
    >>> table.find('h', '/other') is None
    True
    """

    def __init__(self, *, version=0, routes=(), services=(), limits=None):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits or CallerLimits()
        self._by_host = {}
        for route in self.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host, path):
        """Return the route with the longest prefix of a path, or None."""
        by_prefix = self._by_host.get(host)
        if not by_prefix:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def engine_services(self):
        """Return the traits of the services that run models."""
        return tuple(
            service
            for service in self.services.values()
            if service.engine is not None
        )
