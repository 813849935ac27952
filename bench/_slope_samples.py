"""Makes sample objects as large as those of a fleet of the target size."""

import json

from bluebellthread import core
from bluebellthread.core import _membership_messages
from bluebellthread import wire

CALLERS = 1300
"""Number of regular callers of a fleet of the target size."""

POOL = core.PoolKey(serves='atelier-llm', data_centre='cluj-a')

POOL_SERVERS = 10
"""Number of backend servers in one pool.

A fleet of the target size has 720 for 15 models in 5 data centres.
"""


def make_request(index, *, hashes=4, caller=None):
    """Return a permit request as a gateway sends it."""
    return core.PermitRequest(
        request_id=f'{index:032x}',
        gateway='cluj-a-17',
        gateway_incarnation=2**61 + index,
        caller=caller or f'caller-{index % CALLERS}',
        pool=POOL,
        prompt_tokens=2000,
        output_tokens=60,
        deadline_ms=60000,
        first_output_deadline_ms=780,
        prefix_hashes=tuple(2**62 + n for n in range(hashes)),
    )


def make_permit(index):
    """Return a permit with names of typical length."""
    return core.Permit(
        permit_id=f'cluj-a-17-{2**61 + 7:x}-{index}',
        request_id=f'{index:032x}',
        gateway='cluj-a-17',
        gateway_incarnation=2**61,
        caller=f'caller-{index % CALLERS}',
        pool=POOL,
        prefill_server='atelier-llm-p1-cluj-a',
        decode_server='atelier-llm-d1-cluj-a',
        prompt_tokens=2000,
        pieces=2,
        deadline_ms=60000,
    )


def make_granted(index):
    """Return the scheduler's answer that grants a permit."""
    return core.PermitGranted(
        permit=make_permit(index),
        scheduler='cluj-a-3',
        scheduler_incarnation=2**61,
    )


def wrap(message):
    """Return a message in an envelope of typical size."""
    return wire.Envelope(
        message=message,
        sender='cluj-a-17',
        sender_incarnation=2**61,
        correlation=12345,
        traceparent='00-' + 'a' * 32 + '-' + 'b' * 16 + '-01',
    )


def request_messages():
    """Return all messages between gateway and scheduler for one request."""
    permit = make_permit(1)
    stages = [
        core.PermitProgressed(
            permit_id=permit.permit_id, pool=POOL, stage=stage
        )
        for stage in ('transferring', 'decoding')
    ]
    released = core.PermitReleased(
        permit_id=permit.permit_id, pool=POOL, clean=True
    )
    return [make_request(1), make_granted(1), *stages, released]


def make_scheduler(options):
    """Return a scheduler that has a load report of each server of its pool.

    The pool has `POOL_SERVERS` backend servers.
    """
    scheduler = core.Scheduler(
        pool=POOL, vm='vm1', incarnation=7, options=options
    )
    servers = tuple(
        core.BackendServer(
            name=f's{number}',
            host='127.0.0.1',
            port=9000 + number,
            data_centre='cluj-a',
            serves='atelier-llm',
            role=core.ROLE_PREFILL if number % 5 < 2 else core.ROLE_DECODE,
        )
        for number in range(POOL_SERVERS)
    )
    scheduler.handle(core.ServersChanged(servers=servers), 0)
    # No gateway holds a permit of an earlier owner.
    scheduler.handle(core.GatewaysChanged(live=()), 0)
    for server in servers:
        report = core.LoadReport(
            server=server.name,
            sequence=1,
            total_pieces=60,
            free_pieces=60,
            received_ms=0,
        )
        scheduler.handle(report, 0)
    return scheduler


def make_configuration(*, servers, exceptions):
    """Return the JSON text of a configuration.

    Parameters
    ----------
    servers : int
        Number of backend servers.
    exceptions : int
        Number of exceptions for single callers.
    """
    value = {
        'revision': 1,
        'regions': [
            {'name': 'r1', 'data_centres': ['a', 'b', 'c']},
            {'name': 'r2', 'data_centres': ['d', 'e']},
        ],
        'models': [{'name': f'model-{n}'} for n in range(15)],
        'backend_servers': [
            {
                'name': f'model-{n % 15}-{n}',
                'host': f'10.{n // 250}.0.{n % 250}',
                'port': 9000,
                'data_centre': 'abcde'[n % 5],
                'serves': f'model-{n % 15}',
                'role': 'prefill' if n % 5 < 2 else 'decode',
            }
            for n in range(servers)
        ],
        'exceptions': [
            {
                'scope': {'caller': f'caller-{n}'},
                'reason': 'files before the cut-off of its council',
                'values': {'priority': 1},
            }
            for n in range(exceptions)
        ],
    }
    return json.dumps(value)


def make_probe():
    """Return a ping and its ack without any membership updates."""
    return _membership_messages.Ping(digest=2**62), _membership_messages.Ack(
        digest=2**62
    )
