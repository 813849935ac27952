"""Attempts at one request, against a clock that only the tests move."""

import collections
import contextlib
import math
import types
import unittest
from unittest import mock

import trio
import trio.testing

from bluebellthread.entry import _attempt_race
from bluebellthread.entry import _stop_admission

SILENCE_S = 1.0
LONG_S = 60.0


class _ServerError(Exception):
    """Raised by an attempt whose server fails."""


class _Silences:
    """Counts what is told of each server."""

    def __init__(self):
        self.told = collections.Counter()
        self.obstacles = []

    def note_silent(self, work, attempt, obstacle):
        self.told['silent', attempt.waits_for] += 1
        self.obstacles.append(obstacle)

    def note_still_silent(self, attempt):
        pass

    def note_heard(self, work, attempt):
        if attempt.is_silent:
            self.told['heard', attempt.waits_for] += 1

    def note_followed(self, work, attempt):
        self.told['followed', attempt.waits_for] += 1

    def note_overtaken(self, work, attempt, by):
        name = attempt.waits_for or attempt.last_server
        self.told['overtaken', name, by.last_server] += 1

    def note_never_heard(self, work, attempt, obstacle):
        self.told['never heard', attempt.waits_for] += 1

    def is_unreached(self, name):
        return False


class _UnreachedSilences(_Silences):
    """Finds that no server can be connected to."""

    def is_unreached(self, name):
        return True


class _Servers:
    """Servers that follow a script each, asked in turn.

    Parameters
    ----------
    scripts : list of list
        What each server does: waits (a number of seconds, which the attempt
        waits for the server), then ``'accept'``, ``'piece'``, ``'end'`` or
        an error.
    """

    def __init__(self, scripts):
        self._scripts = scripts
        self.asked_s = []
        self.pieces = []
        self.left_s = {}

    async def make(self, attempt):
        """Make one attempt: have the next server answer."""
        number = len(self.asked_s)
        name = f's{number}'
        self.asked_s.append(trio.current_time())
        attempt.send()
        try:
            for step in self._scripts[number]:
                await self._take_step(attempt, name, step)
        finally:
            self.left_s[name] = trio.current_time()

    async def _take_step(self, attempt, name, step):
        if isinstance(step, tuple):
            wait_s, error = step
            with attempt.waiting(name, SILENCE_S):
                await trio.sleep(wait_s)
                raise error
        elif isinstance(step, Exception):
            raise step
        elif step == 'accept':
            attempt.note_accepted()
        elif step in ('piece', 'end'):
            attempt.take()
            self.pieces.append((step, name))
        else:
            with attempt.waiting(name, SILENCE_S):
                await trio.sleep(step)


class AttemptRaceTestCase(unittest.TestCase):
    def setUp(self):
        self.silences = _Silences()
        self.ends_with = []
        self.ending_errors = ()
        self.obstacle = ''
        self.ends_check_s = 0

    def race(self, *scripts, runs_once=False, deadline_s=math.inf):
        """Run a race; return the `_Servers`, its error, and its end in s."""
        servers = _Servers(scripts)

        async def ends_with(error):
            self.ends_with.append(error)
            await trio.sleep(self.ends_check_s)
            return error in self.ending_errors

        async def scenario():
            race = _attempt_race.AttemptRace(
                work=types.SimpleNamespace(
                    request_id='r',
                    run_count=1,
                    may_begin=lambda is_prefilled: True,
                    at_servers=contextlib.nullcontext,
                ),
                silences=self.silences,
                runs_once=runs_once,
                may_overlap=False,
                find_obstacle=lambda attempt: self.obstacle,
                ends_with=ends_with,
                failures=(_ServerError,),
            )
            start_s = trio.current_time()
            tasks_before = trio.lowlevel.current_statistics().tasks_living
            error = None
            with trio.move_on_at(start_s + deadline_s) as scope:
                try:
                    await race.run(servers.make)
                except Exception as raised:
                    error = raised
            if scope.cancelled_caught:
                error = TimeoutError()
            statistics = trio.lowlevel.current_statistics()
            self.assertEqual(tasks_before, statistics.tasks_living)
            self.assertEqual(math.inf, statistics.seconds_to_next_deadline)
            self.assertEqual((), race.attempts)
            self.assertEqual((), race.runs.live)
            servers.asked_s = [s - start_s for s in servers.asked_s]
            servers.left_s = {
                name: round(s - start_s, 3)
                for name, s in servers.left_s.items()
            }
            return error, trio.current_time() - start_s

        clock = trio.testing.MockClock(autojump_threshold=0)
        error, end_s = trio.run(scenario, clock=clock)
        return servers, error, end_s

    def check_told(self, *told):
        self.assertEqual(collections.Counter(told), self.silences.told)


