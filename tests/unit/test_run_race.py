"""Exhaustive search of the decisions between the runs of one request.

It covers all interleavings of up to three runs, of which each may be
refused, fail, or be told too late that another one has the lead.
"""

import copy
import unittest

import attrs

from bluebellthread.core import routing
from tests.unit import _state_search

RUNS_MAX = 3
EVENTS = 2

BEGUN, SENT, ACCEPTED, GONE = range(4)


class _NeverEndsOthers(routing.RunRace):
    """Naive race in which both runs go on."""

    def take(self, run):
        self._check(run)
        return ()


class _UncheckedRace(routing.RunRace):
    """Naive race that relies on ended runs to stop at once."""

    def _check(self, run):
        pass


class _RepeatingRace(routing.RunRace):
    """Naive race that treats all requests as idempotent."""

    def __init__(self, *, runs_once):
        del runs_once
        super().__init__(runs_once=False)


class _CrowdedRace(routing.RunRace):
    """Naive race that begins a run at each silence."""

    def may_follow(self):
        return bool(self._live)


class _ForgetfulRace(routing.RunRace):
    """Naive race that ends a run for one that may have failed meanwhile."""

    def end_sent_before(self, run):
        return self._end(other for other in self._others(run))


class _HastyRace(routing.RunRace):
    """Naive race that drops a run before another one has brought anything."""

    def send(self, run):
        super().send(run)
        return self._end(self._others(run))


@attrs.define(eq=False)
class _ServerRun:
    """One run, and what its server has done.

    Attributes
    ----------
    next_event : int
        Number of the event that the server makes next.
    sent_order : int
        Number of runs sent before it; -1 while it has not been sent.
    may_have_run : bool
        Whether the server may have begun to work on the answer.
    is_overtaken : bool
        Whether another run has passed something on since this one began.
    has_overlapped : bool
        Whether its time beside an earlier run is over.
    has_moved_late : bool
        Whether it has gone on although it was to end.
    """

    run: routing.Run
    stage: int = BEGUN
    next_event: int = 0
    sent_order: int = -1
    may_have_run: bool = False
    is_overtaken: bool = False
    has_overlapped: bool = False
    has_moved_late: bool = False

    @property
    def is_live(self):
        return self.stage != GONE and not self.run.is_ended

    @property
    def is_at_work(self):
        return self.is_live and self.stage in (SENT, ACCEPTED)

    def key(self):
        return (
            *attrs.astuple(self)[1:],
            self.run.is_sent,
            self.run.is_ended,
        )


