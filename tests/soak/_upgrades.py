"""Replaces the VMs of a soak test by those of another build, one by one."""

import signal

import trio

from tests import _checkouts

UPGRADES = {
    'none': ('old',),
    'out': ('old', 'new'),
    'back': ('new', 'old'),
    'both': ('old', 'new', 'old'),
}
"""Builds that all VMs run one after the other, by the name of the upgrade."""

PAUSE_MAX_S = 1.0
"""Longest pause between a VM that takes callers and the next one's stop."""


def list_checkouts(upgrade):
    """Return the checkouts that all VMs run in turn.

    Parameters
    ----------
    upgrade : str
        One of `UPGRADES`.
    """
    old = _checkouts.find_old_build()
    if old is None:
        raise ValueError(
            f'an upgrade needs the folder of an older checkout; set '
            f'{_checkouts.OLD_BUILD_VARIABLE}'
        )
    folders = {'old': old, 'new': _checkouts.ROOT}
    return [folders[name] for name in UPGRADES[upgrade]]


async def replace_all(site, checkouts, rng, log):
    """Replace all VMs, in random order, by each of some checkouts in turn.

    Parameters
    ----------
    site : SoakSite
        The VMs.
    checkouts : iterable of Path
        Folders of the checkouts.
    rng : random.Random
        Source of the order and the pauses.
    log : callable
        Function that is called with each line of progress.
    """
    for checkout in checkouts:
        for vm in rng.sample(site.vms, len(site.vms)):
            await replace(vm, checkout)
            elapsed_s = trio.current_time() - site.begun_s
            log(f'{elapsed_s:6.2f} s  {vm.name} runs {checkout.name}')
            await trio.sleep(rng.uniform(0.0, PAUSE_MAX_S))


async def replace(vm, checkout):
    """Stop a VM and start it from a checkout; return when it takes callers."""
    vm.checkout = checkout
    stopped = None
    while vm.running_checkout != checkout:
        # A fault may have had it restarted from the checkout before.
        if vm.process is not stopped:
            stopped = vm.process
            vm.signal(signal.SIGTERM)
        await trio.sleep(0.05)
    await vm.wait_listening()
