"""Decides whether a configuration revision may come into force.

The contents are checked without regard to the revision in force, and the
revision number only has to be higher. VMs that receive revisions in
different orders therefore reach the same decision.
"""

import attrs

from bluebellthread.core import _all_policies
from bluebellthread.core import _configuration
from bluebellthread.core import _exceptions
from bluebellthread.core import _model
from bluebellthread.core import _problems

POLICY_REGISTRIES = {
    'prefill_policy': _all_policies.prefill_policies,
    'decode_policy': _all_policies.decode_policies,
    'queue_policy': _all_policies.queue_policies,
    'spill_policy': _all_policies.spill_policies,
}
"""The registry of permitted names for each policy value."""

NO_SPILL = 'none'
"""The ``spill_policy`` that keeps requests in their data centre."""

_ROLES = (_model.ROLE_PREFILL, _model.ROLE_DECODE, _model.ROLE_SERVICE)
_checks = []


@attrs.frozen(kw_only=True)
class Accepted:
    """The revision is valid and newer than the one in force."""

    configuration: _configuration.Configuration


@attrs.frozen(kw_only=True)
class Stale:
    """The revision is ignored: it is not newer than the one in force."""

    revision: int
    in_force_revision: int


@attrs.frozen(kw_only=True)
class Invalid:
    """The revision is rejected: it breaks rules of the configuration."""

    revision: int
    problems: tuple[_problems.Problem, ...]


def decide_acceptance(configuration, *, in_force=None):
    """Return `Accepted`, `Stale` or `Invalid` for a revision.

    Parameters
    ----------
    configuration : Configuration
        The revision to check.
    in_force : Configuration or None
        The last accepted revision, or None if there is none yet.

    Examples
    --------
    >>> decide_acceptance(
    ...     _configuration.Configuration(revision=1),
    ...     in_force=_configuration.Configuration(revision=2))
    Stale(revision=1, in_force_revision=2)
    """
    revision = configuration.revision
    if in_force is not None and revision <= in_force.revision:
        return Stale(revision=revision, in_force_revision=in_force.revision)
    problems = check_configuration(configuration)
    if problems:
        return Invalid(revision=revision, problems=problems)
    return Accepted(configuration=configuration)


def check_configuration(configuration):
    """Return the problems found in a configuration's contents.

    An item that is None could not be read from its file. Such items are
    skipped, and references to a section with such an item are not checked.

    Examples
    --------
    >>> check_configuration(_configuration.Configuration(revision=1))
    ()
    """
    known = _collect_listed_names(configuration)
    problems = []
    for check in _checks:
        problems.extend(check(configuration, known))
    return tuple(problems)


def _register_check(function):
    _checks.append(function)
    return function


def _enumerate_readable(items):
    return [(i, item) for i, item in enumerate(items) if item is not None]


def _problem(path, message, remedy):
    return _problems.Problem(path=path, message=message, remedy=remedy)


def _list_choices(names):
    return f'use one of: {", ".join(sorted(names)) or "(none is listed)"}'


@attrs.frozen(kw_only=True)
class _ListedNames:
    """Names by section; None for a section with an unreadable item."""

    regions: frozenset | None
    data_centres: frozenset | None
    models: frozenset | None
    services: frozenset | None
    served: frozenset | None


def _collect_listed_names(configuration):
    models = _names_of(configuration.models)
    services = _names_of(configuration.services)
    all_readable = models is not None and services is not None
    return _ListedNames(
        regions=_names_of(configuration.regions),
        data_centres=_data_centres_of(configuration.regions),
        models=models,
        services=services,
        served=models | services if all_readable else None,
    )


def _names_of(items):
    if None in items:
        return None
    return frozenset(item.name for item in items)


def _data_centres_of(regions):
    if None in regions:
        return None
    return frozenset(name for item in regions for name in item.data_centres)


@_register_check
def _check_revision(configuration, known):
    if configuration.revision < 1:
        yield _problem(
            'revision',
            f'{configuration.revision} is too small',
            'use 1 or more, and a higher number for each change',
        )


@_register_check
def _check_duplicates(configuration, known):
    lists = (
        ('regions', configuration.regions),
        ('models', configuration.models),
        ('services', configuration.services),
        ('backend_servers', configuration.backend_servers),
    )
    for section, items in lists:
        seen = {}
        for index, item in _enumerate_readable(items):
            path = f'{section}[{index}].name'
            first = seen.setdefault(item.name, path)
            if first != path:
                yield _duplicate(path, item.name, first)
    yield from _check_data_centre_duplicates(configuration)
    yield from _check_model_service_duplicates(configuration)


def _check_data_centre_duplicates(configuration):
    seen = {}
    for index, region in _enumerate_readable(configuration.regions):
        for position, name in enumerate(region.data_centres):
            path = f'regions[{index}].data_centres[{position}]'
            first = seen.setdefault(name, path)
            if first != path:
                yield _duplicate(path, name, first)


