"""One soak: faults in series and overlapping, then calm, then checks."""

import random
import tempfile

import trio

from tests.soak import _callers
from tests.soak import _checks
from tests.soak import _faults
from tests.soak import _site

CALLER_COUNT = 12
SETTLE_S = 14.0
"""From the last fault to the requests that have to be served: a planned
stop and a start, and the users' time to recover."""

CALM_S = 4.0


async def run_soak(seed, *, length_s, log=print, folder=None):
    """Run one soak and return what is broken.

    Parameters
    ----------
    seed : int
        Decides the faults and the requests.
    length_s : float
        How long faults are injected.
    folder : str or None
        Where logs and settings are kept; a temporary one by default.
    """
    with tempfile.TemporaryDirectory() as temporary:
        rng = random.Random(seed)
        site = _site.SoakSite(rng=rng, folder=folder or temporary)
        callers = _callers.Callers(site)
        async with trio.open_nursery() as nursery:
            await site.start(nursery)
            await _wait_ready(site)
            for number in range(CALLER_COUNT):
                nursery.start_soon(callers.run_caller, number)
            nursery.start_soon(callers.probe_versions)
            await _inject(site, length_s, log)
            await trio.sleep(SETTLE_S)
            calm_since_s = trio.current_time()
            await trio.sleep(CALM_S)
            callers.is_stopped = True
            await _wait_ended(callers)
            broken = _checks.check(site, callers, calm_since_s)
            log(summarize(seed, callers, broken))
            nursery.cancel_scope.cancel()
    return broken


async def _inject(site, length_s, log):
    """Inject faults that may overlap; return when all are healed."""
    end_s = trio.current_time() + length_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            name = site.rng.choice(_faults.faults.names())
            log(f'{trio.current_time() - end_s + length_s:6.2f} s  {name}')
            nursery.start_soon(_faults.faults.get(name), site)
            await trio.sleep(site.rng.uniform(0.05, 1.5))


async def _wait_ready(site):
    """Wait until each VM takes connections."""
    for vm in site.vms:
        while True:
            try:
                stream = await trio.open_tcp_stream(vm.host, vm.ports['front'])
            except OSError:
                await trio.sleep(0.05)
                continue
            await trio.aclose_forcefully(stream)
            break
    # A VM that listens has still to hear of the others and the servers.
    await trio.sleep(1.5)


async def _wait_ended(callers):
    while any(seen.ended_s is None for seen in callers.seen):
        await trio.sleep(0.05)


def summarize(seed, callers, broken):
    """Return a line that tells how the requests of a soak ended."""
    counts = {}
    for seen in callers.seen:
        key = str(seen.status) if seen.whole else f'{seen.status} cut'
        counts[key] = counts.get(key, 0) + 1
    return f'seed {seed}: {len(callers.seen)} requests {counts}; ' + (
        f'{len(broken)} broken' if broken else 'all promises kept'
    )
