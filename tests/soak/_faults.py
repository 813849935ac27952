"""Registry of the faults that are injected from outside the processes."""

import signal

import trio

from bluebellthread.core import _registry
from standin import _proxy

faults = _registry.Registry('fault')
"""Async functions that take a `SoakSite` and undo their fault at the end."""


def _choose_vm(site):
    return site.rng.choice(site.vms)


def _choose_backend(site):
    listed = [
        item for item in site.backends.values() if item.drained_s is None
    ]
    return site.rng.choice(listed)


async def _sleep_random(site, min_s=0.3, max_s=2.5):
    await trio.sleep(site.rng.uniform(min_s, max_s))


async def _apply_rule(site, proxy, spans, **rule):
    proxy.set_rules({'*': _proxy.Rule(**rule)})
    try:
        with spans.span():
            await _sleep_random(site)
    finally:
        proxy.set_rules({})


@faults.register('vm-kill')
async def kill_vm(site):
    """Kill the process of a VM; it is then restarted."""
    _choose_vm(site).signal(signal.SIGKILL)


@faults.register('vm-term')
async def stop_vm(site):
    """Stop the process of a VM gracefully; it is then restarted."""
    _choose_vm(site).signal(signal.SIGTERM)


@faults.register('vm-hup')
async def reload_vm(site):
    """Make the process of a VM reload its settings."""
    _choose_vm(site).signal(signal.SIGHUP)


@faults.register('vm-pause')
async def pause_vm(site):
    """Pause the process of a VM for a while."""
    with _choose_vm(site).paused():
        await _sleep_random(site)


@faults.register('store-cut')
async def cut_store(site):
    """Reset a VM's connections to the store and refuse new ones."""
    vm = _choose_vm(site)
    await _apply_rule(site, vm.store_proxy, vm.store_faults, cut=True)


@faults.register('store-silent')
async def stall_store_answers(site):
    """Hold back the store's answers to one VM."""
    vm = _choose_vm(site)
    await _apply_rule(
        site, vm.store_proxy, vm.store_faults, stall_answers=True
    )


@faults.register('store-busy')
async def refuse_store_calls(site):
    """Make the store refuse all calls for a while and compact its history."""
    site.store.refuse_status = site.rng.choice((503, 429))
    site.store.compact()
    try:
        with site.store_faults.span():
            await _sleep_random(site)
    finally:
        site.store.refuse_status = 0


@faults.register('store-compact')
async def compact_store(site):
    """Make the store compact its history, so that watches must restart."""
    site.store_faults.note()
    site.store.compact()


@faults.register('server-reset')
async def reset_server(site):
    """Reset a backend server's connections and refuse new ones for a while."""
    backend = _choose_backend(site)
    await _apply_rule(site, backend.proxy, backend.faults, cut=True)


@faults.register('server-silent')
async def stall_server_answers(site):
    """Hold back a backend server's answers for a while."""
    backend = _choose_backend(site)
    await _apply_rule(site, backend.proxy, backend.faults, stall_answers=True)


@faults.register('server-deaf')
async def stall_server(site):
    """Hold back all data to and from a backend server for a while."""
    backend = _choose_backend(site)
    await _apply_rule(site, backend.proxy, backend.faults, stall=True)


@faults.register('server-late')
async def delay_server(site):
    """Delay all data to and from a backend server for a while."""
    backend = _choose_backend(site)
    delay_ms = site.rng.randint(20, 300)
    await _apply_rule(site, backend.proxy, backend.faults, delay_ms=delay_ms)


@faults.register('server-replace')
async def replace_server(site):
    """Replace a backend server: list a new one and drain the old one."""
    backend = _choose_backend(site)
    kind = backend.server.name.partition('-')[0]
    await site.add_backend(backend.service, kind)
    key = f'servers/{backend.server.name}'
    site.store.put(key, backend.entry(state='draining'))
    backend.drained_s = trio.current_time()
    await _sleep_random(site)
    site.store.remove(key)


@faults.register('config-change')
async def change_configuration(site):
    """Publish one to five configuration versions in quick succession."""
    for _ in range(site.rng.randint(1, 5)):
        site.publish()
        await trio.sleep(site.rng.uniform(0.0, 0.2))


@faults.register('config-unreadable')
async def publish_malformed(site):
    """Publish a malformed configuration, then a valid one."""
    site.store.put('op/config', b'{"version":')
    await _sleep_random(site, 0.1, 0.5)
    site.publish()