class _World:
    """One state: the race, the servers' runs, and what the caller has.

    Parameters
    ----------
    watched : str
        The only fault that is reported; empty for any.
    """

    def __init__(self, race_class, *, runs_once, watched=''):
        self.race = race_class(runs_once=runs_once)
        self.runs_once = runs_once
        self.runs = []
        self.received = 0
        self.is_whole = False
        self.watched = watched
        self.found = frozenset()

    def key(self):
        live = self.race.live
        return (
            tuple(item.key() for item in self.runs),
            tuple(i for i, item in enumerate(self.runs) if item.run in live),
            self.received,
            self.is_whole,
            self.found,
        )

    def fault(self):
        if self.watched:
            return self.watched if self.watched in self.found else None
        return min(self.found, default=None)

    def _note(self, fault):
        self.found |= {fault}

    def _check_runs(self):
        if sum(item.is_live for item in self.runs) > 2:
            self._note('three runs at once')
        at_work = sum(item.is_at_work for item in self.runs)
        if self.runs_once and at_work > 1:
            self._note('two at work on one that runs once')

    def successors(self):
        if self.is_whole:
            return
        for label, step, arguments in self._list_steps():
            world = copy.deepcopy(self)
            step(world, *arguments)
            world._check_runs()
            yield label, world

    def _list_steps(self):
        if len(self.runs) < RUNS_MAX and self._may_begin():
            yield 'begin', _World._begin, ()
        for number, item in enumerate(self.runs):
            for step in self._list_steps_of(item):
                name = step.__name__.strip('_')
                yield f'{name} {number}', step, (number,)

    def _may_begin(self):
        if any(item.is_live for item in self.runs):
            return self.race.may_follow()
        # The caller of the race never repeats what may have run.
        return not self.runs_once or not any(
            item.may_have_run for item in self.runs
        )

    @staticmethod
    def _list_steps_of(item):
        if item.stage == GONE:
            return
        if item.run.is_ended:
            yield _World._stop
            if item.has_moved_late:
                return
        else:
            yield _World._fail
        if item.stage == BEGUN:
            yield _World._send
        elif item.stage == SENT and not item.run.is_ended:
            yield _World._refuse
            yield _World._accept
            yield _World._give_way
        elif item.stage == ACCEPTED:
            yield _World._take
            if not item.has_overlapped:
                yield _World._overlap

    # Steps

    def _begin(self):
        self.runs.append(_ServerRun(run=self.race.begin()))

    def _send(self, number):
        item = self.runs[number]
        item.has_moved_late = item.run.is_ended
        try:
            ended = self.race.send(item.run)
        except routing.OvertakenError:
            self._end_itself(item)
            return
        if self.runs_once and any(
            other.may_have_run for other in self.runs if other is not item
        ):
            self._note('sent again though it runs once')
        self._check_ended(ended, lambda other: not other.may_have_run)
        if item.sent_order < 0:
            item.sent_order = sum(other.sent_order >= 0 for other in self.runs)
        item.stage = SENT
        item.may_have_run = True
        item.next_event = self.received + 1

    def _refuse(self, number):
        """Have the server take no request; it may be sent once more."""
        item = self.runs[number]
        item.stage = BEGUN
        item.may_have_run = False

    def _accept(self, number):
        self.runs[number].stage = ACCEPTED

    def _overlap(self, number):
        item = self.runs[number]
        item.has_overlapped = True
        self._check_ended(
            self.race.end_sent_before(item.run),
            lambda other: (
                item.is_live and 0 <= other.sent_order < item.sent_order
            ),
        )

    def _give_way(self, number):
        """End the runs that were sent after one, which goes on."""
        item = self.runs[number]
        self._check_ended(
            self.race.end_sent_after(item.run),
            lambda other: item.is_live and other.sent_order > item.sent_order,
        )

    def _take(self, number):
        item = self.runs[number]
        item.has_moved_late = item.run.is_ended
        try:
            ended = self.race.take(item.run)
        except routing.OvertakenError:
            self._end_itself(item)
            return
        if item.is_overtaken:
            self._note('passed on beside another run')
        for other in self.runs:
            other.is_overtaken |= other is not item
        self._check_ended(ended, lambda other: True)
        if item.next_event > EVENTS:
            self.is_whole = True
        elif item.next_event != self.received + 1:
            self._note('event not in turn')
        else:
            self.received += 1
            item.next_event += 1

    def _fail(self, number):
        self._end_itself(self.runs[number])

    def _stop(self, number):
        self._end_itself(self.runs[number])

    def _end_itself(self, item):
        self.race.end(item.run)
        item.stage = GONE

    def _check_ended(self, ended, is_reason):
        """Check that the race has ended runs for a reason, and not all."""
        for other in self.runs:
            if other.run in ended and not is_reason(other):
                self._note('ended without a reason')
        if ended and not any(item.is_live for item in self.runs):
            self._note('no run is left')


def search(race_class, *, runs_once, watched=''):
    world = _World(race_class, runs_once=runs_once, watched=watched)
    return _state_search.search(world, stop_at=(watched,) if watched else ())


class TestRunRace(unittest.TestCase):
    def check_sound(self, *, runs_once, states):
        found = search(routing.RunRace, runs_once=runs_once)
        print(f'{found.states} states', end=' ')
        self.assertEqual({}, found.faults)
        self.assertGreater(found.states, states)

    def test_no_interleaving_of_idempotent_runs_breaks_an_answer(self):
        self.check_sound(runs_once=False, states=1000)

    def test_no_interleaving_runs_a_request_twice_that_runs_once(self):
        self.check_sound(runs_once=True, states=100)

    def check_naive(self, race_class, fault, *, runs_once=False):
        found = search(race_class, runs_once=runs_once, watched=fault)
        print(found.faults, end=' ')
        self.assertIn(fault, found.faults)

    def test_race_that_lets_both_go_on_passes_on_beside_another(self):
        self.check_naive(_NeverEndsOthers, 'passed on beside another run')

    def test_race_that_does_not_check_passes_on_beside_another(self):
        self.check_naive(_UncheckedRace, 'passed on beside another run')

    def test_race_that_does_not_check_passes_on_out_of_turn(self):
        self.check_naive(_UncheckedRace, 'event not in turn')

    def test_race_that_repeats_has_two_at_work(self):
        self.check_naive(
            _RepeatingRace, 'two at work on one that runs once', runs_once=True
        )

    def test_race_that_repeats_sends_again(self):
        self.check_naive(
            _RepeatingRace, 'sent again though it runs once', runs_once=True
        )

    def test_race_that_counts_no_runs_has_three_at_once(self):
        self.check_naive(_CrowdedRace, 'three runs at once')

    def test_race_that_ends_runs_for_one_that_failed_leaves_none(self):
        self.check_naive(_ForgetfulRace, 'no run is left')

    def test_race_that_drops_runs_early_has_no_reason(self):
        self.check_naive(_HastyRace, 'ended without a reason')
