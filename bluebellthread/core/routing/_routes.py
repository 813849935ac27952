"""Routes: map requests to services and state how they may be run."""

import hashlib

import attrs

KIND_IDEMPOTENT = 'repeatable'
"""Kind of an idempotent request, which may run any number of times."""

KIND_ONCE = 'once'
"""Kind of an at-most-once request: one run per attempt of its caller."""

KIND_STREAM = 'stream'
"""Kind of a model request, answered by a stream of numbered events."""


PRIORITY_MAX = 9
"""Priority of the least urgent requests; 0 is that of the most urgent."""


@attrs.frozen(kw_only=True)
class ServiceShare:
    """Weight of one service in the traffic split of a route."""

    service: str
    weight: int = 1


@attrs.frozen(kw_only=True)
class Route:
    """The operator's rules for requests to one host and path prefix.

    Parameters
    ----------
    name : str
        Name in logs and metrics.
    host, prefix : str
        Host and path prefix to match; the prefix begins and ends with a
        slash.
    kind : str
        `KIND_IDEMPOTENT`, `KIND_ONCE` or `KIND_STREAM`.
    shares : tuple of ServiceShare
        Services that get the requests, by weight.
    timeout_ms : int
        Longest time that a caller waits for the answer; 0 for no limit.
    target_ms : int
        Time within which an answer, or the first event of a stream, is on
        time.
    run_max : int
        Largest number of backend servers on which one attempt may run.
    priority : int
        Priority of the requests; 0 is the most urgent.
    is_resumable : bool
        Whether another backend server may resume a stream.
    gap_target_ms : int
        Longest pause between events of a stream that is on time.
    patience_ms : int
        Time that callers wait for an event before they disconnect; 0 if
        unknown.
    needs_key : bool
        Whether requests need the key of a customer, if the configuration has
        customers.

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
    run_max: int = 1
    priority: int = 0
    is_resumable: bool = False
    gap_target_ms: int = 0
    patience_ms: int = 0
    needs_key: bool = True

    @property
    def is_retryable(self):
        """Whether a request that may have run may be sent again."""
        return self.kind == KIND_IDEMPOTENT or self.is_resumable

    def choose_service(self, request_id):
        """Return the service of a request, the same on every VM."""
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
    """Properties that all engines of one service share.

    Parameters
    ----------
    slot_count : int
        Requests that one engine runs concurrently.
    memory_tokens : int
        Capacity of the KV cache in tokens.
    kv_cache_hold_ms : int
        Time that a prefill server keeps a KV cache for its transfer.
    """

    slot_count: int
    memory_tokens: int
    kv_cache_hold_ms: int


@attrs.frozen(kw_only=True)
class ServiceTraits:
    """A service as the operator configures it.

    Parameters
    ----------
    engine : EngineTraits or None
        Properties of its engines; None for a plain service.
    check_path : str
        Path of the health check of its backend servers.
    connection_max : int
        Connections that one backend server accepts from all VMs together.
    """

    name: str
    check_path: str = '/'
    connection_max: int = 0
    engine: EngineTraits | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests and connections.

    Parameters
    ----------
    header_max_bytes, body_max_bytes : int
        Largest header section and body of a request.
    header_timeout_ms : int
        Longest time from the first to the last byte of the headers.
    idle_timeout_ms : int
        Longest time that a connection may be idle between requests.
    """

    header_max_bytes: int = 16384
    body_max_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


def find_priority(route, customer_priority=None):
    """Return the priority of a request: the customer's, else the route's.

    Parameters
    ----------
    route : Route
        The route of the request.
    customer_priority : int or None
        Priority of the customer, if it has one.

    Examples
    --------
    >>> route = Route(name='r', host='h', prefix='/', kind=KIND_ONCE,
    ...     shares=(), priority=12)
    >>> find_priority(route), find_priority(route, 0)
    (9, 0)
    """
    priority = route.priority
    if customer_priority is not None:
        priority = customer_priority
    return min(max(priority, 0), PRIORITY_MAX)


class RoutingTable:
    """One version of the operator's configuration, indexed for lookup.

    Parameters
    ----------
    version : int
        Version set by the operator; 0 before any configuration is known.
    routes : tuple of Route
        All routes; of two with the same host and prefix, the last applies.
    services : tuple of ServiceTraits
        Services that routes refer to by name.
    limits : CallerLimits or None
        Limits for callers; None for the defaults.
    customers : Customers or None
        Who may send requests; None if the configuration has no customers.

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

    def __init__(
        self,
        *,
        version=0,
        routes=(),
        services=(),
        limits=None,
        customers=None,
    ):
        self.version = version
        self.customers = customers
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits or CallerLimits()
        self._has_priorities = {}
        self._by_host = {}
        for route in self.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host, path):
        """Return the route with the longest prefix of ``path``, or None."""
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

    def has_priorities(self, service):
        """Return whether requests to a service differ in priority."""
        known = self._has_priorities.get(service)
        if known is None:
            priorities = set()
            for route in self.routes:
                if any(share.service == service for share in route.shares):
                    priorities |= self._list_priorities(route)
            known = self._has_priorities[service] = len(priorities) > 1
        return known

    def _list_priorities(self, route):
        """Return the priorities that requests to a route may have."""
        of_customers = set()
        if self.customers is not None:
            of_customers |= self.customers.priorities
        if self.customers is None or not route.needs_key:
            of_customers.add(None)
        return {find_priority(route, priority) for priority in of_customers}

    def engine_services(self):
        """Return the traits of the services that run models."""
        return tuple(
            service
            for service in self.services.values()
            if service.engine is not None
        )
