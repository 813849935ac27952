"""Finds faults in a routing table that decoding alone doesn't show."""

import attrs

from bluebellthread.core.routing import _routes

ERROR = 'error'
WARNING = 'warning'
"""Severities: a part of the table can have no effect, or hardly the one that
was meant."""


@attrs.frozen
class Finding:
    """A fault of a routing table.

    Parameters
    ----------
    severity : str
        `ERROR` or `WARNING`.
    subject : str
        The part of the table.
    text : str
        What is wrong with it.
    """

    severity: str
    subject: str
    text: str

    def __str__(self):
        """Return the finding as a line of text."""
        subject = f'{self.subject}: ' if self.subject else ''
        return f'{self.severity}: {subject}{self.text}'


def review_table(table):
    """Return the `Finding` items of a table.

    Examples
    --------
    >>> share = (_routes.ServiceShare(service='s'),)
    >>> table = _routes.RoutingTable(version=1, routes=[_routes.Route(
    ...     name='a', host='h', prefix='/x', kind=_routes.KIND_ONCE,
    ...     shares=share)], services=[_routes.ServiceTraits(name='s')])
    >>> for finding in review_table(table):
    ...     print(finding)
    error: routes[0] (a): the prefix does not end with a slash: no match
    """
    findings = []
    for number, route in enumerate(table.routes):
        subject = f'routes[{number}] ({route.name})'
        findings.extend(
            Finding(severity, subject, text)
            for severity, text in (
                *_review_match(table, number, route),
                *_review_services(table, route),
                *_review_limits(route),
            )
        )
    return findings + _review_customers(table)


def _review_match(table, number, route):
    if ':' in route.host:
        yield ERROR, 'the host has a port: no match'
    if not route.prefix.startswith('/'):
        yield ERROR, 'the prefix does not begin with a slash: no match'
    if not route.prefix.endswith('/'):
        yield ERROR, 'the prefix does not end with a slash: no match'
    for later, other in enumerate(table.routes[number + 1 :], number + 1):
        if (other.host, other.prefix) == (route.host, route.prefix):
            yield (
                ERROR,
                f'routes[{later}] has the same host and prefix, and applies',
            )
            break


def _review_services(table, route):
    is_stream = route.kind == _routes.KIND_STREAM
    for share in route.shares:
        service = table.services.get(share.service)
        if service is None:
            yield ERROR, f'service {share.service!r} is not configured'
        elif is_stream and service.engine is None:
            yield ERROR, f'streams go to service {service.name!r} of no engine'
        elif not is_stream and service.engine is not None:
            yield WARNING, f'plain requests go to engines of {service.name!r}'
    if len(route.shares) > 1 and any(
        share.weight <= 0 for share in route.shares
    ):
        yield WARNING, 'a weight is not above 0: that service gets nothing'


def _review_limits(route):
    if route.timeout_ms and route.target_ms > route.timeout_ms:
        yield (
            WARNING,
            f'answers are on time within {route.target_ms} ms, but requests '
            f'end after {route.timeout_ms} ms',
        )
    if not 0 <= route.priority <= _routes.PRIORITY_MAX:
        yield (
            WARNING,
            f'priority {route.priority} is taken for '
            f'{_routes.find_priority(route)}',
        )


def _review_customers(table):
    if table.customers is None:
        return []
    findings = []
    if not table.customers.key_count:
        findings.append(
            Finding(WARNING, 'customers', 'there are none: all keys get 401')
        )
    for name in sorted(table.customers.names):
        customer = table.customers.find_named(name)
        limit = customer.limit
        subject = f'customer {name}'
        if not 0 <= (customer.priority or 0) <= _routes.PRIORITY_MAX:
            text = f'priority {customer.priority} is not one from 0 to 9'
            findings.append(Finding(WARNING, subject, text))
        if limit is None:
            continue
        cost = limit.find_cost(None)
        if cost > limit.rate_per_s + limit.burst:
            text = (
                f'a plain request costs {cost}, more than the burst and the '
                'rate of a second together'
            )
            findings.append(Finding(WARNING, subject, text))
    return findings


def list_table_differences(old, new):
    """Return the differences between two tables as lines of text.

    Keys are not compared, since tables don't hold them.
    """
    lines = []
    if old.version != new.version:
        lines.append(f'version: {old.version} -> {new.version}')
    lines += _compare('route', _by_place(old), _by_place(new))
    lines += _compare('service', old.services, new.services)
    lines += _compare('limits', {'': old.limits}, {'': new.limits})
    lines += _compare('customer', _by_name(old), _by_name(new))
    if (old.customers is None) != (new.customers is None):
        lines.append(
            'customers: keys are not needed any more'
            if new.customers is None
            else 'customers: keys are needed from now on'
        )
    return lines


def _by_place(table):
    return {route.host + route.prefix: route for route in table.routes}


def _by_name(table):
    customers = table.customers
    if customers is None:
        return {}
    return {name: customers.find_named(name) for name in customers.names}


def _compare(kind, old, new):
    for name in sorted(old.keys() | new.keys()):
        subject = f'{kind} {name}'.strip()
        if name not in new:
            yield f'{subject}: removed'
        elif name not in old:
            yield f'{subject}: added'
        else:
            before = attrs.asdict(old[name], recurse=False)
            after = attrs.asdict(new[name], recurse=False)
            for field, value in before.items():
                if value != after[field]:
                    yield f'{subject}: {field}: {value} -> {after[field]}'
