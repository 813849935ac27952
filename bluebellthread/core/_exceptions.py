"""Resolves which default or exception sets each value for a request.

The most specific matching exception that sets a value takes precedence.
Specificity is compared first by whether the scope names a caller, then by
whether it names a model or plain service, then by location: a data centre
before a region, and a region before neither. Two exceptions that are
equally specific and match the same request therefore have the same scope,
and `check_configuration` rejects them if their values differ.
"""

import functools

import attrs

from bluebellthread.core import _configuration

RESOLVED_MAX = 4096
"""Maximum number of scopes whose resolved values a resolver caches."""

LOCATION_DATA_CENTRE = 'data centre'
LOCATION_REGION = 'region'
LOCATION_ANY = ''


@attrs.frozen(kw_only=True)
class Decision:
    """One value in force for a request, and the rule that set it.

    Parameters
    ----------
    name : str
        The value's name.
    value : object
        The value in force.
    exception_index : int or None
        Index of the exception that set it; None for a default.
    reason : str
        The exception's reason; empty for a default.
    scope : Scope
        The exception's scope; empty for a default.
    """

    name: str
    value: object
    exception_index: int | None = None
    reason: str = ''
    scope: _configuration.Scope = attrs.field(factory=_configuration.Scope)


def scope_key(scope):
    """Return a key that is equal for scopes that match the same requests.

    A data centre lies in one region, so a scope that also names the region
    is no more specific.

    Examples
    --------
    >>> scope_key(_configuration.Scope(region='north', data_centre='a'))
    ('', '', 'data centre', 'a')
    """
    if scope.data_centre:
        location = (LOCATION_DATA_CENTRE, scope.data_centre)
    elif scope.region:
        location = (LOCATION_REGION, scope.region)
    else:
        location = (LOCATION_ANY, '')
    return (scope.caller, scope.serves, *location)


class Resolver:
    """Resolve the values of one configuration, with an index and a cache.

    Examples
    --------
    >>> resolver = Resolver(_configuration.Configuration(revision=1))
    >>> resolver.resolve(data_centre='cluj-a', serves='m').priority
    0
    """

    def __init__(self, configuration):
        self._configuration = configuration
        self._by_scope = {}
        self._resolved = {}
        self._regions = {
            data_centre: region.name
            for region in configuration.regions
            for data_centre in region.data_centres
        }
        for index, exception in enumerate(configuration.exceptions):
            key = scope_key(exception.scope)
            self._by_scope.setdefault(key, []).append(index)

    def resolve(self, *, region='', data_centre='', serves='', caller=''):
        """Return the `Values` that hold for a request."""
        request_scope = (region, data_centre, serves, caller)
        values = self._resolved.get(request_scope)
        if values is not None:
            return values
        changes = {}
        for index in self._find_matching(*request_scope):
            changes.update(self._configuration.exceptions[index].values)
        values = self._configuration.defaults
        if changes:
            values = attrs.evolve(values, **changes)
        if len(self._resolved) >= RESOLVED_MAX:
            # Clear the whole cache when it is full. That is rare, because
            # far fewer than RESOLVED_MAX combinations of scope and caller
            # occur, and resolving again is cheap.
            self._resolved.clear()
        self._resolved[request_scope] = values
        return values

    def explain(self, *, region='', data_centre='', serves='', caller=''):
        """Return a `Decision` for each value, in the order of `Values`."""
        decisions = {
            name: Decision(name=name, value=value)
            for name, value in attrs.asdict(
                self._configuration.defaults
            ).items()
        }
        for index in self._find_matching(region, data_centre, serves, caller):
            exception = self._configuration.exceptions[index]
            for name, value in exception.values.items():
                decisions[name] = Decision(
                    name=name,
                    value=value,
                    exception_index=index,
                    reason=exception.reason,
                    scope=exception.scope,
                )
        return tuple(decisions.values())

    def _find_matching(self, region, data_centre, serves, caller):
        # Least specific first, so that more specific exceptions overwrite.
        region = region or self._regions.get(data_centre, '')
        locations = [(LOCATION_ANY, '')]
        if region:
            locations.append((LOCATION_REGION, region))
        if data_centre:
            locations.append((LOCATION_DATA_CENTRE, data_centre))
        matching = []
        for a_caller in dict.fromkeys(('', caller)):
            for a_serves in dict.fromkeys(('', serves)):
                for location in locations:
                    key = (a_caller, a_serves, *location)
                    matching.extend(self._by_scope.get(key, ()))
        return matching


@functools.lru_cache(maxsize=2)
def _resolver_of(configuration):
    return Resolver(configuration)


def resolve(configuration, *, region='', data_centre='', serves='', caller=''):
    """Return the `Values` of a configuration that hold for a request.

    The region may be omitted if the data centre is given.

    Examples
    --------
    >>> configuration = _configuration.Configuration(
    ...     revision=1,
    ...     exceptions=(_configuration.ScopedException(
    ...         scope=_configuration.Scope(caller='iasi'),
    ...         reason='pilot', values={'priority': 2}),))
    >>> resolve(configuration, caller='iasi').priority
    2
    """
    return _resolver_of(configuration).resolve(
        region=region, data_centre=data_centre, serves=serves, caller=caller
    )


def explain(configuration, *, region='', data_centre='', serves='', caller=''):
    """Return a `Decision` for each value of a request.

    The order is that of `Values`.

    Examples
    --------
    >>> explain(_configuration.Configuration(revision=1))[0].name
    'prefill_policy'
    """
    return _resolver_of(configuration).explain(
        region=region, data_centre=data_centre, serves=serves, caller=caller
    )
