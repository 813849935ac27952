"""Decode entries of the platform's store into this project's types.

The store uses the same field name for different things in different calls.
What a field means here is documented at the type into which it is decoded.
"""

import base64
import binascii
import ipaddress
import json
import math
import re

from bluebellthread import core
from bluebellthread.core import routing

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'
VERSION_FIELD = 'version'

KINDS = {
    'safe': routing.KIND_IDEMPOTENT,
    'unsafe': routing.KIND_ONCE,
    'stream': routing.KIND_STREAM,
}
STATES = {'ready': False, 'draining': True}
"""Server states of the store; the value tells whether a server in that state
drains before its shutdown."""

PATIENCE_MIN_MS = 2000
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
"""Callers disconnect from a stream without events after the longest of a
fixed time and these multiples of its latency target and its longest pause
(platform documentation)."""

STAGES = ('prefill', 'decode')

NUMBER_MAX = 2**53 - 1
"""Largest integer that every reader of JSON takes exactly (RFC 8259). A few
times as much still fits the 64-bit fields of messages between VMs."""

VERSION_MAX = 2**63 - 1
"""Largest version that the 64-bit fields of messages between VMs hold."""

PORT_MAX = 2**16 - 1
"""Largest TCP port."""

DEPTH_MAX = 32
"""Deepest nesting of a value; the platform's documents nest five deep. It is
far from the depth at which the JSON library fails."""

PORT_PATTERN = re.compile('[0-9]{1,5}')
"""As many digits as `PORT_MAX` has."""

