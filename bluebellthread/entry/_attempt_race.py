"""Makes attempts at one request; a silent one may be followed by another.

An attempt that waits for a silent server is kept while another one is sought.
Whichever has something for the caller first goes on, and the other ends.
"""

import contextlib
import math

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _stop_admission
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import format_error

FOLLOW_PAUSE_S = 0.5
"""Pause after an attempt that could not follow before the next one does: a
retry budget or a server changes little within this time."""

OVERLAP_S = 0.3
"""How long two runs that were sent are kept: a sound server begins its answer
sooner. Two servers may work on one request for no more than 0.4 s by the
users' rules."""


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One attempt at a request, and the server that it waits for.

    Attributes
    ----------
    run : routing.Run
        The attempt as its race sees it.
    is_follower : bool
        Whether it was begun beside a silent one.
    is_paid : bool
        Whether what a follower repeats was taken from the retry budget.
    waits_for : str
        Name of the server that it waits for; empty for none.
    last_server : str
        Name of the server that it has waited for last.
    waits_since_ms : int
        Since when.
    is_silent : bool
        Whether the server has been silent for longer than is usual.
    is_prefilled : bool
        Whether a prefill server has read its prompt.
    is_accepted : bool
        Whether its server has begun to answer.
    is_bounded : bool
        Whether it is kept beside others for a while only.
    """

    race: object
    run: routing.Run
    is_follower: bool
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_paid: bool = False
    waits_for: str = ''
    last_server: str = ''
    waits_since_ms: int = 0
    silence_deadline_s: float = math.inf
    is_silent: bool = False
    work_stack: contextlib.ExitStack = attrs.field(
        factory=contextlib.ExitStack
    )
    is_prefilled: bool = False
    is_accepted: bool = False
    is_bounded: bool = False

    @property
    def silent_ms(self):
        """For how long the server has sent nothing."""
        return _clock.read_clock_ms() - self.waits_since_ms

    @property
    def others(self):
        """The attempts beside this one that have not been overtaken."""
        return self.race.list_others(self)

    @contextlib.contextmanager
    def waiting(self, server, silence_s):
        """Wait for something of a server in the ``with`` body.

        Parameters
        ----------
        server : str
            Name of the server.
        silence_s : float
            Time after which the server counts as silent, so that another
            attempt may follow. The wait itself does not end.
        """
        self.waits_for = self.last_server = server
        self.waits_since_ms = _clock.read_clock_ms()
        self.silence_deadline_s = trio.current_time() + silence_s
        self.race.note_changed()
        try:
            yield
        except BaseException:
            if self.is_silent and not self.run.is_ended:
                self.race.note_never_heard(self)
            raise
        else:
            self.race.note_heard(self)
        finally:
            self.waits_for = ''
            self.silence_deadline_s = math.inf
            self.is_silent = False

    def begin(self):
        """Note that servers are about to work for the attempt.

        Raises
        ------
        StopTooNearError
            If this VM is being stopped too soon for what remains to be done.
        """
        self.race.check_time(self)

    def note_idle(self):
        """Note that no server works for the attempt any more."""
        self.is_prefilled = False
        self.work_stack.close()

    def send(self, *, begins_work=True):
        """Note that the server is about to be asked for the answer.

        Attempts that have not come so far are ended.

        Parameters
        ----------
        begins_work : bool
            Whether the server itself begins the work; another VM has it
            begun later.

        Raises
        ------
        OvertakenError
            If a server works on the answer already and none may beside it.
        StopTooNearError
            If this VM is being stopped too soon for the answer.
        """
        self.begin()
        self.race.end_attempts(self.race.runs.send(self.run), self)
        if begins_work:
            self.race.bound_overlap(self)

    def note_accepted(self):
        """Note that the server has begun to answer."""
        self.is_accepted = True
        self.race.bound_overlap(self)

    def take(self):
        """Note that something is about to be passed on to the caller.

        All other attempts are ended.

        Raises
        ------
        OvertakenError
            If another attempt has passed something on meanwhile.
        """
        self.race.note_taken(self)


class AttemptRace:
    """Makes the attempts at one request.

    Parameters
    ----------
    work : Work
        The request.
    silences : Silences
        Notes the servers that are silent.
    runs_once : bool
        Whether one server at the most may work on the answer.
    may_overlap : bool
        Whether several servers may work on the answer for long.
    find_obstacle : callable
        Takes a silent `Attempt`; returns why no other one may follow it, or
        an empty text.
    ends_with : callable
        ``async``; takes the error of an attempt that failed beside another
        one; returns whether the request ends with it.
    failures : tuple of type
        Errors of attempts that fail. Any other one is a bug.

    Attributes
    ----------
    runs : routing.RunRace
        Decides which attempt goes on.
    """

    def __init__(
        self,
        *,
        work,
        silences,
        runs_once,
        may_overlap,
        find_obstacle,
        ends_with,
        failures,
    ):
        self._work = work
        self._silences = silences
        self._may_overlap = may_overlap
        self._find_obstacle = find_obstacle
        self._ends_with = ends_with
        self._failures = (*failures, _stop_admission.StopTooNearError)
        self.runs = routing.RunRace(runs_once=runs_once)
        self._attempts = {}
        self._changed = trio.Event()
        self._follow_after_s = -math.inf
        self._nursery = None
        self._error = None
        self._is_won = False
        self._take_count = 0

    @property
    def attempts(self):
        """The attempts that are being made, in the order of their begin."""
        return tuple(self._attempts.values())

    def list_others(self, attempt):
        """Return the attempts beside one that have not been overtaken."""
        return tuple(
            item
            for item in self.attempts
            if item is not attempt and item.run in self.runs.live
        )

    async def run(self, make):
        """Make attempts until one has answered the caller.

        Parameters
        ----------
        make : callable
            ``async``; makes one `Attempt` and returns once the caller has
            its answer.

        Raises
        ------
        Exception
            The error of the last attempt, if none has answered.
        """
        self._is_won = False
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._start(make, is_follower=False)
                _tasks.start_joined(nursery, self._watch, make)
            if not self._is_won:
                raise self._error
        finally:
            # Its traceback holds this race, and answers in its frames.
            self._error = None

    def _start(self, make, *, is_follower):
        attempt = Attempt(
            race=self, run=self.runs.begin(), is_follower=is_follower
        )
        self._attempts[id(attempt)] = attempt
        _tasks.start_joined(self._nursery, self._make, make, attempt)

    async def _make(self, make, attempt):
        try:
            with attempt.scope, attempt.work_stack:
                await make(attempt)
                self._is_won = True
                self._nursery.cancel_scope.cancel()
        except routing.OvertakenError:
            # The attempt that has the lead goes on.
            pass
        except Exception as error:
            await self._note_failed(attempt, error)
        finally:
            self.runs.end(attempt.run)
            del self._attempts[id(attempt)]
            self._follow_after_s = trio.current_time() + FOLLOW_PAUSE_S
            self.note_changed()
            if not self._attempts:
                self._nursery.cancel_scope.cancel()

    async def _note_failed(self, attempt, error):
        if self.list_others(attempt) and not isinstance(error, self._failures):
            # The answer of another attempt would hide the bug.
            self._log_bug(error)
        if attempt.run.is_ended:
            # The attempt that has the lead decides how the request ends.
            return
        self._error = error
        self.runs.end(attempt.run)
        take_count = self._take_count
        if (
            self.runs.live
            and await self._ends_with(error)
            and take_count == self._take_count
        ):
            self._error = error
            self._nursery.cancel_scope.cancel()

    def _log_bug(self, error):
        emit(
            events.REQUEST_CRASHED,
            request_id=self._work.request_id,
            error=format_error(error),
        )

    def check_time(self, attempt):
        """Note that servers begin to work for an attempt, if there is time.

        Raises
        ------
        StopTooNearError
            If this VM is being stopped too soon.
        """
        if not self._work.may_begin(is_prefilled=attempt.is_prefilled):
            raise _stop_admission.StopTooNearError
        attempt.work_stack.close()
        attempt.work_stack.enter_context(self._work.at_servers())

    # Silences

    def note_changed(self):
        """Note that an attempt waits for something else."""
        self._changed.set()

    def note_heard(self, attempt):
        """Note that a server has sent what an attempt waits for."""
        self._silences.note_heard(self._work, attempt)

    def note_never_heard(self, attempt):
        """Note that an attempt ends while its server is silent."""
        self._silences.note_never_heard(
            self._work, attempt, self._find_obstacle(attempt)
        )

    async def _watch(self, make):
        """Begin an attempt whenever the only one is silent, if one may."""
        while True:
            await self._wait_silent()
            for attempt in self.attempts:
                if _is_silent(attempt):
                    self._note_silent(attempt)
            if self._is_follower_due():
                self._silences.note_followed(self._work, self.attempts[0])
                self._start(make, is_follower=True)
            await trio.sleep(FOLLOW_PAUSE_S)

    def _note_silent(self, attempt):
        self._silences.note_still_silent(attempt)
        if attempt.is_silent:
            return
        attempt.is_silent = True
        self._silences.note_silent(
            self._work, attempt, self._find_obstacle(attempt)
        )

    async def _wait_silent(self):
        """Wait until some attempt is silent."""
        while True:
            deadline_s = min(
                (item.silence_deadline_s for item in self.attempts),
                default=math.inf,
            )
            if deadline_s == math.inf:
                self._changed = trio.Event()
                await self._changed.wait()
            elif trio.current_time() < deadline_s:
                await trio.sleep_until(deadline_s)
            else:
                return

    def _is_follower_due(self):
        return (
            trio.current_time() >= self._follow_after_s
            and self.runs.may_follow()
            and all(map(_is_silent, self.attempts))
            and not self._find_obstacle(self.attempts[0])
        )

    # Ends

    def note_taken(self, attempt):
        """Note that an attempt passes something on; end all others."""
        self.end_attempts(self.runs.take(attempt.run), attempt)
        self._take_count += 1

    def end_attempts(self, runs, by):
        """End the attempts of some runs for another attempt."""
        for attempt in self.attempts:
            if any(attempt.run is run for run in runs):
                self._silences.note_overtaken(self._work, attempt, by)
                attempt.scope.cancel()

    def bound_overlap(self, attempt):
        """Keep an attempt beside those that were sent before for a while only.

        If none has anything for the caller until then, one goes on.
        """
        if (
            not self._may_overlap
            and not attempt.is_bounded
            and self.list_others(attempt)
        ):
            attempt.is_bounded = True
            _tasks.start_joined(self._nursery, self._end_overlap, attempt)

    async def _end_overlap(self, attempt):
        await trio.sleep(OVERLAP_S)
        earlier = [
            other for other in self.list_others(attempt) if other.run.is_sent
        ]
        if not earlier or attempt.run not in self.runs.live:
            return
        if attempt.is_accepted or all(map(self._is_unreached, earlier)):
            self.end_attempts(self.runs.end_sent_before(attempt.run), attempt)
        else:
            # The later server may be silent, too; the earlier one has been
            # for longer, so it is likely to go on first.
            by = earlier[0]
            self.end_attempts(self.runs.end_sent_after(by.run), by)

    def _is_unreached(self, attempt):
        return self._silences.is_unreached(attempt.waits_for)


def _is_silent(attempt):
    return trio.current_time() >= attempt.silence_deadline_s
