"""The platform's header names and control calls for backend servers."""

import json
import re

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.entry import ControlCall
from bluebellthread.entry import Dialect

# Headers that only the router sets; they are never forwarded from callers.
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

IDENTITY = frozenset(
    (b'authorization', b'cookie', b'x-model', b'x-prompt-prefix')
)
"""Headers beside host, target and body that tell requests apart."""

PARTS_MAX = 32
PART_MAX_CHARACTERS = 64
"""Most parts of a prompt that are looked at, and their longest ids. Callers
choose both, and VMs remember parts."""

HANDLE_PATTERN = re.compile(r"[0-9A-Za-z._~%!$&'()*+,;=:@-]{1,1000}")
"""Handles that can be written into a target and a header: characters of one
segment of a path (RFC 3986, 3.3)."""

FENCING_TOKEN = 1
"""Fencing token of every role order: one process on one VM sends all role
orders, at the first start of the system only."""


def read_leaving(text):
    """Return whether a server says that it leaves.

    Examples
    --------
    >>> read_leaving('1'), read_leaving('')
    (True, False)
    """
    return text.strip() == '1'


def read_load(text):
    """Parse a load report of three or four figures into a `LoadReport`.

    Return None if the text is malformed. Work that takes no time is.

    Examples
    --------
    >>> read_load('3,0,8')
    LoadReport(running=3, waiting=0, slots=8, work_percent=None)
    >>> read_load('3,0,8,250').work_percent
    250
    >>> read_load('3,0,8,0') is None
    True
    """
    numbers = _read_numbers(text, 3) or _read_numbers(text, 4)
    if numbers is None or numbers[3:] == (0,):
        return None
    return routing.LoadReport(*numbers)


def read_token_counts(text):
    """Parse the prompt tokens and maximum output tokens of a request.

    Return None if the text is malformed.

    Examples
    --------
    >>> read_token_counts('1460,80')
    (1460, 80)
    >>> read_token_counts('') is None
    True
    """
    return _read_numbers(text, 2)


def read_length_hint(text):
    """Return the output tokens that a caller expects, 0 if malformed.

    Examples
    --------
    >>> read_length_hint('640'), read_length_hint('many')
    (640, 0)
    """
    numbers = _read_numbers(text, 1)
    return numbers[0] if numbers else 0


def read_prompt_parts(text):
    """Return the ids of the parts of a prompt, without malformed ones.

    Examples
    --------
    >>> read_prompt_parts('5c1e07a2:800,91bd3f06:410')
    ('5c1e07a2', '91bd3f06')
    >>> read_prompt_parts('no id,:7,f0:x')
    ()
    """
    parts = []
    for item in text.split(',')[:PARTS_MAX]:
        part, _, count = item.strip().partition(':')
        if (
            0 < len(part) <= PART_MAX_CHARACTERS
            and part.isascii()
            and part.isalnum()
            and count.isdigit()
        ):
            parts.append(part)
    return tuple(parts)


def _read_numbers(text, count):
    parts = text.split(',')
    if len(parts) != count:
        return None
    numbers = tuple(map(core.parse_count, parts))
    return None if None in numbers else numbers


def read_handle(body):
    """Return the KV cache handle in the answer of a prefill, or None.

    Examples
    --------
    >>> read_handle(b'{"handle": "3fa09c41b7d5"}')
    '3fa09c41b7d5'
    >>> read_handle(b'{"handle": "3fa09 41b7d5"}') is None
    True
    """
    try:
        handle = json.loads(body)['handle']
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not isinstance(handle, str) or not HANDLE_PATTERN.fullmatch(handle):
        return None
    return handle


def write_cache_source(host, port, handle):
    """Return the address from which a decode server fetches a KV cache."""
    return f'{host}:{port}/{handle}'.encode()


def make_cache_release(handle):
    """Return the call that frees the KV cache of a handle."""
    return ControlCall(
        method=b'DELETE', target=f'/-/kv-handle/{handle}'.encode()
    )


def make_role_order(role, *, holder):
    """Return the call that orders an engine to change its role."""
    fields = {
        'opcode': 'stage',
        'stage': role,
        'holder': holder,
        'fencingToken': FENCING_TOKEN,
    }
    return ControlCall(
        method=b'POST', target=b'/-/order', body=json.dumps(fields).encode()
    )


def make_dialect():
    """Return the `Dialect` with the platform's header names and calls."""
    return Dialect(
        request_id=b'x-request-attempt-id',
        remaining_ms=b'x-deadline-ms',
        server_signature=b'x-server-seal',
        expected_server=b'x-expect-instance',
        load=b'x-instance-load',
        limit=b'server-limit',
        retry_after=b'retry-after',
        leaving=b'server-leaving',
        not_run=b'x-not-executed',
        resume_after=b'last-event-id',
        resumed_attempt=b'resumes',
        authorization=b'authorization',
        customer=b'x-tenant',
        priority=b'x-request-priority',
        token_counts=b'x-token-count',
        length_hint=b'x-length-hint',
        prompt_parts=b'x-prompt-prefix',
        identity=IDENTITY,
        stage=b'x-serving-stage',
        stage_prefill=b'prefill',
        cache_source=b'x-kv-source',
        router_only=ROUTER_ONLY,
        read_leaving=read_leaving,
        read_load=read_load,
        read_token_counts=read_token_counts,
        read_length_hint=read_length_hint,
        read_prompt_parts=read_prompt_parts,
        read_handle=read_handle,
        write_cache_source=write_cache_source,
        make_cache_release=make_cache_release,
        make_role_order=make_role_order,
    )
