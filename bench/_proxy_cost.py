"""Measures a daemon's processor time and memory.

The costs are those of an idle daemon, of one request, of one relayed piece
of an answer and of one polled backend server.
"""

import trio

from bench import _client
from bench import _deployments
from bench import _rig
from bench import _workload

IDLE_S = 8.0
"""Time over which an idle fleet is measured."""

REQUESTS = 150
"""Number of requests in each of the two loads (short and long answers)."""

GAP_S = 0.05
"""Seconds between two requests."""

SHORT_PIECES = 1
LONG_PIECES = 101

POLICIES = _rig.Policies(
    prefill_policy='prefix',
    decode_policy='fewest-running',
    queue_policy='fair-early-refusal',
)


async def measure():
    """Measure all costs; return them by name as in ``slopes.json``."""
    small = await _measure_idle(prefill_count=1, decode_count=1)
    large = await _measure_idle(prefill_count=4, decode_count=8)
    load = await _measure_load()
    servers = 12 - 2
    found = {
        'rest_resident_mb': (
            small['resident_mb'],
            'Memory of a daemon at rest.',
        ),
        'rest_processor_ms_per_s': (
            small['idle_ms_per_s'],
            'Processor time of a daemon at rest that owns no pool.',
        ),
        'polled_server_ms_per_s': (
            (large['owner_ms_per_s'] - small['owner_ms_per_s']) / servers,
            'Processor time of a pool owner for each polled backend server.',
        ),
        **load,
    }
    return {
        name: {
            'value': round(value, 3),
            'what': what,
            'command': 'python -m bench proxy-cost',
        }
        for name, (value, what) in found.items()
    }


def _data_centre(prefill_count, decode_count):
    return _deployments.DataCentre(
        name='cluj-a',
        region='transilvania',
        prefill_count=prefill_count,
        decode_count=decode_count,
    )


def _deployment(data_centre):
    return _deployments.Deployment(
        name='papuseria', model='atelier-llm', data_centres=(data_centre,)
    )


async def _with_rig(data_centre, measure_rig):
    rig = _rig.Rig(
        deployment=_deployment(data_centre),
        policies=POLICIES,
        with_proxies=False,
    )
    try:
        async with trio.open_nursery() as nursery:
            await rig.start(nursery)
            result = await measure_rig(rig)
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await rig.close()
    return result


async def _measure_idle(*, prefill_count, decode_count):
    async def measure_rig(rig):
        # Processor time of the start-up must not count as idle cost.
        await trio.sleep(1)
        before = rig.daemon_usage()
        await trio.sleep(IDLE_S)
        after = rig.daemon_usage()
        spent = {
            name: (after[name]['processor_ms'] - before[name]['processor_ms'])
            / IDLE_S
            for name in after
        }
        return {
            'owner_ms_per_s': max(spent.values()),
            'idle_ms_per_s': min(spent.values()),
            'resident_mb': max(use['resident_mb'] for use in after.values()),
        }

    return await _with_rig(
        _data_centre(prefill_count, decode_count), measure_rig
    )


async def _measure_load():
    async def measure_rig(rig):
        short_ms, _ = await _measure_requests(rig, SHORT_PIECES)
        long_ms, _ = await _measure_requests(rig, LONG_PIECES)
        piece_us = (long_ms - short_ms) * 1000 / (LONG_PIECES - SHORT_PIECES)
        request_ms = short_ms - SHORT_PIECES * piece_us / 1000
        return {
            'request_processor_ms': (
                request_ms,
                'Processor time of all daemons for one request of 500 '
                'tokens, without its pieces and what rest costs.',
            ),
            'piece_processor_us': (
                piece_us,
                'Processor time of the daemon for each piece relayed.',
            ),
        }

    return await _with_rig(_data_centre(1, 2), measure_rig)


async def _measure_requests(rig, pieces):
    arrivals = [
        _workload.Arrival(
            offset_s=number * GAP_S,
            request_id=f'cost-{pieces}-{number}',
            caller='caller-001',
            place='cluj-a',
            vm_number=number % _deployments.VMS_PER_DATA_CENTRE,
            prompt=f'{pieces}-{number} '.ljust(2000, 'x'),
            output_tokens=pieces,
        )
        for number in range(REQUESTS)
    ]
    for name in list(rig.fleet.standins):
        if '-d' in name:
            await rig.fleet.control(name, step_ms=2.0, step_ms_per_request=0.0)
    client = _client.Client(addresses=rig.addresses(), model='atelier-llm')
    idle_ms_per_s = await _idle_ms_per_s(rig)
    before = rig.daemon_usage()
    start_s = trio.current_time()
    await client.run(arrivals, grace_s=5)
    elapsed_s = trio.current_time() - start_s
    after = rig.daemon_usage()
    whole = [item for item in client.outcomes if item.state == 'whole']
    if len(whole) != REQUESTS:
        raise RuntimeError(
            f'only {len(whole)} of {REQUESTS} requests were answered in full; '
            'the cost per request needs all of them'
        )
    spent_ms = sum(
        after[name]['processor_ms'] - before[name]['processor_ms']
        for name in after
    )
    return (spent_ms - idle_ms_per_s * elapsed_s) / REQUESTS, elapsed_s


async def _idle_ms_per_s(rig):
    before = rig.daemon_usage()
    await trio.sleep(IDLE_S / 2)
    after = rig.daemon_usage()
    return sum(
        after[name]['processor_ms'] - before[name]['processor_ms']
        for name in after
    ) / (IDLE_S / 2)
