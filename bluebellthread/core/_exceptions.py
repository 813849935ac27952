"""Which default or exception decides each value in a place.

The most specific exception that names a value decides it. A scope with a
caller is more specific than any without; among these, one with a model or
plain service is more specific than one without; among these, one with a
data centre comes before one with a region, and that before neither. Two
exceptions that are equally specific and match the same request therefore
have the same scope, and the acceptance refuses them if they disagree.
"""

import functools

import attrs

from bluebellthread.core import _configuration

RESOLVED_MAX = 4096
"""Places that a resolver remembers, in combinations of scope fields."""

PLACE_DATA_CENTRE = 'data centre'
PLACE_REGION = 'region'
PLACE_ANY = ''


@attrs.frozen(kw_only=True)
class Decision:
    """What decided one value.

    Parameters
    ----------
    name : str
        The value's name.
    value : object
        What holds.
    exception_index : int or None
        Position in the list of exceptions, from 0; None for the default.
    reason : str
        The exception's written reason, empty for a default.
    scope : Scope
        The exception's scope, empty for a default.
    """

    name: str
    value: object
    exception_index: int | None = None
    reason: str = ''
    scope: _configuration.Scope = attrs.field(factory=_configuration.Scope)


def scope_key(scope):
    """Return what two scopes have in common that match the same requests.

    A data centre lies in one region, so naming the region too makes a
    scope no more specific.

    Examples
    --------
    >>> scope_key(_configuration.Scope(region='north', data_centre='a'))
    ('', '', 'data centre', 'a')
    """
    if scope.data_centre:
        place = (PLACE_DATA_CENTRE, scope.data_centre)
    elif scope.region:
        place = (PLACE_REGION, scope.region)
    else:
        place = (PLACE_ANY, '')
    return (scope.caller, scope.serves, *place)


class Resolver:
    """Values of one configuration by scope, indexed for use per request.

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
            place: region.name
            for region in configuration.regions
            for place in region.data_centres
        }
        for index, exception in enumerate(configuration.exceptions):
            key = scope_key(exception.scope)
            self._by_scope.setdefault(key, []).append(index)

    def resolve(self, *, region='', data_centre='', serves='', caller=''):
        """Return the `Values` that hold for a request."""
        place = (region, data_centre, serves, caller)
        values = self._resolved.get(place)
        if values is not None:
            return values
        changes = {}
        for index in self._matching(*place):
            changes.update(self._configuration.exceptions[index].values)
        values = self._configuration.defaults
        if changes:
            values = attrs.evolve(values, **changes)
        if len(self._resolved) >= RESOLVED_MAX:
            # Rare: far more callers than the fleet has. A miss is cheap.
            self._resolved.clear()
        self._resolved[place] = values
        return values

    def explain(self, *, region='', data_centre='', serves='', caller=''):
        """Return a `Decision` for each value, in the order of `Values`."""
        decisions = {
            name: Decision(name=name, value=value)
            for name, value in attrs.asdict(
                self._configuration.defaults
            ).items()
        }
        for index in self._matching(region, data_centre, serves, caller):
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

    def _matching(self, region, data_centre, serves, caller):
        # Least specific first, so that later ones overwrite.
        region = region or self._regions.get(data_centre, '')
        places = [(PLACE_ANY, '')]
        if region:
            places.append((PLACE_REGION, region))
        if data_centre:
            places.append((PLACE_DATA_CENTRE, data_centre))
        matching = []
        for a_caller in dict.fromkeys(('', caller)):
            for a_serves in dict.fromkeys(('', serves)):
                for place in places:
                    key = (a_caller, a_serves, *place)
                    matching.extend(self._by_scope.get(key, ()))
        return matching


@functools.lru_cache(maxsize=2)
def _resolver_of(configuration):
    return Resolver(configuration)


def resolve(configuration, *, region='', data_centre='', serves='', caller=''):
    """Return the `Values` of a configuration that hold for a request.

    The region may be left out where the data centre is named.

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
    """Return what decided each value for a request, as `Decision` items.

    Examples
    --------
    >>> explain(_configuration.Configuration(revision=1))[0].name
    'prefill_policy'
    """
    return _resolver_of(configuration).explain(
        region=region, data_centre=data_centre, serves=serves, caller=caller
    )
