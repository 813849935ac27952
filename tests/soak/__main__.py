"""Command line ``python -m tests.soak``: soak tests by seed."""

import argparse
import functools
import pathlib
import secrets
import sys

import trio

from tests.soak import _faults
from tests.soak import _run
from tests.soak import _upgrades

VMS_MAX = 250
"""Each VM has a loopback address of its own in the soak's network of 254."""


def main(arguments=None):
    """Run soak tests one after another; return 1 if a check failed."""
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument(
        '--seed',
        type=int,
        nargs='*',
        help='seeds to run (default: random ones)',
    )
    parser.add_argument(
        '--count', type=int, default=1, help='number of random seeds'
    )
    parser.add_argument('--length-s', type=float, default=20.0)
    parser.add_argument(
        '--vms',
        type=int,
        choices=range(2, VMS_MAX + 1),
        metavar='N',
        help=f'entry processes, 2 to {VMS_MAX} (default: 3 to 6 by the seed)',
    )
    names = _faults.faults.names()
    parser.add_argument(
        '--faults',
        nargs='+',
        default=names,
        choices=names,
        metavar='NAME',
        help='faults to choose from (default: all)',
    )
    parser.add_argument('--logs', help='folder for logs and settings')
    parser.add_argument(
        '--upgrade',
        choices=_upgrades.UPGRADES,
        help='replace the VMs one by one: the old build by this one, this one '
        'by the old build, or both in turn; none: all run the old build',
    )
    parser.add_argument(
        '--repeat',
        choices=names,
        nargs='*',
        default=(),
        metavar='FAULT',
        help='faults to inject again and again beside the random ones',
    )
    options = parser.parse_args(arguments)
    checkouts = (
        _upgrades.list_checkouts(options.upgrade) if options.upgrade else ()
    )
    seeds = options.seed or [
        secrets.randbelow(10**9) for _ in range(options.count)
    ]
    failed = []
    for seed in seeds:
        folder = None
        if options.logs:
            folder = pathlib.Path(options.logs) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        soak = functools.partial(
            _run.run_soak,
            seed,
            length_s=options.length_s,
            vm_count=options.vms,
            folder=folder,
            fault_names=options.faults,
            checkouts=checkouts,
            repeated=options.repeat,
        )
        broken = trio.run(soak)
        for line in broken:
            print(f'  broken: {line}', flush=True)
        if broken:
            failed.append(seed)
    print(f'{len(seeds) - len(failed)} passed, {len(failed)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
