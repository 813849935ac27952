"""The fleet's configuration: defaults for all, exceptions with reasons."""

import attrs

from bluebellthread.core import _model

SAFE_METHODS = ('GET', 'HEAD')
"""Methods that may be repeated where no route says otherwise."""


@attrs.frozen(kw_only=True)
class Values:
    """What operators steer, after defaults and exceptions are applied.

    Parameters
    ----------
    prefill_policy, decode_policy, queue_policy, spill_policy : str
        Names in the registries.
    first_output_target_ms, pace_target_ms : int
        Targets for the first output and between outputs.
    answer_timeout_ms : int
        How long a request may take where its caller names no deadline.
    output_tokens : int
        Answer length to reserve where the caller names none.
    priority : int
        Higher goes first.
    caller_concurrency : int
        Requests that one caller may have in progress at one VM.
    caller_rate_per_s : float
        Requests that one caller may start a second at one VM.
    retry_budget_percent : float
        Retries allowed as a share of requests.

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
    """Where an exception holds; an empty field means everywhere.

    ``serves`` is a model or a plain service.

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
    """Values that differ in a scope, with the written reason."""

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
    """Calls of a plain service that one rule covers.

    Parameters
    ----------
    method : str
        HTTP method, or ``'*'``.
    path_prefix : str
        Start of the path below the service's name.
    repeatable : bool
        Whether a call may run twice without harm.
    check_path : str
        For a call that may not be repeated: the idempotent read that
        tells whether it ran.
    refusal_kinds : tuple of str
        For a call that may not be repeated: each ``error.kind`` of a 503
        answer by which the service promises that nothing ran.
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
        What its engines have to hold; empty where nobody steers it.
    adapters : tuple of str
        Adapters that its engines have to hold besides.
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
        """Return the route of a call: the longest prefix, then the method.

        A call that no route covers may be repeated if its method is safe.
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
    """One accepted revision of the fleet's configuration.

    Parameters
    ----------
    weight_loads_per_min : float
        Loads that the weight store bears from the whole fleet.

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
        # Cheap, for caches that hold the revision in force; equality
        # still compares the contents.
        return hash(self.revision)

    def region_of(self, data_centre):
        """Return the name of a data centre's region, or empty."""
        for region in self.regions:
            if data_centre in region.data_centres:
                return region.name
        return ''

    def find_service(self, name):
        """Return the plain service of a name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def servers_of(self, serves, data_centre):
        """Return the backend servers of a model or service in a place."""
        return tuple(
            server
            for server in self.backend_servers
            if server.serves == serves and server.data_centre == data_centre
        )
