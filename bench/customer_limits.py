"""Measure the messages and the state of customers' rate limits.

``python -m bench.customer_limits`` replays requests without a network, encodes
each message, and prints bytes per second and VM and the memory of one VM.
"""

import sys
import tracemalloc
import zlib

from bench import _customer_world as worlds
from bluebellthread.core import routing

VM_COUNT = 390
REQUESTS_PER_S = 3900
GROUP_COUNT = 512
"""As in the entry process."""

MEAN_COST = worlds.STREAM_COST / 3 + worlds.LIMIT.plain_cost * 2 / 3
LENGTH_MS = 20_000


def main():
    """Print one line for each load; return the exit code."""
    print(
        'customers hot requests/s  B/s a VM  B/s an owner  B/s largest owner'
    )
    for customer_count in (16, 1300):
        for hot_count in (0, 1):
            _measure_traffic(customer_count, hot_count)
    for customer_count in (16, 1300):
        print(
            f'{customer_count} customers:',
            f'{_measure_state(customer_count) / 1e6:.1f} MB state of a VM',
        )
    return 0


def _measure_traffic(customer_count, hot_count):
    world = worlds.World(VM_COUNT, measure=True)
    groups = range(GROUP_COUNT)
    world.owners = {group: routing.CustomerAccounts() for group in groups}
    world.owner_of = _find_group
    units_per_s = REQUESTS_PER_S * MEAN_COST / customer_count
    units_per_s = min(units_per_s, 0.6 * worlds.LIMIT.rate_per_s)
    loads = {f'customer-{n:04}': units_per_s for n in range(customer_count)}
    for name in list(loads)[:hot_count]:
        loads[name] = 4.5 * worlds.LIMIT.rate_per_s
    world.run(LENGTH_MS, loads)
    requests = sum(loads.values()) / MEAN_COST
    total = sum(
        size for (kind, _), size in world.sizes.items() if kind == 'vm'
    )
    by_owner = [
        size for (kind, _), size in world.sizes.items() if kind == 'owner'
    ]
    seconds = LENGTH_MS / 1000
    # Each message counts at the VM that sends and the one that receives it.
    print(
        f'{customer_count:9} {hot_count:3} {requests:10.0f}',
        f'{2 * total / VM_COUNT / seconds:9.0f}',
        f'{sum(by_owner) / len(by_owner) / seconds:13.0f}',
        f'{max(by_owner) / seconds:18.0f}',
        f'refused {len(world.refused)}',
    )


def _find_group(vm, name):
    return zlib.crc32(name.encode()) % GROUP_COUNT


def _measure_state(customer_count):
    """Return the bytes of one VM that uses all and owns four groups."""
    names = [f'customer-{n:04}' for n in range(customer_count)]
    owned = [name for name in names if _find_group(0, name) < 4]
    rng = worlds.World(1).rng
    tracemalloc.start()
    accounts = routing.CustomerAccounts()
    credits = routing.CustomerCredits(rng=rng)
    for name in names:
        for now_ms in range(0, worlds.WINDOW_MS, 500):
            credits.admit(name, 200, worlds.LIMIT, 0, now_ms, vm_count=390)
    for name in owned:
        for vm in range(VM_COUNT):
            use = routing.CustomerUse(customer=name, used=10**6 + vm)
            accounts.note(
                f'vm{vm}', 2**60 + vm, use, worlds.LIMIT, 0, vm_count=390
            )
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


if __name__ == '__main__':
    sys.exit(main())
