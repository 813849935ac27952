"""Entries of the platform's store as the product's types.

The field names of the store serve more than one call; what each holds here
stands beside the type that it is decoded into.
"""

import base64
import binascii
import json

from bluebellthread import core
from bluebellthread.core import routing

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'

KINDS = {
    'safe': routing.KIND_REPEATABLE,
    'unsafe': routing.KIND_ONCE,
    'stream': routing.KIND_STREAM,
}
STATES = {'ready': False, 'draining': True}
"""Whether a server in a state is leaving."""

PATIENCE_MIN_MS = 2000
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
"""Callers leave a stream after the longest of a fixed time and so many
times its target and its pause (the platform's pages)."""

STAGES = ('prefill', 'decode')


class EntryError(core.BluebellthreadError):
    """An entry of the store that can't be used."""


def decode_value(item):
    """Return the fields in an item of the store.

    Raises
    ------
    EntryError
        If the value is no base64 text of a JSON table.
    """
    try:
        fields = json.loads(base64.b64decode(item['value'], validate=True))
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise EntryError(f'unreadable value: {error!r}') from error
    if not isinstance(fields, dict):
        raise EntryError('the value is no table of fields')
    return fields


def decode_server(key, fields):
    """Return the backend server that an entry names.

    Raises
    ------
    EntryError
        If a field is missing or of another type.
    """
    name = key.removeprefix(SERVERS_PREFIX)
    state = _text(fields, 'state')
    if state not in STATES:
        raise EntryError(f'unknown state {state!r}')
    host, _, port = _text(fields, 'address').rpartition(':')
    if not host or not port.isdigit():
        raise EntryError('the address is no HOST:PORT')
    stage = fields.get('stage', '')
    if stage and stage not in STAGES:
        raise EntryError(f'unknown stage {stage!r}')
    return routing.ListedServer(
        name=name,
        service=_text(fields, 'service'),
        host=host,
        port=int(port),
        data_centre=_text(fields, 'zone'),
        # The start of the process, in Unix milliseconds.
        incarnation=_count(fields, 'born', 0),
        slot_count=_count(fields, 'slots', 1),
        role=stage,
        leaving=STATES[state],
        cold_ms=_count(fields, 'coldLeftMs', 0),
    )


def decode_table(fields):
    """Return the routing table of the operator's configuration.

    Raises
    ------
    EntryError
        If a field is missing or of another type.
    """
    try:
        return routing.RoutingTable(
            version=int(fields['version']),
            routes=[_decode_route(item) for item in fields['routes']],
            services=[_decode_service(item) for item in fields['services']],
            limits=_decode_limits(fields.get('limits') or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise EntryError(f'unusable configuration: {error!r}') from error


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
        send_max=int(fields.get('maxAttempts') or 1),
        priority=int(fields.get('priority') or 0),
        is_resumable=bool(fields.get('resumable')),
        gap_target_ms=int(fields.get('gapAimMs') or 0),
        patience_ms=_find_patience_ms(fields),
    )


def _find_patience_ms(fields):
    """Return how long callers of a stream wait for an event."""
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
        # Of a read prompt at its prefill server, in seconds.
        handle_hold_ms=int(float(fields.get('kvHoldS') or 0) * 1000),
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


def _text(fields, name):
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise EntryError(f'field {name!r} is no text')
    return value


def _count(fields, name, default):
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise EntryError(f'field {name!r} is no whole number from 0')
    return value
