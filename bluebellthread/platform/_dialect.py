"""The platform's headers and calls of backend servers."""

import json

from bluebellthread.entry import ControlCall
from bluebellthread.entry import Dialect

ROUTER_ONLY = frozenset(
    (
        b'x-expect-instance',
        b'x-serving-stage',
        b'x-kv-source',
        b'x-kv-hold',
        b'x-kv-backup',
        b'x-pin-ms',
        b'x-request-priority',
        b'x-expect-version',
        b'kv-fetch',
        b'x-deadline-ms',
    )
)

ONLY_FENCE = 1
"""Fence of every order: one process of one VM gives all there ever are."""


def read_load(text):
    """Return running, waiting and slots, or None if it is unreadable.

    Examples
    --------
    >>> read_load('3,0,8')
    (3, 0, 8)
    """
    return _read_numbers(text, 3)


def read_token_counts(text):
    """Return prompt tokens and the most output tokens, or None.

    Examples
    --------
    >>> read_token_counts('1460,80')
    (1460, 80)
    >>> read_token_counts('') is None
    True
    """
    return _read_numbers(text, 2)


def _read_numbers(text, count):
    parts = text.split(',')
    if len(parts) != count:
        return None
    numbers = tuple(int(part) for part in parts if part.strip().isdigit())
    return numbers if len(numbers) == count else None


def read_handle(body):
    """Return the handle in the answer of a prefill, or None."""
    try:
        handle = json.loads(body)['handle']
    except (ValueError, KeyError, TypeError):
        return None
    return handle if isinstance(handle, str) and handle else None


def write_cache_source(host, port, handle):
    """Return where a decode server finds a read prompt."""
    return f'{host}:{port}/{handle}'.encode()


def make_handle_release(handle):
    """Return the call that frees a read prompt."""
    return ControlCall(
        method=b'DELETE', target=f'/-/kv-handle/{handle}'.encode()
    )


def make_role_order(role, *, holder):
    """Return the call that has an engine change to a role."""
    fields = {
        'opcode': 'stage',
        'stage': role,
        'holder': holder,
        'fencingToken': ONLY_FENCE,
    }
    return ControlCall(
        method=b'POST', target=b'/-/order', body=json.dumps(fields).encode()
    )


def make_dialect():
    """Return the platform's dialect."""
    return Dialect(
        request_id=b'x-request-attempt-id',
        remaining_ms=b'x-deadline-ms',
        proof=b'x-server-seal',
        expected_server=b'x-expect-instance',
        load=b'x-instance-load',
        not_run=b'x-not-executed',
        resume_after=b'last-event-id',
        token_counts=b'x-token-count',
        stage=b'x-serving-stage',
        stage_prefill=b'prefill',
        cache_source=b'x-kv-source',
        router_only=ROUTER_ONLY,
        read_load=read_load,
        read_token_counts=read_token_counts,
        read_handle=read_handle,
        write_cache_source=write_cache_source,
        make_handle_release=make_handle_release,
        make_role_order=make_role_order,
    )
