"""Measures what silences of engines cost streams and engines.

    python -m bench.silences --streams 24 --repeats 3

Runs entry processes and stand-in engines in one process. Streams arrive
evenly; meanwhile one engine or all of them fall silent for some time, or one
for ever. Prints one JSON line for each case: how the streams ended, the
seconds to the first event and the longest pause between two events of a
stream at percentiles, prompts read in vain, and extra runs.
"""

import argparse
import collections
import itertools
import json
import math

import attrs
from loguru import logger
import trio

from tests.integration import _entry_fleet as fleets

ENGINES = ('p1', 'p2', 'd1', 'd2', 'd3')
DARK_ENGINE = 'd1'
EVENT_COUNT = 20
EVENT_PAUSE_S = 0.1
ARRIVALS_S = 3.0
"""Time within which all streams arrive."""

SILENT_AFTER_S = 1.5
"""When the engines fall silent: half of the streams have arrived."""

PERCENTILES = (50, 95, 100)

CASES = {
    'none': ((), 0.0),
    'one for 1.0 s': ((DARK_ENGINE,), 1.0),
    'all for 1.0 s': (ENGINES, 1.0),
    'one for 1.6 s': ((DARK_ENGINE,), 1.6),
    'all for 1.6 s': (ENGINES, 1.6),
    'one for ever': ((DARK_ENGINE,), math.inf),
}
"""The engines that fall silent in each case, and for how many seconds."""


@attrs.define
class Measures:
    """What the callers of one case have seen.

    Attributes
    ----------
    ends : collections.Counter
        Number of streams by how they ended: ``'whole'``, ``'cut'``, or the
        status of an answer without events.
    first_events_s : list of float
        Seconds to the first event of each stream that has one.
    longest_pauses_s : list of float
        Longest pause between two events of each of these streams.
    vain_prompts : int
        Prefills beyond the first of each whole stream.
    extra_runs : int
        Runs beyond the first of each stream.
    """

    ends: collections.Counter = attrs.field(factory=collections.Counter)
    first_events_s: list = attrs.field(factory=list)
    longest_pauses_s: list = attrs.field(factory=list)
    vain_prompts: int = 0
    extra_runs: int = 0

    def make_report(self):
        """Return the measures by name, rounded."""
        count = sum(self.ends.values())
        return {
            'streams': count,
            'whole_share': round(self.ends['whole'] / count, 3),
            'ends': dict(self.ends),
            'first_event_s': find_percentiles(self.first_events_s),
            'longest_pause_s': find_percentiles(self.longest_pauses_s),
            'vain_prompts': self.vain_prompts,
            'extra_runs': self.extra_runs,
        }


def find_percentiles(values):
    """Return some values by percentile; empty if there are none."""
    ordered = sorted(values)
    return {
        f'p{percentile}': round(
            ordered[math.ceil(percentile * len(ordered) / 100) - 1], 2
        )
        for percentile in PERCENTILES
        if ordered
    }


async def measure_case(measures, engines, silence_s, options):
    """Add what one fleet's callers see while engines are silent."""
    async with fleets.running_fleet(
        vms=options.vms,
        engines=ENGINES,
        repeat_ratio=options.ratio,
        repeat_slack=options.slack,
    ) as fleet:
        for name in ENGINES:
            fleet.servers[name].event_count = EVENT_COUNT
            fleet.servers[name].event_pause_s = EVENT_PAUSE_S
        whole_ids = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_silence, fleet, engines, silence_s)
            for number in range(options.streams):
                vm = 1 + number % options.vms
                nursery.start_soon(
                    _ask, fleet, vm, f'i{number}', measures, whole_ids
                )
                await trio.sleep(ARRIVALS_S / options.streams)
        prefilled_ids = _list_ids(fleet, 'prefills')
        run_ids = _list_ids(fleet, 'runs')
        measures.vain_prompts += len(prefilled_ids) - len(
            whole_ids & set(prefilled_ids)
        )
        measures.extra_runs += len(run_ids) - len(set(run_ids))


def _list_ids(fleet, name):
    """Return the ids of all calls that the engines list under a name."""
    return [
        call.headers['x-request-attempt-id']
        for server in fleet.servers.values()
        for call in getattr(server, name)
    ]


async def _silence(fleet, engines, silence_s):
    await trio.sleep(SILENT_AFTER_S)
    for name in engines:
        fleet.servers[name].fall_silent()
    if silence_s != math.inf:
        await trio.sleep(silence_s)
        for name in engines:
            fleet.servers[name].go_on()


async def _ask(fleet, vm, request_id, measures, whole_ids):
    """Make one stream and add what its caller sees."""
    started_s = trio.current_time()
    async with await fleet.connect(vm) as caller:
        await caller.send('POST', '/ask/x', b'a crack', request_id=request_id)
        status, headers = await caller.read_head()
        if headers.get('transfer-encoding') != 'chunked':
            measures.ends[str(status)] += 1
            return
        times_s = []
        while piece := await caller.read_chunk():
            times_s.append(trio.current_time())
        measures.ends['cut' if piece is None else 'whole'] += 1
        if piece is not None:
            whole_ids.add(request_id)
    if times_s:
        measures.first_events_s.append(times_s[0] - started_s)
        pauses_s = [
            after_s - before_s
            for before_s, after_s in itertools.pairwise(times_s)
        ]
        measures.longest_pauses_s.append(max(pauses_s, default=0.0))


def main():
    """Measure the cases that the command line names."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--streams', type=int, default=24)
    parser.add_argument('--vms', type=int, default=3)
    parser.add_argument('--repeats', type=int, default=3)
    parser.add_argument(
        '--slack', type=int, default=56, help='slack of the retry budget'
    )
    parser.add_argument(
        '--cases', nargs='+', choices=CASES, default=list(CASES)
    )
    parser.add_argument(
        '--ratio', type=float, default=0.2, help='ratio of the retry budget'
    )
    options = parser.parse_args()
    logger.remove()
    for case in options.cases:
        measures = Measures()
        for _ in range(options.repeats):
            trio.run(measure_case, measures, *CASES[case], options)
        print(
            json.dumps({'silent': case, **measures.make_report()}), flush=True
        )


if __name__ == '__main__':
    main()
