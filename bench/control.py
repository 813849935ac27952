"""Measures the cost of control traffic and the time of recovery.

    python -m bench.control cost --counts 3 9 18 --seconds 20
    python -m bench.control kills --repeats 5

Starts real daemons and stand-ins on loopback addresses. ``cost`` prints one
JSON line per fleet size: messages, bytes and processor time per second and
memory of each idle VM. ``kills`` prints the seconds from the kill of a
scheduler to the next granted permit, and from the kill of a gateway until the
engine memory of its requests is free.
"""

import argparse
import collections
import json
import os
import pathlib
import re
import socket
import statistics
import time

import trio

from tests.integration import _fleet
from tests.integration import _small_fleet
from tests.integration import _vm_fleet

DATA_CENTRES = (
    (_small_fleet.DATA_CENTRE, _small_fleet.REGION),
    ('brasov-b', _small_fleet.REGION),
    ('bucuresti-a', 'muntenia'),
)
SETTLE_S = 12
KIB = 1024
STATSD_LINE = re.compile(r'bluebellthread\.(\w+)\.control\.(\w+):(\d+)\|c')


class Sink:
    """UDP server that sums the statsd counters of control traffic."""

    def __init__(self):
        self._socket = trio.socket.socket(type=socket.SOCK_DGRAM)
        self.sums = collections.Counter()
        self.port = 0

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Receive and sum counters until cancelled."""
        await self._socket.bind(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        task_status.started()
        while True:
            data, _ = await self._socket.recvfrom(65536)
            for match in STATSD_LINE.finditer(data.decode()):
                self.sums[match.group(2)] += int(match.group(3))


def read_cpu_s(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split(') ')[1]
    ticks = sum(map(int, fields.split()[11:13]))
    return ticks / os.sysconf('SC_CLK_TCK')


def read_rss_kib(pid):
    """Return the resident memory of a process in KiB."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') // KIB


def count_lost(fleet, names):
    """Return how often a VM logged that another left the state alive."""
    return sum(
        ' E2003 ' in line and ' to alive' not in line
        for name in names
        for line in fleet.process_of(name).stderr.splitlines()
    )


async def start_fleet(fleet, count, statsd_port):
    """Start daemons spread over the data centres and return their names."""
    await _vm_fleet.start(fleet, vms=())
    names = [f'vm{number}' for number in range(1, count + 1)]
    for index, name in enumerate(names):
        data_centre, region = DATA_CENTRES[index % len(DATA_CENTRES)]
        await _vm_fleet.start_vm(
            fleet,
            name,
            data_centre=data_centre,
            region=region,
            statsd_host='127.0.0.1',
            statsd_port=statsd_port,
        )
    await fleet.publish_vms()
    for name in names:
        await _fleet.until(
            lambda name=name: _vm_fleet.logs_state(
                fleet, name, 'alive', names
            ),
            timeout_s=60,
            what=f'the view of {name}',
        )
    return names


async def measure_cost(fleet, count, seconds):
    """Return the control cost per VM of an idle fleet.

    Parameters
    ----------
    count : int
        Number of VMs.
    seconds : int
        Duration of the measurement.
    """
    sink = Sink()
    async with trio.open_nursery() as nursery:
        await nursery.start(sink.run)
        names = await start_fleet(fleet, count, sink.port)
        await trio.sleep(SETTLE_S)
        pids = [fleet.process_of(name).pid for name in names]
        lost_before = count_lost(fleet, names)
        cpu_before_s = [read_cpu_s(pid) for pid in pids]
        sink.sums.clear()
        started_s = time.monotonic()
        await trio.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        cpu_s = [
            read_cpu_s(pid) - before
            for pid, before in zip(pids, cpu_before_s, strict=True)
        ]
        nursery.cancel_scope.cancel()
    per_vm = count * elapsed_s
    return {
        'vms': count,
        'messages_per_s': round(sink.sums['messages'] / per_vm, 2),
        'bytes_per_s': round(sink.sums['bytes'] / per_vm),
        'cpu_percent_mean': round(100 * sum(cpu_s) / per_vm, 2),
        'cpu_percent_max': round(100 * max(cpu_s) / elapsed_s, 2),
        'rss_mib_mean': round(
            statistics.mean(read_rss_kib(pid) for pid in pids) / KIB, 1
        ),
        'states_lost': count_lost(fleet, names) - lost_before,
    }


async def measure_kills(fleet, kind):
    """Kill one VM and return the recovery time in seconds.

    Parameters
    ----------
    kind : str
        Role of the VM: ``'scheduler'`` or ``'gateway'``.
    """
    await _vm_fleet.start(fleet)
    owner, second, third = _vm_fleet.rank_owners()
    async with trio.open_nursery() as nursery:
        if kind == 'scheduler':
            fleet.process_of(owner).kill()
            return await _vm_fleet.measure_until(
                lambda: _vm_fleet.can_answer(fleet, second), what='a grant'
            )
        await _vm_fleet.start_stream(fleet, nursery, third, tokens=2000)
        fleet.process_of(third).kill()
        return await _vm_fleet.measure_until(
            lambda: _vm_fleet.is_memory_free(fleet), what='free memory'
        )


async def with_fleet(measure, *arguments):
    """Call an async function with a new fleet and return its result."""
    fleet = _fleet.Fleet()
    await fleet.start()
    try:
        return await measure(fleet, *arguments)
    except BaseException:
        print(fleet.read_logs())
        raise
    finally:
        await fleet.close()


def run_cost(options):
    """Print the control cost for each fleet size."""
    for count in options.counts:
        result = trio.run(with_fleet, measure_cost, count, options.seconds)
        print(json.dumps(result), flush=True)


def run_kills(options):
    """Print the recovery times after killing a scheduler and a gateway."""
    for kind in ('scheduler', 'gateway'):
        times_s = [
            round(trio.run(with_fleet, measure_kills, kind), 2)
            for _ in range(options.repeats)
        ]
        print(json.dumps({'killed': kind, 'seconds': times_s}), flush=True)


def main():
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True)
    cost = commands.add_parser('cost', help='control cost of idle VMs')
    cost.add_argument('--counts', type=int, nargs='+', default=[3, 9, 18])
    cost.add_argument('--seconds', type=int, default=20)
    cost.set_defaults(run=run_cost)
    kills = commands.add_parser('kills', help='recovery times')
    kills.add_argument('--repeats', type=int, default=5)
    kills.set_defaults(run=run_kills)
    options = parser.parse_args()
    options.run(options)


if __name__ == '__main__':
    main()
