import random
import unittest
import unittest.mock

import trio

from bluebellthread.entry import _platform_calls
from bluebellthread.entry import _platform_follower
from bluebellthread.entry import HistoryLostError
from bluebellthread.observe import events
from tests.unit import _shared_link


def make_follower(step):
    calls = _platform_calls.PlatformCalls(
        vm='vm1', news=unittest.mock.Mock(), rng=random.Random(2)
    )
    return _platform_follower.PlatformFollower(
        name='server list', step=step, calls=calls, rng=random.Random(1)
    )


class TestEra(unittest.TestCase):
    def test_change_of_the_era_is_logged_once_and_reported(self):
        follower = make_follower(None)
        with unittest.mock.patch.object(_platform_follower, 'emit') as emit:
            changed = [follower.note_era(era) for era in (4, 4, 5, 5)]
        self.assertEqual([False, False, True, False], changed)
        emit.assert_called_once_with(
            events.PLATFORM_RESTORED, what='server list', old=4, new=5
        )


class TestPauses(unittest.TestCase):
    def test_whole_reads_that_fail_for_lost_history_pause(self):
        calls = []

        async def step(after):
            calls.append(after)
            await trio.sleep(0.01)
            raise HistoryLostError

        async def follow_for_a_while():
            with trio.move_on_after(10):
                await make_follower(step).run()

        _shared_link.run_simulated(follow_for_a_while)
        self.assertEqual({None}, set(calls))
        # A pause is 0.8 s at most, give or take 30 %.
        self.assertLessEqual(len(calls), 25)
        self.assertGreaterEqual(len(calls), 8)

    def test_whole_read_follows_a_lost_history_at_once(self):
        times = []

        async def step(after):
            times.append((trio.current_time(), after))
            if after is not None:
                raise HistoryLostError
            return 'position'

        async def follow_for_a_while():
            with trio.move_on_after(1):
                await make_follower(step).run()

        _shared_link.run_simulated(follow_for_a_while)
        (_, first), (lost_s, second), (again_s, third) = times[:3]
        self.assertEqual((None, 'position', None), (first, second, third))
        self.assertEqual(lost_s, again_s)


class TestBugs(unittest.TestCase):
    def test_step_that_hits_a_bug_is_repeated(self):
        calls = []

        async def step(after):
            calls.append(after)
            if len(calls) == 2:
                raise ValueError('an entry that nobody foresaw')
            return len(calls)

        async def follow_for_a_while():
            with trio.move_on_after(5):
                await make_follower(step).run()

        _shared_link.run_simulated(follow_for_a_while)
        self.assertEqual([None, 1, None, 3], calls[:4])
