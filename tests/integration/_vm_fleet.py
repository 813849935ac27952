"""Helpers for tests of pool owners and streams in fleets of several VMs."""

import json
import time

import attrs
import trio

from bluebellthread import core
import standin
from tests.integration import _fleet
from tests.integration import _small_fleet

POOL = core.PoolKey(serves='atelier-llm', data_centre=_small_fleet.DATA_CENTRE)
VMS = ('vm1', 'vm2', 'vm3')
RECOVERY_LIMIT_S = 2.0
"""Limit on the seconds from the kill of a VM to the next granted permit.

It also limits the time from the kill of a gateway until engine memory is free.
"""

NO_LAG_MS = 0


def find_owner(names=VMS):
    return core.choose_owner(POOL.text(), list(names))


def rank_owners(names=VMS):
    """Return the VMs in the order in which they take over the pool.

    The first is the owner; when it fails, the next takes over.
    """
    return core.rank_by_rendezvous(POOL.text(), list(names))


async def start(
    fleet, *, vms=VMS, disabled_mechanisms=(), engines=None, settings=None
):
    """Start VMs and wait until they know each other and serve requests.

    Parameters
    ----------
    fleet : Fleet
        Fleet in which the VMs start.
    vms : tuple of str
        Names of the VMs.
    disabled_mechanisms : tuple of str
        Mechanisms to disable.
    engines : dict or None
        Settings of the decode engine that override the defaults.
    settings : dict or None
        Settings of the VMs that override the defaults.
    """
    await fleet.start_standins(
        [
            {'kind': 'platform'},
            {'kind': 'engine', 'name': 'p1', 'role': 'prefill'},
            {
                'kind': 'engine',
                'name': 'd1',
                'role': 'decode',
                'step_ms': 20,
                **(engines or {}),
            },
            {'kind': 'service', 'name': 's1'},
        ]
    )
    await fleet.publish_config(_small_fleet.make_configuration(fleet))
    for vm in vms:
        await start_vm(
            fleet,
            vm,
            disabled_mechanisms=disabled_mechanisms,
            **(settings or {}),
        )
    await fleet.publish_vms()
    for vm in vms:
        await _fleet.until(lambda vm=vm: logs_state(fleet, vm, 'alive', vms))
        await _fleet.until(lambda vm=vm: can_answer(fleet, vm))


async def start_vm(fleet, vm, *, disabled_mechanisms=(), **settings):
    platform = fleet.standins['platform']
    address = f'{platform.host}:{platform.port}'
    values = {
        'vm': vm,
        'data_centre': _small_fleet.DATA_CENTRE,
        'region': _small_fleet.REGION,
        'host': '127.0.0.1',
        'peer_port': 0,
        'caller_port': 0,
        'platform_addresses': [address],
        'balancer_lag_ms': 500,
        'disabled_mechanisms': list(disabled_mechanisms),
    }
    return await fleet.start_daemon(values | settings)


def ip_of(vm):
    return f'127.0.0.1{vm.removeprefix("vm")}'


async def start_behind_proxies(fleet, *, vms=VMS, disabled_mechanisms=()):
    """Start VMs, each with its own IP address and behind its own proxy.

    The proxies let tests cut off single VMs.
    """
    await fleet.start_standins(
        [
            {
                'kind': 'proxy',
                'name': f'proxy-{vm}',
                'forwards_udp': True,
                'target_host': ip_of(vm),
            }
            for vm in vms
        ]
    )
    await start(fleet, vms=(), disabled_mechanisms=disabled_mechanisms)
    listed = []
    for vm in vms:
        proxy = fleet.standins[f'proxy-{vm}']
        daemon = await start_vm(
            fleet,
            vm,
            disabled_mechanisms=disabled_mechanisms,
            host=ip_of(vm),
            peer_address=f'{proxy.host}:{proxy.port}',
        )
        await fleet.control_proxy(proxy, target_port=daemon.peers.port)
        listed.append(
            {
                'name': vm,
                'data_centre': _small_fleet.DATA_CENTRE,
                'region': _small_fleet.REGION,
                'host': proxy.host,
                'peer_port': proxy.port,
                'caller_port': daemon.callers.port,
                'state': 'live',
            }
        )
    await fleet.post('platform', '/publish_vms', listed)
    for vm in vms:
        await _fleet.until(lambda vm=vm: logs_state(fleet, vm, 'alive', vms))
        await _fleet.until(lambda vm=vm: can_answer(fleet, vm))


async def cut_off(fleet, vm, *, vms=VMS):
    """Cut the connections of a VM to the other VMs but not to engines."""
    for other in vms:
        rule = {'*' if other == vm else ip_of(vm): {'cut': True}}
        await fleet.set_rules(f'proxy-{other}', rule)


async def heal(fleet, *, vms=VMS):
    for vm in vms:
        await fleet.set_rules(f'proxy-{vm}', {})


def logs_state(fleet, vm, state, names):
    """Return whether a VM's log shows all other VMs in a state.

    Only the last logged state of each VM counts.
    """
    states = {}
    for line in fleet.process_of(vm).stderr.splitlines():
        if ' E2003 ' in line:
            words = line.split(' E2003 VM ')[1].split()
            states[words[0]] = words[-1]
    return all(states.get(name) == state for name in names if name != vm)


async def can_answer(fleet, vm):
    answer = await _small_fleet.complete(fleet, vm, max_tokens=1)
    return answer.status == 200


@attrs.define(kw_only=True)
class Stream:
    """State of a streamed answer that is being read.

    Parameters
    ----------
    texts : list of str
        Pieces received so far.
    ended : bool
        Whether the stream has ended.
    whole : bool
        Whether it ended with the expected complete text.
    """

    texts: list = attrs.field(factory=list)
    ended: bool = False
    whole: bool = False


async def read_stream(fleet, vm, stream, *, tokens, request_id):
    """Read a streamed answer until it ends or fails."""
    body = {
        'model': 'atelier-llm',
        'prompt': _small_fleet.PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    headers = {'x-request-id': request_id}
    address = fleet.daemons[vm].callers
    try:
        async with fleet.open(
            'POST', address, '/v1/completions', body, headers
        ) as response:
            async for event in _fleet.read_events(response):
                stream.texts.append(event['choices'][0]['text'])
    except (OSError, json.JSONDecodeError, KeyError, Exception):
        pass
    expected = standin.expected_answer(_small_fleet.PROMPT, tokens)
    stream.whole = ''.join(stream.texts) == expected
    stream.ended = True


async def start_stream(fleet, nursery, vm, *, tokens, request_id='long'):
    """Start a streamed request and wait for its first piece."""
    stream = Stream()

    async def read():
        await read_stream(
            fleet, vm, stream, tokens=tokens, request_id=request_id
        )

    nursery.start_soon(read)
    await _fleet.until(lambda: stream.texts or stream.ended)
    return stream


async def read_running_ids(fleet, server='d1'):
    return (await fleet.state(server))['running_ids']


async def is_memory_free(fleet):
    return not await read_running_ids(fleet)


async def measure_until(condition, *, what, timeout_s=10):
    """Wait until a condition is true and return the time in seconds."""
    started_s = time.monotonic()
    await _fleet.until(condition, what=what, timeout_s=timeout_s)
    return time.monotonic() - started_s


async def stays_false(condition, *, seconds):
    """Return whether a condition stays false for some seconds."""
    with trio.move_on_after(seconds):
        while not await condition():
            await trio.sleep(_fleet.POLL_S)
        return False
    return True
