import collections
import os

from tests.integration import _fleet
from tests.integration import _ticket_faults

SEEDS = range(1, 1 + int(os.environ.get('TICKET_SEEDS', '2')))
TIMEOUT_S = 120


RUNS = ('done', 'not-run', 'unknown', 'no answer')
COLUMNS = ('orders', 'runs', *RUNS, 'not settled')


def print_table(totals):
    print(f'\nattempts by outcome, {len(SEEDS)} seeds')
    for fault in _ticket_faults.FAULTS:
        cells = [f'{name} {totals[fault, name]}' for name in COLUMNS]
        print(f'{fault}: {", ".join(cells)}')
    sums = {
        run: sum(totals[f, run] for f in _ticket_faults.FAULTS) for run in RUNS
    }
    share = sums['unknown'] / sum(sums.values())
    print(f'all: {sums}, unknown {share:.1%} of attempts', end=' ')


class NaiveFleet(_fleet.Fleet):
    def _launch(self, module, option, value, checkout=_fleet.ROOT):
        if module == 'bluebellthread.daemon':
            module = 'tests.integration._naive_daemon'
        return super()._launch(module, option, value, checkout)


class TestTickets(_fleet.FleetTestCase):
    def test_no_fault_runs_an_order_twice(self):
        totals = collections.Counter()
        for seed in SEEDS:
            violations = self.run_seed(_fleet.Fleet, seed, totals)
            self.assertEqual([], violations, f'seed {seed}')
        print_table(totals)

    def test_naive_owner_fails_under_the_same_faults(self):
        violations = self.run_seed(NaiveFleet, 1, collections.Counter())
        kinds = collections.Counter(kind for kind, _, _ in violations)
        print(dict(kinds), end=' ')
        self.assertIn('second run', kinds)

    def run_seed(self, fleet_class, seed, totals):
        print(f'seed {seed}', end=' ')
        found = []

        async def check(fleet):
            workload = _ticket_faults.Workload(fleet, seed)
            await workload.start()
            await workload.run()
            violations, counts = await workload.check_outcomes()
            found.extend(violations)
            totals.update(counts)

        self.run_fleet(check, timeout_s=TIMEOUT_S, fleet_class=fleet_class)
        return found