def _check_model_service_duplicates(configuration):
    models = {
        item.name for _, item in _enumerate_readable(configuration.models)
    }
    for index, service in _enumerate_readable(configuration.services):
        if service.name in models:
            yield _problem(
                f'services[{index}].name',
                f'{service.name!r} is also the name of a model',
                'give one of them another name',
            )


def _duplicate(path, name, first):
    return _problem(
        path,
        f'{name!r} is used at {first} already',
        'give one of them another name or remove it',
    )


@_register_check
def _check_backend_servers(configuration, known):
    addresses = {}
    for index, server in _enumerate_readable(configuration.backend_servers):
        path = f'backend_servers[{index}]'
        yield from _check_reference(
            f'{path}.data_centre',
            server.data_centre,
            'data centre',
            known.data_centres,
        )
        yield from _check_serves(known, server, path)
        address = (server.host, server.port)
        first = addresses.setdefault(address, path)
        if first != path:
            yield _problem(
                f'{path}.port',
                f'{server.host}:{server.port} is also the address of {first}',
                'give each backend server its own address',
            )


def _check_serves(known, server, path):
    if server.role not in _ROLES:
        return
    is_service = server.role == _model.ROLE_SERVICE
    yield from _check_reference(
        f'{path}.serves',
        server.serves,
        'plain service' if is_service else 'model',
        known.services if is_service else known.models,
    )


def _check_reference(path, name, kind, known_names):
    if known_names is not None and name not in known_names:
        yield _problem(
            path, f'unknown {kind} {name!r}', _list_choices(known_names)
        )


@_register_check
def _check_routes(configuration, known):
    for index, service in _enumerate_readable(configuration.services):
        seen = {}
        for position, route in enumerate(service.routes):
            path = f'services[{index}].routes[{position}]'
            key = (route.method, route.path_prefix)
            first = seen.setdefault(key, path)
            if first != path:
                yield _problem(
                    path,
                    f'{route.method} {route.path_prefix} already has a rule '
                    f'at {first}',
                    'keep only one of the two routes',
                )


@_register_check
def _check_policies(configuration, known):
    defaults = attrs.asdict(configuration.defaults)
    yield from _check_policy_names('defaults', defaults)
    for index, exception in _enumerate_readable(configuration.exceptions):
        path = f'exceptions[{index}].values'
        yield from _check_policy_names(path, exception.values)


def _check_policy_names(path, values):
    for name, registry in POLICY_REGISTRIES.items():
        if name not in values:
            continue
        names = set(registry.names())
        if name == 'spill_policy':
            names.add(NO_SPILL)
        if values[name] not in names:
            yield _problem(
                f'{path}.{name}',
                f'no policy is registered as {values[name]!r}',
                _list_choices(names),
            )


@_register_check
def _check_exceptions(configuration, known):
    known_values = {
        field.name for field in attrs.fields(_configuration.Values)
    }
    for index, exception in _enumerate_readable(configuration.exceptions):
        path = f'exceptions[{index}]'
        if not exception.reason.strip():
            yield _problem(
                f'{path}.reason',
                'the reason is blank',
                'write why this scope differs from the defaults',
            )
        if not exception.values:
            yield _problem(
                f'{path}.values',
                'the exception sets no value',
                'name at least one value, or remove the exception',
            )
        for name in exception.values:
            if name not in known_values:
                yield _problem(
                    f'{path}.values.{name}',
                    'no value has this name',
                    _list_choices(known_values),
                )
        yield from _check_scope(configuration, known, exception.scope, path)


def _check_scope(configuration, known, scope, path):
    if scope == _configuration.Scope():
        yield _problem(
            f'{path}.scope',
            'the scope covers the whole fleet',
            'edit the defaults, or name a region, data_centre, serves or '
            'caller',
        )
    references = (
        ('region', 'region', known.regions),
        ('data_centre', 'data centre', known.data_centres),
        ('serves', 'model or plain service', known.served),
    )
    for field, kind, names in references:
        name = getattr(scope, field)
        if name:
            yield from _check_reference(
                f'{path}.scope.{field}', name, kind, names
            )
    yield from _check_scope_region(configuration, scope, path)


def _check_scope_region(configuration, scope, path):
    if not (scope.region and scope.data_centre):
        return
    for _, region in _enumerate_readable(configuration.regions):
        if scope.data_centre not in region.data_centres:
            continue
        if region.name != scope.region:
            yield _problem(
                f'{path}.scope.region',
                f'data centre {scope.data_centre!r} is not in region '
                f'{scope.region!r}',
                f'use region {region.name!r}, or leave the region out',
            )


@_register_check
def _check_conflicting_exceptions(configuration, known):
    first_by_key = {}
    for index, exception in _enumerate_readable(configuration.exceptions):
        key = _exceptions.scope_key(exception.scope)
        for name, value in exception.values.items():
            first = first_by_key.setdefault((key, name), (index, value))
            if first[0] != index and first[1] != value:
                yield _problem(
                    f'exceptions[{index}].values.{name}',
                    f'exceptions[{first[0]}] has the same scope and sets '
                    f'the value to {first[1]!r}',
                    'keep one of the two exceptions, or narrow the scope of '
                    'one',
                )