HEADER_TEXT_PATTERN = re.compile(
    r'[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)
"""Texts that can be written into a header (RFC 9110, 5.5): without control
characters, and without blanks at the ends."""

PROBLEM_MAX_CHARACTERS = 500
"""Maximum length of a problem in the log: enough for a field's name and the
beginning of its value."""


class EntryError(core.BluebellthreadError):
    """An entry of the platform's store is invalid.

    Parameters
    ----------
    problem : str
        What is wrong; cut if long, since it may quote the entry.
    """

    def __init__(self, problem):
        super().__init__(problem[:PROBLEM_MAX_CHARACTERS])


def decode_value(item):
    """Decode the JSON object that a store item holds in base64.

    Raises
    ------
    EntryError
        If the value is not the base64 text of a JSON object, or has numbers
        that are not finite.
    """
    try:
        fields = json.loads(
            base64.b64decode(item['value'], validate=True),
            parse_constant=_refuse_constant,
            parse_float=_parse_finite,
        )
    except (
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
        binascii.Error,
    ) as error:
        # The representation of an error of the text encoding has the whole
        # text, with the keys of customers.
        raise EntryError(
            'cannot decode the value as base64 and JSON: '
            f'{type(error).__name__}: {error}'
        ) from error
    if not isinstance(fields, dict):
        raise EntryError('the value is not a JSON object')
    return fields


def decode_server(key, fields):
    """Decode the store entry of a backend server.

    Raises
    ------
    EntryError
        If a field is missing or invalid.
    """
    name = key.removeprefix(SERVERS_PREFIX)
    _check_header_text('key', name)
    state = _require_text(fields, 'state')
    if state not in STATES:
        raise EntryError(f'unknown server state {state!r}')
    host, _, port = _require_text(fields, 'address').rpartition(':')
    if not _is_unicast(host) or not _is_port(port):
        raise EntryError(
            'the address is not the IPv4 address of a host and a port'
        )
    stage = fields.get('stage', '')
    if stage and stage not in STAGES:
        raise EntryError(f'unknown engine stage {stage!r}')
    return routing.ListedServer(
        name=name,
        service=_require_text(fields, 'service'),
        host=host,
        port=int(port),
        data_centre=_require_text(fields, 'zone'),
        # The start of the process, in Unix milliseconds.
        incarnation=_read_count(fields, 'born', 0),
        slot_count=_read_count(fields, 'slots', 1),
        role=stage,
        is_draining=STATES[state],
        cold_ms=_read_count(fields, 'coldLeftMs', 0),
        # The version of the server's software; the configuration and the
        # answer of a prefill have other things under this name.
        software_version=_check_header_text(
            VERSION_FIELD, _require_text(fields, VERSION_FIELD)
        ),
    )


def decode_table(fields):
    """Decode the operator's configuration into a routing table.

    Raises
    ------
    EntryError
        If a field is missing or invalid, or if the other VMs could not be
        sent the configuration.
    """
    _check_content(fields)
    try:
        return routing.RoutingTable(
            version=_check_number(
                VERSION_FIELD, int(fields[VERSION_FIELD]), VERSION_MAX
            ),
            routes=[
                _decode_route(item) for item in _list_of(fields, 'routes')
            ],
            services=[
                _decode_service(item) for item in _list_of(fields, 'services')
            ],
            limits=_decode_limits(fields.get('limits') or {}),
            customers=_decode_customers(fields.get('tenants')),
        )
    except (
        ArithmeticError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise EntryError(
            f'missing or invalid field in the configuration: {error!r}'
        ) from error


def make_value(fields, version):
    """Return a configuration in the form that VMs send to each other.

    Examples
    --------
    >>> make_value({'version': 7, 'routes': []}, 7)
    {'routes': [], 'revision': 7}
    """
    value = {
        name: content
        for name, content in fields.items()
        if name not in (VERSION_FIELD, core.REVISION_KEY)
    }
    value[core.REVISION_KEY] = version
    return value


def restore_fields(value):
    """Return the fields of the store's entry from a value of `make_value`.

    Examples
    --------
    >>> restore_fields({'routes': [], 'revision': 7})
    {'routes': [], 'version': 7}
    """
    fields = dict(value)
    fields[VERSION_FIELD] = fields.pop(core.REVISION_KEY)
    return fields


def _decode_route(fields):
    split = fields.get('trafficSplit')
    if split:
        shares = tuple(
            routing.ServiceShare(
                service=_text_of(item, 'service'),
                weight=_check_signed_number('weight', int(item['weight'])),
            )
            for item in split
        )
    else:
        shares = (routing.ServiceShare(service=_text_of(fields, 'service')),)
    return routing.Route(
        name=str(fields.get('name', '')),
        host=_text_of(fields, 'host').lower(),
        prefix=_text_of(fields, 'prefix'),
        kind=KINDS[fields['kind']],
        shares=shares,
        timeout_ms=_read_number(fields, 'timeoutMs'),
        target_ms=_read_number(fields, 'targetLatencyMs'),
        run_max=_read_number(fields, 'maxAttempts', 1),
        priority=_check_signed_number(
            'priority', int(fields.get('priority') or 0)
        ),
        is_resumable=bool(fields.get('resumable')),
        gap_target_ms=_read_number(fields, 'gapAimMs'),
        patience_ms=_find_patience_ms(fields),
        needs_key=fields.get('authExempt') is not True,
    )


def _find_patience_ms(fields):
    """Return how long callers of a stream wait for an event, in ms."""
    if fields['kind'] != 'stream':
        return 0
    return max(
        PATIENCE_MIN_MS,
        PATIENCE_TARGETS * _read_number(fields, 'targetLatencyMs'),
        PATIENCE_GAPS * _read_number(fields, 'gapAimMs'),
    )


def _decode_service(fields):
    engine = fields.get('engine')
    check_path = '/'
    if fields.get('healthPath'):
        check_path = _text_of(fields, 'healthPath')
    return routing.ServiceTraits(
        name=_text_of(fields, 'name'),
        check_path=check_path,
        connection_max=_read_number(fields, 'maxConnections'),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(fields):
    # kvHoldS is the time in seconds that a prefill server keeps the KV cache
    # of a prompt.
    hold_ms = int(float(fields.get('kvHoldS') or 0) * 1000)
    return routing.EngineTraits(
        slot_count=_check_number('slots', int(fields['slots'])),
        memory_tokens=_check_number('kvTokens', int(fields['kvTokens'])),
        kv_cache_hold_ms=_check_number('kvHoldS', hold_ms),
    )


def _decode_limits(fields):
    defaults = routing.CallerLimits()
    return routing.CallerLimits(
        header_max_bytes=_read_number(
            fields, 'maxHeaderBytes', defaults.header_max_bytes
        ),
        body_max_bytes=_read_number(
            fields, 'maxBodyBytes', defaults.body_max_bytes
        ),
        header_timeout_ms=_read_number(
            fields, 'headerTimeoutMs', defaults.header_timeout_ms
        ),
        idle_timeout_ms=_read_number(
            fields, 'idleTimeoutMs', defaults.idle_timeout_ms
        ),
    )


def _decode_customers(items):
    """Return the `Customers` of a configuration; None if it has none."""
    if items is None:
        return None
    if not isinstance(items, list):
        raise EntryError("field 'tenants' is not a list")
    by_key = []
    holders = {}
    for number, item in enumerate(items):
        try:
            customer = _decode_customer(item)
            keys = _list_of(item, 'apiKeys')
        except EntryError as error:
            raise EntryError(f'tenants[{number}]: {error}') from error
        except (
            ArithmeticError,
            AttributeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise EntryError(
                f'tenants[{number}]: missing or invalid field: {error!r}'
            ) from error
        for key in keys:
            # The texts of keys stay out of messages, which are logged.
            if not isinstance(key, str) or not key:
                raise EntryError(
                    f'tenants[{number}]: a key is not a non-empty string'
                )
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                raise EntryError(
                    f'tenants[{number}]: {customer.name!r} and {holder!r} '
                    'have the same key'
                )
            by_key.append((key, customer))
    return routing.Customers(by_key)


def _decode_customer(fields):
    name = _check_header_text('name', _require_text(fields, 'name'))
    priority = fields.get('priority')
    if priority is not None:
        priority = _check_signed_number('priority', int(priority))
    return routing.Customer(
        name=name,
        priority=priority,
        limit=_decode_customer_limit(fields),
    )


def _decode_customer_limit(fields):
    rate_per_s = _read_amount(fields, 'ratePerS')
    if not rate_per_s:
        return None
    return routing.CustomerLimit(
        rate_per_s=rate_per_s,
        burst=_read_amount(fields, 'burst'),
        counts_tokens=fields.get('unit') == 'token_stream',
        plain_cost=_read_number(fields, 'plainTokens'),
    )


def _read_amount(fields, name):
    amount = float(fields.get(name) or 0)
    if not 0 <= amount <= NUMBER_MAX:
        raise EntryError(f'field {name!r} is not between 0 and {NUMBER_MAX}')
    return amount


def _refuse_constant(text):
    raise ValueError(f'{text} is not a JSON number')


def _parse_finite(text):
    number = float(text)
    if not math.isfinite(number):
        raise ValueError('a number is too large')
    return number


def _check_content(fields):
    """Check that a decoded value can be encoded again, at any depth."""
    level = [fields]
    depth = 0
    while level:
        depth += 1
        if depth > DEPTH_MAX:
            raise EntryError(f'the value nests deeper than {DEPTH_MAX} levels')
        below = []
        for container in level:
            items = container
            if isinstance(container, dict):
                _check_keys(container)
                items = container.values()
            for item in items:
                if isinstance(item, str):
                    if not item.isascii():
                        _check_text(item)
                elif isinstance(item, (dict, list)):
                    below.append(item)
                elif isinstance(item, float) and not math.isfinite(item):
                    raise EntryError('a number is not finite')
        level = below


def _check_keys(fields):
    for key in fields:
        if not isinstance(key, str):
            raise EntryError(f'a key is not a string but {key!r}')
        if not key.isascii():
            _check_text(key)


def _check_text(text):
    if not text.isascii():
        try:
            text.encode()
        except UnicodeEncodeError as error:
            raise EntryError(
                f'a text is not valid Unicode: {error}'
            ) from error


def _list_of(fields, name):
    items = fields[name]
    if not isinstance(items, list):
        raise EntryError(f'field {name!r} is not a list')
    return items


def _text_of(fields, name):
    value = fields[name]
    if not isinstance(value, str):
        raise EntryError(f'field {name!r} is not a string')
    return value


def _read_number(fields, name, default=0):
    return _check_number(name, int(fields.get(name) or default))


def _check_number(name, number, largest=NUMBER_MAX):
    if not 0 <= number <= largest:
        raise EntryError(f'field {name!r} is not between 0 and {largest}')
    return number


def _check_signed_number(name, number):
    _check_number(name, abs(number))
    return number


def _is_port(text):
    return bool(PORT_PATTERN.fullmatch(text)) and 0 < int(text) <= PORT_MAX


def _is_unicast(text):
    """Return whether a text is an IPv4 address that one host may have.

    Connections to servers are opened over IPv4, and names are not looked up.
    """
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )


def _require_text(fields, name):
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise EntryError(
            f'field {name!r} is missing or not a non-empty string'
        )
    _check_text(value)
    return value


def _check_header_text(name, text):
    _check_text(text)
    if not HEADER_TEXT_PATTERN.fullmatch(text):
        raise EntryError(f'field {name!r} can not be written into a header')
    return text


def _read_count(fields, name, default):
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise EntryError(f'field {name!r} is not a non-negative integer')
    return _check_number(name, value)