class TestOneAttempt(AttemptRaceTestCase):
    def test_attempt_that_is_never_silent_is_not_followed(self):
        servers, error, end_s = self.race([0.9, 'piece', 0.9, 'end'])
        self.assertIsNone(error)
        self.assertAlmostEqual(1.8, end_s)
        self.assertEqual([0], servers.asked_s)
        self.check_told()

    def test_silent_attempt_is_kept_while_nothing_may_follow(self):
        self.obstacle = 'no budget'
        servers, error, end_s = self.race([LONG_S, 'end'])
        self.assertIsNone(error)
        self.assertAlmostEqual(LONG_S, end_s)
        self.assertEqual([0], servers.asked_s)
        self.assertEqual(['no budget'], self.silences.obstacles)
        self.check_told(('silent', 's0'), ('heard', 's0'))

    def test_sent_attempt_that_runs_once_is_not_followed(self):
        servers, error, _ = self.race([LONG_S, 'end'], runs_once=True)
        self.assertIsNone(error)
        self.assertEqual([0], servers.asked_s)

    def test_error_is_raised(self):
        failure = _ServerError()
        _, error, _ = self.race([0.5, failure])
        self.assertIs(failure, error)
        self.check_told()

    def test_silent_server_that_fails_was_never_heard(self):
        self.obstacle = 'no budget'
        failure = _ServerError()
        _, error, end_s = self.race([(3, failure)])
        self.assertIs(failure, error)
        self.assertAlmostEqual(3, end_s)
        self.check_told(('silent', 's0'), ('never heard', 's0'))

    def test_three_silences_are_told_once_each(self):
        self.obstacle = 'no budget'
        _, error, end_s = self.race(
            [1.6, 'piece', 0.1, 'piece', 1.6, 'piece', 1.6, 'end']
        )
        self.assertIsNone(error)
        self.assertAlmostEqual(4.9, end_s)
        self.assertEqual(
            {('silent', 's0'): 3, ('heard', 's0'): 3}, self.silences.told
        )


