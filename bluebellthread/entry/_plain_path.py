"""Serves requests to plain services, and retries them at other servers."""

import functools

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _attempt_race
from bluebellthread.entry import _cut_runs
from bluebellthread.entry import _hand_on
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _plain_attempts
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _stop_admission
from bluebellthread.entry import _work

RETRY_TIME_MIN_MS = 60
"""Least time that must be left for a retry: the time of a slow answer."""

REFUSED_RETRY_MS = 150
"""Retry delay sent to callers that full servers refused: the time of several
requests."""

UNAVAILABLE_RETRY_MS = 300
"""Retry delay sent to callers if no server is known or left to try."""


class PlainPath:
    """Serves the routes of kind `KIND_IDEMPOTENT` and `KIND_ONCE`.

    Parameters
    ----------
    attempts : PlainAttempts
        Makes the attempts.
    budgets : RetryBudgets
        Limits the retries.
    shut_outs : ShutOuts
        Knows which requests end servers.
    server_watch : ServerWatch
        Finds out which servers end.
    paths : PathWatch
        Knows which services this VM can't reach.
    silences : Silences
        Notes which servers are silent.
    hand_on : HandOn
        Knows which VMs serve requests that were handed on.
    """

    def __init__(
        self,
        *,
        attempts,
        budgets,
        shut_outs,
        server_watch,
        paths,
        silences,
        hand_on,
    ):
        self._attempts = attempts
        self._budgets = budgets
        self._shut_outs = shut_outs
        self._watch = server_watch
        self._paths = paths
        self._silences = silences
        self._hand_on = hand_on

    async def serve(self, work):
        """Answer the request of one `Work`, at its deadline at the latest."""
        with trio.move_on_after(_clock.read_remaining_s(work.deadline_ms)):
            await self._serve(work)
            return
        if not work.exchange.is_started:
            await work.answer_at_deadline()

    async def _serve(self, work):
        self._shut_outs.note_request(work.service, work.parts)
        progress = _plain_attempts.Progress(
            work=work,
            cut_runs=_cut_runs.CutRuns(
                work=work, server_watch=self._watch, shut_outs=self._shut_outs
            ),
        )
        race = _attempt_race.AttemptRace(
            work=work,
            silences=self._silences,
            runs_once=work.route.kind != routing.KIND_IDEMPOTENT,
            may_overlap=True,
            find_obstacle=functools.partial(self._find_obstacle, work),
            ends_with=functools.partial(self._ends_with, progress),
            failures=(
                _plain_attempts.UnansweredError,
                _hand_on.NotTakenError,
            ),
        )
        make = functools.partial(self._attempts.make, progress)
        while True:
            shut_out = self._shut_outs.find(work.service, work.parts)
            if shut_out is not None:
                await self._end_shut_out(work, shut_out)
                return
            if work.is_handed_on and self._paths.is_lost(work.service):
                await self._end_without_path(work)
                return
            try:
                await race.run(make)
                return
            except _hand_on.NotTakenError:
                await self._end_not_taken(work)
                return
            except _stop_admission.StopTooNearError:
                if progress.failure is None:
                    raise
                await work.pass_on(progress.failure)
                return
            except _plain_attempts.UnansweredError as error:
                if await self._end_with(progress, error.result):
                    return

    async def _ends_with(self, progress, error):
        """Note that an attempt failed beside another one.

        Return whether the request itself may be what ends servers.
        """
        if not isinstance(error, _plain_attempts.UnansweredError):
            return False
        if isinstance(error.result, _http_messages.Answer):
            progress.failure = error.result
        return await progress.cut_runs.may_have_ended_servers()

    async def _end_with(self, progress, result):
        """End the request with an attempt's result, or return False.

        Parameters
        ----------
        result : Answer or CallFailedError or None
            What the attempt has brought; None if no server was found.
        """
        work = progress.work
        if result is _plain_attempts.NO_PATH:
            return False
        if result is None:
            await self._end_without_server(progress)
            return True
        if isinstance(result, _plain_attempts.ServersFullError):
            if progress.failure is not None:
                await work.pass_on(progress.failure)
            else:
                await self._give_up(work, result.retry_after_ms)
            return True
        if isinstance(result, _server_calls.ServerLimitedError):
            progress.note_closed(result.server, result.retry_after_ms)
            return False
        is_idempotent = work.route.kind == routing.KIND_IDEMPOTENT
        if isinstance(result, _http_messages.Answer):
            if not self._spend_retry(work):
                await work.pass_on(result)
                return True
            progress.failure = result
            return False
        if (result.may_have_run and not is_idempotent) or (
            await progress.cut_runs.may_have_ended_servers()
        ):
            await work.fail('answer-lost')
            return True
        if not self._spend_retry(work):
            await self._give_up(work)
            return True
        return False

    async def _end_without_path(self, work):
        """End a request of another VM that this one can't serve either."""
        if work.may_have_run_here:
            await work.fail('answer-lost')
        else:
            await work.refuse_hand_on(_http_messages.NO_PATH)

    async def _end_not_taken(self, work):
        """End a request that no other VM takes."""
        if work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse('no-path', UNAVAILABLE_RETRY_MS)

    async def _end_shut_out(self, work, shut_out):
        if work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse_shut_out(shut_out)

    async def _end_without_server(self, progress):
        work = progress.work
        if progress.failure is not None:
            await work.pass_on(progress.failure)
        elif work.may_have_run:
            await work.fail('answer-lost')
        elif progress.closed_until_ms:
            await work.refuse('server-limit', progress.find_wait_ms())
        else:
            await work.refuse('no-server', UNAVAILABLE_RETRY_MS)

    def _find_obstacle(self, work, attempt):
        """Return why no attempt may follow a silent one, or an empty text."""
        if attempt.run.is_sent and work.route.kind != routing.KIND_IDEMPOTENT:
            return _work.RUNS_ONCE
        if self._hand_on.is_served(attempt.waits_for):
            return _work.AT_OTHER_VM
        if not work.has_runs_left:
            return _work.NO_RUNS_LEFT
        if work.deadline_ms - _clock.read_clock_ms() < RETRY_TIME_MIN_MS:
            return _work.NO_TIME
        if not work.may_begin():
            return _work.STOPPING
        if self._shut_outs.find(work.service, work.parts) is not None:
            return _work.SHUT_OUT
        if work.is_handed_on and self._paths.is_lost(work.service):
            return _work.NO_PATH
        if not self._budgets.allows(work.service):
            return _work.NO_BUDGET
        return ''

    def _spend_retry(self, work):
        remaining_ms = work.deadline_ms - _clock.read_clock_ms()
        obstacle = ''
        if not work.has_runs_left:
            obstacle = _work.NO_RUNS_LEFT
        elif remaining_ms < RETRY_TIME_MIN_MS:
            obstacle = _work.NO_TIME
        elif not work.may_begin():
            obstacle = _work.STOPPING
        elif not self._budgets.spend(work.service):
            obstacle = _work.NO_BUDGET
        if obstacle:
            work.log_not_retried(work.last_server, obstacle)
        return not obstacle

    async def _give_up(self, work, retry_after_ms=REFUSED_RETRY_MS):
        if work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse('servers-full', retry_after_ms)
