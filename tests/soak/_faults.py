"""Faults that are injected from outside the processes."""

import signal

import trio

from bluebellthread.core import _registry
from standin import _proxy

faults = _registry.Registry('fault')
"""``async`` functions of a `SoakSite`, each of which heals what it did."""


def _choose_vm(site):
    return site.rng.choice(site.vms)


def _choose_backend(site):
    listed = [item for item in site.backends.values() if item.left_s is None]
    return site.rng.choice(listed)


async def _hold(site, least_s=0.3, most_s=2.5):
    await trio.sleep(site.rng.uniform(least_s, most_s))


async def _rule(site, proxy, **rule):
    proxy.set_rules({'*': _proxy.Rule(**rule)})
    try:
        await _hold(site)
    finally:
        proxy.set_rules({})


@faults.register('vm-kill')
async def kill_vm(site):
    """Kill a process; it starts again."""
    _choose_vm(site).signal(signal.SIGKILL)


@faults.register('vm-term')
async def stop_vm(site):
    """Stop a process as planned; it starts again."""
    _choose_vm(site).signal(signal.SIGTERM)


@faults.register('vm-hup')
async def reload_vm(site):
    """Have a process read its settings again."""
    _choose_vm(site).signal(signal.SIGHUP)


@faults.register('vm-pause')
async def pause_vm(site):
    """Stop a process in its tracks and let it go on."""
    vm = _choose_vm(site)
    vm.signal(signal.SIGSTOP)
    try:
        await _hold(site)
    finally:
        vm.signal(signal.SIGCONT)


@faults.register('store-cut')
async def cut_store(site):
    """Cut a VM off from the store."""
    vm = _choose_vm(site)
    vm.disturbed_s = trio.current_time()
    await _rule(site, vm.store_proxy, cut=True)
    vm.disturbed_s = trio.current_time()


@faults.register('store-silent')
async def silence_store(site):
    """Hold back what the store answers one VM."""
    vm = _choose_vm(site)
    vm.disturbed_s = trio.current_time()
    await _rule(site, vm.store_proxy, stall_answers=True)
    vm.disturbed_s = trio.current_time()


@faults.register('store-busy')
async def refuse_at_store(site):
    """Have the store turn all calls away."""
    site.store.refuse_status = site.rng.choice((503, 429))
    site.store.compact()
    try:
        await _hold(site)
    finally:
        site.store.refuse_status = 0
        site.store_disturbed_s = trio.current_time()


@faults.register('store-compact')
async def compact_store(site):
    """Have the store forget its history."""
    site.store_disturbed_s = trio.current_time()
    site.store.compact()


@faults.register('server-reset')
async def reset_server(site):
    """Reset a server's connections and refuse new ones for a while."""
    await _rule(site, _choose_backend(site).proxy, cut=True)


@faults.register('server-silent')
async def silence_server(site):
    """Hold back what a server answers."""
    await _rule(site, _choose_backend(site).proxy, stall_answers=True)


@faults.register('server-deaf')
async def deafen_server(site):
    """Hold back what a server is sent."""
    await _rule(site, _choose_backend(site).proxy, stall=True)


@faults.register('server-late')
async def delay_server(site):
    """Delay each piece to and from a server."""
    proxy = _choose_backend(site).proxy
    await _rule(site, proxy, delay_ms=site.rng.randint(20, 300))


@faults.register('server-replace')
async def replace_server(site):
    """Drain a server and list another in its place."""
    backend = _choose_backend(site)
    kind = backend.server.name.partition('-')[0]
    await site.add_backend(backend.service, kind)
    key = f'servers/{backend.server.name}'
    site.store.put(key, backend.entry(state='draining'))
    backend.left_s = trio.current_time()
    await _hold(site)
    site.store.remove(key)


@faults.register('config-change')
async def change_configuration(site):
    """Publish one to five versions in quick succession."""
    for _ in range(site.rng.randint(1, 5)):
        site.publish()
        await trio.sleep(site.rng.uniform(0.0, 0.2))


@faults.register('config-unreadable')
async def publish_nonsense(site):
    """Publish a configuration that can't be read, then a good one."""
    site.store.put('op/config', b'{"version":')
    await _hold(site, 0.1, 0.5)
    site.publish()