class TestFollowers(AttemptRaceTestCase):
    def test_follower_that_has_something_first_goes_on(self):
        servers, error, end_s = self.race(
            [0, 'piece', LONG_S], [0.2, 'accept', 'piece', 0.1, 'end']
        )
        self.assertIsNone(error)
        self.assertAlmostEqual(1.3, end_s)
        self.assertEqual([0, 1], servers.asked_s)
        self.assertEqual({'s0': 1.2, 's1': 1.3}, servers.left_s)
        self.check_told(
            ('silent', 's0'),
            ('followed', 's0'),
            ('overtaken', 's0', 's1'),
        )

    def test_silent_attempt_that_goes_on_first_keeps_the_lead(self):
        servers, error, end_s = self.race(
            [0, 'piece', 1.1, 'piece', 0.5, 'end'], [0.5, 'accept', 'piece']
        )
        self.assertIsNone(error)
        self.assertAlmostEqual(1.6, end_s)
        self.assertEqual({'s0': 1.6, 's1': 1.1}, servers.left_s)
        self.check_told(
            ('silent', 's0'),
            ('heard', 's0'),
            ('followed', 's0'),
            ('overtaken', 's1', 's0'),
        )

    def test_first_goes_on_after_its_follower_failed(self):
        failure = _ServerError()
        servers, error, end_s = self.race([1.2, 'end'], [0.1, failure])
        self.assertIsNone(error)
        self.assertAlmostEqual(1.2, end_s)
        self.assertEqual([failure], self.ends_with)
        self.assertEqual([0, 1], servers.asked_s)

    def test_next_follower_comes_a_pause_after_one_that_failed(self):
        failure = _ServerError()
        servers, error, _ = self.race(
            [LONG_S], [0.1, failure], [0.1, 'accept', 'end']
        )
        self.assertIsNone(error)
        earliest_s = 1.1 + _attempt_race.FOLLOW_PAUSE_S
        self.assertEqual(3, len(servers.asked_s))
        self.assertGreaterEqual(servers.asked_s[2], earliest_s)
        self.assertLessEqual(
            servers.asked_s[2], earliest_s + _attempt_race.FOLLOW_PAUSE_S
        )

    def test_follower_goes_on_after_the_first_failed(self):
        failure = _ServerError()
        servers, error, end_s = self.race([(1.1, failure)], [0.5, 'end'])
        self.assertIsNone(error)
        self.assertAlmostEqual(1.5, end_s)
        self.assertEqual([('end', 's1')], servers.pieces)
        self.check_told(
            ('silent', 's0'), ('followed', 's0'), ('never heard', 's0')
        )

    def test_error_of_the_last_attempt_ends_the_request(self):
        first, last = _ServerError(), _ServerError()
        _, error, end_s = self.race([(1.1, first)], [0.5, last])
        self.assertIs(last, error)
        self.assertAlmostEqual(1.5, end_s)

    def test_error_of_the_first_ends_the_request_after_its_follower(self):
        first, last = _ServerError(), _ServerError()
        _, error, end_s = self.race([(1.4, first)], [0.1, last])
        self.assertIs(first, error)
        self.assertAlmostEqual(1.4, end_s)

    def test_error_with_which_the_request_ends_ends_both_attempts(self):
        failure = _ServerError()
        self.ending_errors = (failure,)
        servers, error, end_s = self.race([LONG_S], [0.1, failure])
        self.assertIs(failure, error)
        self.assertAlmostEqual(1.1, end_s)
        self.assertEqual({'s0': 1.1, 's1': 1.1}, servers.left_s)

    def test_attempt_that_took_the_lead_meanwhile_keeps_the_request(self):
        """The check of a failed attempt takes as long as round trips do."""
        failure = _ServerError()
        self.ending_errors = (failure,)
        self.ends_check_s = 0.2
        servers, error, _ = self.race(
            [1.2, 'piece', 0.5, 'end'], [0.1, failure]
        )
        self.assertIsNone(error)
        self.assertEqual([('piece', 's0'), ('end', 's0')], servers.pieces)

    def test_error_that_comes_with_the_answer_of_another_attempt(self):
        """Trio runs tasks that are due at once in any order."""
        for _ in range(20):
            failure = _ServerError()
            self.ending_errors = (failure,)
            servers, error, _ = self.race(
                [(1.2, failure)], [0.2, 'piece', 0.5, 'end']
            )
            self.assertIsNone(error)
            self.assertEqual([('piece', 's1'), ('end', 's1')], servers.pieces)

    def test_silent_server_is_still_told_once_beside_its_followers(self):
        _, error, _ = self.race(
            [LONG_S, 'end'],
            [0.1, _ServerError()],
            [0.1, _ServerError()],
            [0.1, 'accept', 'end'],
        )
        self.assertIsNone(error)
        self.check_told(
            ('silent', 's0'),
            *[('followed', 's0')] * 3,
            ('overtaken', 's0', 's3'),
        )

    def test_three_servers_are_silent_in_turn(self):
        servers, error, _ = self.race(
            [0, 'piece', LONG_S],
            [0, 'accept', 'piece', LONG_S],
            [0, 'accept', 'piece', LONG_S],
            [0, 'accept', 'piece', 0.1, 'end'],
        )
        self.assertIsNone(error)
        self.assertEqual(
            [('piece', f's{n}') for n in range(4)] + [('end', 's3')],
            servers.pieces,
        )
        self.check_told(
            *[
                told
                for number in range(3)
                for told in (
                    ('silent', f's{number}'),
                    ('followed', f's{number}'),
                    ('overtaken', f's{number}', f's{number + 1}'),
                )
            ]
        )


