"""Runs one soak test: overlapping faults, a quiet period, then checks."""

import datetime
import functools
import pathlib
import random
import tempfile

import trio

from tests.soak import _callers
from tests.soak import _checks
from tests.soak import _faults
from tests.soak import _site
from tests.soak import _stop_callers
from tests.soak import _upgrades

CALLERS_MIN = 12
STOP_CALLERS = 2 * len(_stop_callers.MANNERS)
RECOVERY_S = 14.0
"""Seconds between the last fault and the requests that must be served.

This is enough for a graceful stop, a restart and the users' limit for
recovery.
"""

QUIET_S = 4.0
LATENESS_PERIOD_S = 0.2
"""Period and limit of `_log_lateness`: under a tenth of the time in which a
version must be in force, so that shorter delays don't make one late."""


async def run_soak(
    seed,
    *,
    length_s,
    vm_count=None,
    log=print,
    folder=None,
    fault_names=(),
    checkouts=(),
    repeated=(),
):
    """Run one soak test and return one line for each broken guarantee.

    Parameters
    ----------
    seed : int
        Seed of the faults and the requests.
    length_s : float
        Time over which faults are injected.
    vm_count : int or None
        Number of entry processes; a few by the seed by default.
    log : callable
        Function that is called with each line of progress.
    folder : str or None
        Folder for logs and settings; a temporary one by default.
    fault_names : sequence of str
        Names of the faults to choose from, all by default.
    checkouts : sequence of Path
        Folders of the checkouts that all VMs run in turn; they are replaced
        one by one while the faults go on, which may then take longer.
    repeated : iterable of str
        Faults that are injected again and again beside the random ones.
    """
    with tempfile.TemporaryDirectory() as temporary:
        rng = random.Random(seed)
        site = _site.SoakSite(
            rng=rng,
            folder=folder or temporary,
            vm_count=vm_count,
            checkout=checkouts[0] if checkouts else None,
        )
        callers = site.callers = _callers.Callers(site, seed)
        async with trio.open_nursery() as nursery:
            await site.start(nursery)
            await wait_ready(site)
            for number in range(max(CALLERS_MIN, len(site.vms))):
                nursery.start_soon(callers.run_caller, number)
            _stop_callers.start_callers(nursery, callers, seed, STOP_CALLERS)
            for vm in site.vms:
                nursery.start_soon(callers.probe_versions, vm)
            nursery.start_soon(_log_lateness, site, log)
            replace_all = functools.partial(
                _upgrades.replace_all,
                site,
                checkouts[1:],
                random.Random(seed),
                log,
            )
            await _inject(
                site,
                length_s,
                log,
                replace_all=replace_all,
                fault_names=fault_names or _faults.faults.names(),
                repeated=repeated,
            )
            await trio.sleep(RECOVERY_S)
            quiet_since_s = trio.current_time()
            await trio.sleep(QUIET_S)
            callers.is_stopped = True
            await _wait_ended(callers)
            broken = _checks.check(site, callers, quiet_since_s)
            if folder:
                _write_records(folder, callers)
            log(f'seed {seed}: {site.describe()}')
            log(summarize(seed, callers, broken))
            nursery.cancel_scope.cancel()
    return broken


async def _inject(site, length_s, log, *, replace_all, fault_names, repeated):
    """Inject faults that may overlap; return when all have ended.

    They go on until all VMs are replaced.
    """
    site.begun_s = trio.current_time()
    log(f'faults from {datetime.datetime.now(datetime.UTC):%H:%M:%S.%f} on')
    running = []
    replaced = trio.Event()

    async def replace_vms():
        await replace_all()
        replaced.set()

    def is_over():
        has_passed = trio.current_time() >= site.begun_s + length_s
        return has_passed and replaced.is_set()

    async def repeat_fault(name):
        while not is_over():
            await run_fault(name)
            await trio.sleep(site.rng.uniform(0.05, 1.5))

    async def run_fault(name):
        overlapping = ', '.join(running)
        running.append(name)
        elapsed_s = trio.current_time() - site.begun_s
        log(f'{elapsed_s:6.2f} s  {name}, during: {overlapping or "none"}')
        await _faults.faults.get(name)(site)
        running.remove(name)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(replace_vms)
        for name in repeated:
            nursery.start_soon(repeat_fault, name)
        while not is_over():
            name = site.rng.choice(fault_names)
            nursery.start_soon(run_fault, name)
            await trio.sleep(site.rng.uniform(0.05, 1.5))


async def _log_lateness(site, log):
    """Log when the soak itself was late, which also delays the stand-ins.

    It excuses nothing; it shows whether a failure came with such a delay.
    """
    while True:
        due_s = trio.current_time() + LATENESS_PERIOD_S
        await trio.sleep_until(due_s)
        late_s = trio.current_time() - due_s
        if late_s > LATENESS_PERIOD_S:
            elapsed_s = trio.current_time() - site.begun_s
            log(f'{elapsed_s:6.2f} s  the soak was {late_s:.2f} s late')


async def wait_ready(site):
    """Wait until each VM accepts connections and knows the others."""
    for vm in site.vms:
        await vm.wait_listening()
    # A VM that listens may not know the other VMs and the servers yet.
    await trio.sleep(1.5)


async def _wait_ended(callers):
    while any(record.ended_s is None for record in callers.records):
        await trio.sleep(0.05)


def _write_records(folder, callers):
    """Write what callers saw beside the logs, one line for each request."""
    path = pathlib.Path(folder) / 'records.txt'
    with path.open('w', encoding='utf-8') as file:
        file.writelines(f'{record}\n' for record in callers.records)


def summarize(seed, callers, broken):
    """Return one line with the number of requests by status."""
    counts = {}
    for record in callers.records:
        key = str(record.status) if record.whole else f'{record.status} cut'
        counts[key] = counts.get(key, 0) + 1
    resumed = [record for record in callers.records if record.resumes]
    went_on = sum(record.status == 200 for record in resumed)
    return (
        f'seed {seed}: {len(callers.records)} requests {counts}; '
        f'{went_on} of {len(resumed)} streams taken up went on; '
    ) + (f'{len(broken)} broken' if broken else 'all guarantees kept')
