"""Crowds of clients that send malformed, unfinished or oversized requests."""

import contextlib

import trio

from tests import _process_memory
from tests.integration import _entry_site
from tests.soak import _site

MB_BYTES = 1024 * 1024

CROWD = 12
"""Clients of one crowd, a few of each manner."""

CROWD_MAX_S = 6.0
BODY_BYTES = 600_000

_HEAD = (
    f'POST /order/crowd HTTP/1.1\r\nHost: {_entry_site.HOST}\r\n'
    'X-Request-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\n'
).encode()
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'

MANNERS = {
    'short chunks, unfinished': _CHUNKED + BODY_BYTES // 2 * b'2\r\ncc\r\n',
    'long chunks, unfinished': _CHUNKED
    + BODY_BYTES // 65536 * (b'10000\r\n' + 65536 * b'c' + b'\r\n'),
    'long chunk extension': _CHUNKED + b'1;' + 15_000 * b'e',
    'blank chunk extension': _CHUNKED + b'1;' + 15_000 * b' ' + b'\n\r\n',
    'many trailers': _CHUNKED + b'0\r\n' + 3900 * b't:\r\n',
    'many headers': _HEAD + 3900 * b'a:\r\n',
    'blank header': _HEAD + b'X-A:' + 15_000 * b' ' + b'\x0b\r\n\r\n',
    'length over the limit': _HEAD
    + b'Content-Length: 1000000000\r\n\r\n'
    + 4 * BODY_BYTES * b'a',
    'unfinished body': _HEAD + b'Content-Length: 9\r\n\r\nbody',
}
"""What the clients send. No request is whole, so none may run."""


def check_memory(site):
    """Return one line for each process that has exceeded its VM's memory."""
    broken = []
    for vm in site.vms:
        if vm.process is None or vm.process.returncode is not None:
            continue
        peak_mb = _process_memory.read_peak_bytes(vm.process.pid) / MB_BYTES
        if peak_mb > _site.MEMORY_MB:
            broken.append(f'{vm.name} has taken {peak_mb:.1f} MB of memory')
    return broken


async def run_crowd(vm, rng):
    """Run one crowd at a VM; it stays until its requests have ended."""
    with trio.move_on_after(CROWD_MAX_S):
        async with trio.open_nursery() as nursery:
            for _ in range(CROWD):
                data = rng.choice(list(MANNERS.values()))
                nursery.start_soon(_run_client, vm, data)


async def _run_client(vm, data):
    # The VM may not run, or end, or refuse the client.
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream(vm.host, vm.ports['front'])
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_send, stream, data)
            while await stream.receive_some(65536):
                pass
            nursery.cancel_scope.cancel()


async def _send(stream, data):
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)
