"""Decode entries of the platform's store into this project's types.

The store uses the same field name for different things in different calls.
What a field means here is documented at the type into which it is decoded.
"""

import base64
import binascii
import json

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


class EntryError(core.BluebellthreadError):
    """An entry of the platform's store is invalid."""


def decode_value(item):
    """Decode the JSON object that a store item holds in base64.

    Raises
    ------
    EntryError
        If the value is not the base64 text of a JSON object.
    """
    try:
        fields = json.loads(base64.b64decode(item['value'], validate=True))
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise EntryError(
            f'cannot decode the value as base64 and JSON: {error!r}'
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
    state = _require_text(fields, 'state')
    if state not in STATES:
        raise EntryError(f'unknown server state {state!r}')
    host, _, port = _require_text(fields, 'address').rpartition(':')
    if not host or not port.isdigit():
        raise EntryError('the address does not have the form HOST:PORT')
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
    )


def decode_table(fields):
    """Decode the operator's configuration into a routing table.

    Raises
    ------
    EntryError
        If a field is missing or invalid.
    """
    try:
        return routing.RoutingTable(
            version=int(fields[VERSION_FIELD]),
            routes=[_decode_route(item) for item in fields['routes']],
            services=[_decode_service(item) for item in fields['services']],
            limits=_decode_limits(fields.get('limits') or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
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
                service=item['service'], weight=int(item['weight'])
            )
            for item in split
        )
    else:
        shares = (routing.ServiceShare(service=fields['service']),)
    return routing.Route(
        name=str(fields.get('name', '')),
        host=fields['host'].lower(),
        prefix=fields['prefix'],
        kind=KINDS[fields['kind']],
        shares=shares,
        timeout_ms=int(fields.get('timeoutMs') or 0),
        target_ms=int(fields.get('targetLatencyMs') or 0),
        run_max=int(fields.get('maxAttempts') or 1),
        priority=int(fields.get('priority') or 0),
        is_resumable=bool(fields.get('resumable')),
        gap_target_ms=int(fields.get('gapAimMs') or 0),
        patience_ms=_find_patience_ms(fields),
    )


def _find_patience_ms(fields):
    """Return how long callers of a stream wait for an event, in ms."""
    if fields['kind'] != 'stream':
        return 0
    return max(
        PATIENCE_MIN_MS,
        PATIENCE_TARGETS * int(fields.get('targetLatencyMs') or 0),
        PATIENCE_GAPS * int(fields.get('gapAimMs') or 0),
    )


def _decode_service(fields):
    engine = fields.get('engine')
    return routing.ServiceTraits(
        name=fields['name'],
        check_path=fields.get('healthPath') or '/',
        connection_max=int(fields.get('maxConnections') or 0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(fields):
    return routing.EngineTraits(
        slot_count=int(fields['slots']),
        memory_tokens=int(fields['kvTokens']),
        # kvHoldS is the time in seconds that a prefill server keeps the KV
        # cache of a prompt.
        kv_cache_hold_ms=int(float(fields.get('kvHoldS') or 0) * 1000),
    )


def _decode_limits(fields):
    defaults = routing.CallerLimits()
    return routing.CallerLimits(
        header_max_bytes=int(
            fields.get('maxHeaderBytes') or defaults.header_max_bytes
        ),
        body_max_bytes=int(
            fields.get('maxBodyBytes') or defaults.body_max_bytes
        ),
        header_timeout_ms=int(
            fields.get('headerTimeoutMs') or defaults.header_timeout_ms
        ),
        idle_timeout_ms=int(
            fields.get('idleTimeoutMs') or defaults.idle_timeout_ms
        ),
    )


def _require_text(fields, name):
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise EntryError(
            f'field {name!r} is missing or not a non-empty string'
        )
    return value


def _read_count(fields, name, default):
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise EntryError(f'field {name!r} is not a non-negative integer')
    return value
