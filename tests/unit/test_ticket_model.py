"""All interleavings of two VMs, two tries, a crash, a stop and a freeze."""

import unittest

from bluebellthread import core
from tests.unit import _ticket_world as worlds


class TestTicketModel(unittest.TestCase):
    def test_no_interleaving_runs_a_call_twice(self):
        # The clock is read before the write as another step, so that a
        # freeze between the two may reach beyond the deadline.
        world = worlds.make_world(
            core.TicketKeeper, longest_pause_ms=worlds.LIFETIME_MS
        )
        found = worlds.search(world)
        print(f'{found.states} states', end=' ')
        self.assertEqual({}, found.faults)
        self.assertGreater(found.states, 100000)

    def test_naive_owner_fails_the_same_search(self):
        found = worlds.search(
            worlds.make_world(worlds.NaiveOwner),
            stop_at=('second run', 'false not run'),
        )
        print(f'{found.states} states, {found.faults}', end=' ')
        self.assertEqual({'second run', 'false not run'}, found.faults.keys())

    def test_pause_before_the_write_longer_than_the_margin(self):
        # The race that remains; docs/TICKETS.md describes it.
        world = worlds.make_world(core.TicketKeeper)
        found = worlds.search(world, stop_at=('second run',))
        steps = found.faults['second run']
        self.assertIn('clock read', steps)
        self.assertIn('time', steps[steps.index('clock read') :])
