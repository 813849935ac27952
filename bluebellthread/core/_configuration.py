"""The fleet's configuration: defaults, and exceptions for a scope."""

import attrs

from bluebellthread.core import _model

SAFE_METHODS = ('GET', 'HEAD')
"""HTTP methods that count as idempotent if no route covers the call."""


@attrs.frozen(kw_only=True)
class Values:
    """Values that operators set per scope, such as policies and limits.

    The configuration's defaults are one instance. `Resolver` applies the
    exceptions to it.

    Parameters
    ----------
    prefill_policy, decode_policy, queue_policy, spill_policy : str
        Names of policies in the registries.
    first_output_target_ms, pace_target_ms : int
        Target time to the first output, and target time between outputs.
    answer_timeout_ms : int
        Timeout of a request whose caller sets no deadline.
    output_tokens : int
        Answer length, in tokens, to reserve memory for if the caller sets
        no length.
    priority : int
        Requests with a higher priority are scheduled first.
    caller_concurrency : int
        Maximum requests of one caller in progress at one VM.
    caller_rate_per_s : float
        Maximum requests per second that one caller may start at one VM.
    retry_budget_percent : float
        Maximum retries as a percentage of requests.

    Examples
    --------
    >>> Values().pace_target_ms
    45
    """

    prefill_policy: str = 'prefix'
    decode_policy: str = 'fewest-running'
    queue_policy: str = 'fair-early-refusal'
    spill_policy: str = 'none'
    first_output_target_ms: int = 780
    pace_target_ms: int = 45
    answer_timeout_ms: int = 60000
    output_tokens: int = 256
    priority: int = 0
    caller_concurrency: int = 64
    caller_rate_per_s: float = 100.0
    retry_budget_percent: float = 10.0


@attrs.frozen(kw_only=True)
class Scope:
    """The requests that an exception applies to.

    A request has to match every field; an empty field matches all
    requests. ``serves`` is the name of a model or of a plain service.

    Examples
    --------
    >>> Scope(caller='atelier-iasi').serves
    ''
    """

    region: str = ''
    data_centre: str = ''
    serves: str = ''
    caller: str = ''


@attrs.frozen(kw_only=True)
class ScopedException:
    """Values that replace the defaults in a scope, with the reason."""

    scope: Scope
    reason: str
    values: dict[str, object]


@attrs.frozen(kw_only=True)
class Region:
    """A region and its data centres."""

    name: str
    data_centres: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Route:
    """A rule on whether a group of a plain service's calls may be repeated.

    Parameters
    ----------
    method : str
        HTTP method, or ``'*'`` for all methods.
    path_prefix : str
        Start of the matching paths, without the service's name.
    repeatable : bool
        Whether the calls are idempotent, so that they may be retried.
    check_path : str
        Path of the idempotent read that shows whether an at-most-once
        call ran.
    refusal_kinds : tuple of str
        For an at-most-once call, the ``error.kind`` values of a 503 answer
        that guarantee that the call did not run.
    """

    method: str
    path_prefix: str
    repeatable: bool
    check_path: str = ''
    refusal_kinds: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Model:
    """A model that engines serve.

    Parameters
    ----------
    version : str
        Version that its engines have to load; empty if the operators
        don't set one.
    adapters : tuple of str
        Adapters that its engines have to load in addition.
    """

    name: str
    version: str = ''
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Service:
    """A plain service and its routes.

    Examples
    --------
    >>> service = Service(name='ledger')
    >>> service.find_route('GET', '/x').repeatable
    True
    >>> service.find_route('POST', '/x').repeatable
    False
    """

    name: str
    routes: tuple[Route, ...] = ()

    def find_route(self, method, path):
        """Return the most specific route that matches a call.

        A longer prefix is more specific; of equal prefixes, a route that
        names the method is more specific than ``'*'``. A call that no
        route covers is idempotent if its method is in `SAFE_METHODS`.
        """
        matching = [
            route
            for route in self.routes
            if route.method in (method, '*')
            and path.startswith(route.path_prefix)
        ]
        if not matching:
            return Route(
                method=method,
                path_prefix='/',
                repeatable=method in SAFE_METHODS,
            )
        return max(
            matching, key=lambda r: (len(r.path_prefix), r.method == method)
        )


@attrs.frozen(kw_only=True)
class Configuration:
    """One revision of the fleet's configuration.

    Parameters
    ----------
    weight_loads_per_min : float
        Maximum loads of model weights per minute that the whole fleet
        may start, which limits the load on the weight store.

    Examples
    --------
    >>> Configuration(revision=1).defaults.pace_target_ms
    45
    """

    revision: int
    regions: tuple[Region, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    backend_servers: tuple[_model.BackendServer, ...] = ()
    defaults: Values = Values()
    exceptions: tuple[ScopedException, ...] = ()
    weight_loads_per_min: float = 6.0

    def __hash__(self):
        # Hashing the revision alone is cheap and enough for caches that
        # hold the revision in force. Equality still compares the contents.
        return hash(self.revision)

    def region_of(self, data_centre):
        """Return a data centre's region, or an empty string if unknown."""
        for region in self.regions:
            if data_centre in region.data_centres:
                return region.name
        return ''

    def find_service(self, name):
        """Return the plain service with a name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def servers_of(self, serves, data_centre):
        """Return a model's or service's backend servers in a data centre."""
        return tuple(
            server
            for server in self.backend_servers
            if server.serves == serves and server.data_centre == data_centre
        )
