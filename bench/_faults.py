"""Faults that strike in the middle of a run, in a registry."""

import trio

from bluebellthread import core

fault_kinds = core.Registry('fault')

STALL_S = 3
"""How long a stalled transfer, slow link or frozen VM lasts."""

SLOW_BYTES_PER_S = 200_000.0
"""Rate of each transfer while the link is slow."""


@fault_kinds.register('none')
async def strike_nothing(rig):
    """Let the run be."""


@fault_kinds.register('engine-killed')
async def kill_engine(rig):
    """Kill one decode engine for good."""
    rig.fleet.process_of(rig.first_decode()).kill()


@fault_kinds.register('transfer-stalled')
async def stall_transfer(rig):
    """Hold back the KV cache of one prefill engine for a while."""
    await rig.fleet.set_rules(rig.first_proxy(), {'*': {'stall': True}})
    await trio.sleep(STALL_S)
    await rig.fleet.set_rules(rig.first_proxy(), {})


@fault_kinds.register('link-slow')
async def slow_link(rig):
    """Slow the KV cache of one prefill engine for a while."""
    rule = {'*': {'bytes_per_s': SLOW_BYTES_PER_S}}
    await rig.fleet.set_rules(rig.first_proxy(), rule)
    await trio.sleep(STALL_S)
    await rig.fleet.set_rules(rig.first_proxy(), {})


@fault_kinds.register('vm-killed')
async def kill_vm(rig):
    """Kill the VM that schedules the first pool, for good."""
    rig.owner_process().kill()


@fault_kinds.register('vm-frozen')
async def freeze_vm(rig):
    """Stop that VM's process for a while."""
    rig.owner_process().freeze()
    await trio.sleep(STALL_S)
    rig.owner_process().thaw()


@fault_kinds.register('platform-down')
async def stop_platform(rig):
    """Let the platform fail for the rest of the run."""
    await rig.fleet.control('platform', down=True)


PROXIED = ('transfer-stalled', 'link-slow')
"""Faults that need a proxy before the exports of KV cache."""