class TestOverlaps(AttemptRaceTestCase):
    def test_earlier_attempt_ends_some_time_after_a_later_was_sent(self):
        servers, error, _ = self.race(
            [LONG_S], [0.1, 'accept', 0.9, 'piece', 0.1, 'end']
        )
        self.assertIsNone(error)
        self.assertEqual(
            round(1.0 + _attempt_race.OVERLAP_S, 3), servers.left_s['s0']
        )
        self.check_told(
            ('silent', 's0'), ('followed', 's0'), ('overtaken', 's0', 's1')
        )

    def test_earlier_attempt_is_kept_if_the_later_fails_meanwhile(self):
        servers, error, end_s = self.race(
            [2, 'end'], [0.1, 'accept', 0.1, _ServerError()], [LONG_S]
        )
        self.assertIsNone(error)
        self.assertAlmostEqual(2, end_s)
        self.assertEqual([('end', 's0')], servers.pieces)

    def test_later_attempt_ends_if_its_server_is_silent_as_well(self):
        servers, error, end_s = self.race([2, 'end'], [LONG_S], [LONG_S])
        self.assertIsNone(error)
        self.assertAlmostEqual(2, end_s)
        self.assertEqual(
            round(1.0 + _attempt_race.OVERLAP_S, 3), servers.left_s['s1']
        )
        self.assertEqual([('end', 's0')], servers.pieces)

    def test_earlier_attempt_ends_if_its_server_can_not_be_reached(self):
        self.silences = _UnreachedSilences()
        servers, error, _ = self.race([LONG_S], [0.5, 'accept', 'end'])
        self.assertIsNone(error)
        self.assertEqual(
            round(1.0 + _attempt_race.OVERLAP_S, 3), servers.left_s['s0']
        )
        self.assertEqual([('end', 's1')], servers.pieces)

    def test_error_after_the_overlap_is_raised(self):
        failure = _ServerError()
        _, error, end_s = self.race([LONG_S], [0.1, 'accept', 0.5, failure])
        self.assertIs(failure, error)
        self.assertAlmostEqual(1.6, end_s)


class TestEnds(AttemptRaceTestCase):
    def test_deadline_ends_two_attempts(self):
        servers, error, end_s = self.race([LONG_S], [LONG_S], deadline_s=1.2)
        self.assertIsInstance(error, TimeoutError)
        self.assertAlmostEqual(1.2, end_s)
        self.assertEqual({'s0': 1.2, 's1': 1.2}, servers.left_s)
        self.check_told(
            ('silent', 's0'), ('followed', 's0'), ('never heard', 's0')
        )

    def test_deadline_ends_attempts_within_their_overlap(self):
        _, error, end_s = self.race(
            [LONG_S], [0.1, 'accept', LONG_S], deadline_s=1.2
        )
        self.assertIsInstance(error, TimeoutError)
        self.assertAlmostEqual(1.2, end_s)

    def test_bug_in_the_only_attempt_is_raised(self):
        _, error, _ = self.race([0.1, ZeroDivisionError()])
        self.assertIsInstance(error, ZeroDivisionError)

    def test_bug_in_one_attempt_leaves_the_other_and_is_logged(self):
        bug = ZeroDivisionError('a bug')
        for scripts in (
            ([LONG_S], [0.1, bug], [0.1, 'accept', 'end']),
            ([(1.1, bug)], [0.5, 'accept', 'end']),
        ):
            with mock.patch.object(_attempt_race, 'emit') as emit:
                servers, error, _ = self.race(*scripts)
            self.assertIsNone(error)
            self.assertEqual('end', servers.pieces[-1][0])
            emit.assert_called_once()
            self.assertIn('a bug', emit.call_args.kwargs['error'])

    def test_failure_of_one_attempt_is_not_logged_as_a_bug(self):
        with mock.patch.object(_attempt_race, 'emit') as emit:
            self.race([1.2, 'end'], [0.1, _ServerError()])
        emit.assert_not_called()


class TestStops(AttemptRaceTestCase):
    # Guards against requests that end since the attempt beside them comes too
    # late in a stop.
    def test_follower_that_comes_too_late_leaves_the_first_attempt(self):
        servers, error, end_s = self.race(
            [2.2, 'end'],
            *[[_stop_admission.StopTooNearError()]] * 9,
        )
        self.assertIsNone(error)
        self.assertGreater(len(servers.asked_s), 1)
        self.assertEqual([('end', 's0')], servers.pieces)
        self.assertAlmostEqual(2.2, end_s)

    def test_request_ends_with_the_failure_of_the_first_attempt(self):
        failure = _ServerError()
        servers, error, _ = self.race(
            [(2.2, failure)],
            *[[_stop_admission.StopTooNearError()]] * 9,
        )
        self.assertGreater(len(servers.asked_s), 1)
        self.assertIs(failure, error)
