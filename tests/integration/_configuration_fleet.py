"""Helpers for fleets of VMs in two data centres that load a configuration.

The first letter of a VM's name is the name of its data centre.
"""

import re

from tests.integration import _fleet

VMS_BY_DATA_CENTRE = {'a': ('a1', 'a2', 'a3'), 'b': ('b1', 'b2')}
HOSTS = {'a': '127.0.1.', 'b': '127.0.2.'}
IN_FORCE = re.compile(r' E3001 configuration revision (\d+) ')
WATCHING = re.compile(r' E3006 VM \S+ (watches|no longer watches) ')
IN_FORCE_LIMIT_S = 9.0
"""Seconds within which a change is guaranteed to be in force at every VM."""

MODELS = 60


def make_configuration(revision):
    """Return a configuration of a given revision with many models.

    The default pace target depends on the revision.
    """
    return {
        'revision': revision,
        'regions': [
            {'name': 'north', 'data_centres': sorted(VMS_BY_DATA_CENTRE)}
        ],
        'models': [{'name': f'model-{number}'} for number in range(MODELS)],
        'defaults': {'pace_target_ms': 40 + revision},
    }


def make_settings(fleet, vm, *, disabled_mechanisms=(), seeds=(), **changes):
    platform = fleet.standins[changes.pop('platform', 'platform')]
    values = {
        'vm': vm,
        'data_centre': vm[0],
        'region': 'north',
        'host': HOSTS[vm[0]] + vm[1:],
        'peer_port': 0,
        'caller_port': 0,
        'platform_addresses': [f'{platform.host}:{platform.port}'],
        'seed_addresses': list(seeds),
        'disabled_mechanisms': list(disabled_mechanisms),
    }
    return values | changes


async def start(
    fleet,
    *,
    vms_by_data_centre=VMS_BY_DATA_CENTRE,
    disabled_mechanisms=(),
    platforms=None,
    proxied=(),
):
    """Start VMs and wait until revision 1 is in force at all of them.

    Parameters
    ----------
    fleet : Fleet
        Fleet in which the VMs start.
    vms_by_data_centre : dict
        Names of the VMs by data centre.
    disabled_mechanisms : tuple of str
        Mechanisms to disable.
    platforms : dict or None
        Name of the proxy to the platform, by data centre; without one, the
        data centre's VMs reach the platform directly.
    proxied : tuple of str
        VMs that others reach through a proxy ``x-NAME``.
    """
    platforms = platforms or {}
    await start_platform(fleet, platforms)
    await fleet.publish_config(make_configuration(1))
    names = [vm for vms in vms_by_data_centre.values() for vm in vms]
    for vm in names:
        await start_vm(
            fleet,
            vm,
            disabled_mechanisms=disabled_mechanisms,
            proxied=vm in proxied,
            platform=platforms.get(vm[0], 'platform'),
        )
    await publish_vms(fleet)
    for vm in names:
        await _fleet.until(
            lambda vm=vm: knows_all(fleet, vm, names), what=f'the view of {vm}'
        )
    await until_in_force(fleet, 1, names)


async def start_platform(fleet, platforms):
    await fleet.start_standins([{'kind': 'platform'}])
    port = fleet.standins['platform'].port
    for name in set(platforms.values()):
        entry = {'kind': 'proxy', 'name': name, 'target_port': port}
        await fleet.start_standins([entry])


async def start_vm(fleet, vm, *, proxied=False, **changes):
    """Start one VM, behind its own proxy if ``proxied`` is true."""
    if proxied:
        host = HOSTS[vm[0]] + vm[1:]
        entry = {'kind': 'proxy', 'name': f'x-{vm}', 'target_host': host}
        await fleet.start_standins([{**entry, 'forwards_udp': True}])
        address = fleet.standins[f'x-{vm}']
        changes['peer_address'] = f'{address.host}:{address.port}'
    daemon = await fleet.start_daemon(make_settings(fleet, vm, **changes))
    if proxied:
        proxy = fleet.standins[f'x-{vm}']
        await fleet.control_proxy(proxy, target_port=daemon.peers.port)
    return daemon


async def publish_vms(fleet):
    listed = []
    for vm, daemon in fleet.daemons.items():
        address = fleet.standins.get(f'x-{vm}', daemon.peers)
        listed.append(
            {
                'name': vm,
                'data_centre': vm[0],
                'region': 'north',
                'host': address.host,
                'peer_port': address.port,
                'caller_port': daemon.callers.port,
                'state': 'live',
            }
        )
    await fleet.post('platform', '/publish_vms', listed)


def knows_all(fleet, vm, names):
    log = fleet.process_of(vm).stderr
    return all(
        re.search(rf' E2003 VM {name} went from \w+ to alive', log)
        for name in names
        if name != vm
    )


def revisions_of(fleet, vm):
    """Return the revisions that came into force at a VM, in order."""
    found = IN_FORCE.findall(fleet.process_of(vm).stderr)
    return [int(number) for number in found]


def is_in_force(fleet, vm, revision):
    return revisions_of(fleet, vm)[-1:] == [revision]


async def until_in_force(
    fleet, revision, names, *, timeout_s=IN_FORCE_LIMIT_S
):
    for vm in names:
        await _fleet.until(
            lambda vm=vm: is_in_force(fleet, vm, revision),
            what=f'revision {revision} at {vm}',
            timeout_s=timeout_s,
        )


def watchers_of(fleet, names):
    """Return the VMs that, by their logs, currently watch the platform."""
    watching = []
    for vm in names:
        states = WATCHING.findall(fleet.process_of(vm).stderr)
        if states[-1:] == ['watches']:
            watching.append(vm)
    return watching


async def count_reads(fleet):
    answer = await fleet.call('GET', fleet.standins['platform'], '/counts')
    return answer.json().get('config', 0)
