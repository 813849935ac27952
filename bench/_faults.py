"""Registry of the faults that a run can inject."""

import trio

from bluebellthread import core

fault_kinds = core.Registry('fault')

STALL_S = 3
"""Duration of a stalled transfer, a slow link or a paused VM."""

SLOW_BYTES_PER_S = 200_000.0
"""Rate of each KV cache transfer while the link is slow."""


@fault_kinds.register('none')
async def inject_nothing(rig):
    """Inject no fault."""


@fault_kinds.register('engine-killed')
async def kill_engine(rig):
    """Kill one decode engine and do not restart it."""
    rig.fleet.process_of(rig.first_decode()).kill()


@fault_kinds.register('transfer-stalled')
async def stall_transfer(rig):
    """Stall the KV cache transfers of one prefill engine for `STALL_S`."""
    await rig.fleet.set_rules(rig.first_proxy(), {'*': {'stall': True}})
    await trio.sleep(STALL_S)
    await rig.fleet.set_rules(rig.first_proxy(), {})


@fault_kinds.register('link-slow')
async def slow_link(rig):
    """Slow the KV cache transfers of one prefill engine for `STALL_S`."""
    rule = {'*': {'bytes_per_s': SLOW_BYTES_PER_S}}
    await rig.fleet.set_rules(rig.first_proxy(), rule)
    await trio.sleep(STALL_S)
    await rig.fleet.set_rules(rig.first_proxy(), {})


@fault_kinds.register('vm-killed')
async def kill_vm(rig):
    """Kill the VM that owns the first pool and do not restart it."""
    rig.owner_process().kill()


@fault_kinds.register('vm-frozen')
async def pause_vm(rig):
    """Pause the process that owns the first pool for `STALL_S`."""
    rig.owner_process().pause()
    await trio.sleep(STALL_S)
    rig.owner_process().resume()


@fault_kinds.register('platform-down')
async def stop_platform(rig):
    """Make the platform unavailable for the rest of the run."""
    await rig.fleet.control('platform', down=True)


PROXIED = ('transfer-stalled', 'link-slow')
"""Faults that need a proxy between prefill and decode engines.

The proxy relays the KV cache that prefill engines export.
"""
