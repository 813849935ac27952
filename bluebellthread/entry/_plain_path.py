"""Serves requests to plain services, and retries them at other servers."""

import functools
import math

import attrs
import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _attempt_race
from bluebellthread.entry import _cut_runs
from bluebellthread.entry import _hand_on
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

SILENCE_FACTOR = 2
"""A server counts as silent after this many times the target latency of an
idempotent request: four in five answers of a healthy server have arrived by
half of that time."""

HOP_SILENCE_FACTOR = 2
"""The other VM seeks another server after a silence, which takes as long."""

RETRY_TIME_MIN_MS = 60
"""Least time that must be left for a retry: the time of a slow answer."""

REFUSED_RETRY_MS = 150
"""Retry delay sent to callers that full servers refused: the time of several
requests."""

UNAVAILABLE_RETRY_MS = 300
"""Retry delay sent to callers if no server is known or left to try."""


class _UnansweredError(Exception):
    """Raised when an attempt has brought nothing to end the request with.

    Parameters
    ----------
    result : Answer or CallFailedError or None
        What it has brought instead; None if no server was found.
    """

    def __init__(self, result):
        self.result = result
        super().__init__(str(result))


@attrs.define(kw_only=True)
class _Progress:
    """What has been tried for one request.

    Parameters
    ----------
    work : Work
        The request.
    cut_runs : CutRuns
        Its runs that broke.
    tried : list of str
        Servers that it was sent to.
    closed_until_ms : dict of str to int
        Servers whose limits leave no place, and until when.
    failure : Answer or None
        The last failure that a server has answered with.
    """

    work: _work.Work
    cut_runs: _cut_runs.CutRuns
    tried: list = attrs.field(factory=list)
    closed_until_ms: dict = attrs.field(factory=dict)
    failure: object = None

    def note_closed(self, server, wait_ms):
        """Note that a server's limit leaves no place for some time."""
        self.closed_until_ms[server] = _clock.read_clock_ms() + wait_ms

    def find_wait_ms(self):
        """Return how long until one of these servers may have a place."""
        until_ms = min(self.closed_until_ms.values())
        return max(1, until_ms - _clock.read_clock_ms())


_NO_PATH = _server_calls.CallFailedError(
    'no server of the service is reached', may_have_run=False
)
"""Result of an attempt whose server is not to blame."""


class PlainPath:
    """Serves the routes of kind `KIND_IDEMPOTENT` and `KIND_ONCE`.

    Parameters
    ----------
    state : EntryState
        Supplies the list of backend servers.
    caller : ServerCaller
        Makes the calls to them.
    choice : ServerChoice
        Chooses a server for each attempt.
    budgets : RetryBudgets
        Limits the retries.
    limits : ServerLimits
        Knows which servers take no further requests.
    shut_outs : ShutOuts
        Knows which requests end servers.
    server_watch : ServerWatch
        Finds out which servers end.
    paths : PathWatch
        Knows which services this VM can't reach.
    silences : Silences
        Knows which servers are silent.
    hand_on : HandOn
        Hands requests on to VMs that can.
    dialect : Dialect
        Header names of the platform.
    """

    def __init__(
        self,
        *,
        state,
        caller,
        choice,
        budgets,
        limits,
        shut_outs,
        server_watch,
        paths,
        silences,
        hand_on,
        dialect,
    ):
        self._state = state
        self._caller = caller
        self._choice = choice
        self._budgets = budgets
        self._limits = limits
        self._shut_outs = shut_outs
        self._watch = server_watch
        self._paths = paths
        self._silences = silences
        self._hand_on = hand_on
        self._dialect = dialect
        self._seen_version = None

    async def serve(self, work):
        """Answer the request of one `Work`, at its deadline at the latest."""
        with trio.move_on_after(_clock.read_remaining_s(work.deadline_ms)):
            await self._serve(work)
            return
        if not work.exchange.is_started:
            await work.answer_at_deadline()

    async def _serve(self, work):
        self._shut_outs.note_request(work.service, work.parts)
        progress = _Progress(
            work=work,
            cut_runs=_cut_runs.CutRuns(
                work=work, server_watch=self._watch, shut_outs=self._shut_outs
            ),
        )
        race = _attempt_race.AttemptRace(
            work=work,
            silences=self._silences,
            runs_once=work.route.kind != routing.KIND_IDEMPOTENT,
            find_obstacle=functools.partial(self._find_obstacle, work),
            ends_with=functools.partial(self._ends_with, progress),
            failures=(_UnansweredError, _hand_on.NotTakenError),
        )
        while True:
            shut_out = self._shut_outs.find(work.service, work.parts)
            if shut_out is not None:
                await self._end_shut_out(work, shut_out)
                return
            if work.is_handed_on and self._paths.is_lost(work.service):
                await self._end_without_path(work)
                return
            try:
                await race.run(functools.partial(self._make_attempt, progress))
                return
            except _hand_on.NotTakenError:
                await self._end_not_taken(work)
                return
            except _UnansweredError as error:
                if await self._end_with(progress, error.result):
                    return

    async def _make_attempt(self, progress, attempt):
        """Make one attempt, over another VM if this one has no path.

        Raises
        ------
        _UnansweredError
            If it brings no answer to end the request with.
        NotTakenError
            If no other VM takes the request.
        OvertakenError
            If another attempt goes on.
        """
        if self._paths.is_lost(progress.work.service):
            await self._attempt_over_other_vm(progress.work, attempt)
            return
        server, admission = await self._choose_admitted(progress, attempt)
        progress.tried.append(server.name)
        result = await self._attempt(progress, attempt, server, admission)
        if await self._is_path_lost(server, result):
            raise _UnansweredError(_NO_PATH)
        if not self._is_final(progress.work, result):
            raise _UnansweredError(result)
        attempt.take()
        await progress.work.pass_on(result)

    async def _choose_admitted(self, progress, attempt):
        """Return a server for an attempt, and its `Admission`."""
        work = progress.work
        while True:
            server = self._choose(progress, attempt)
            if server is None:
                raise _UnansweredError(None)
            try:
                admission = await self._caller.admit(server)
            except _server_calls.ServerLimitedError as error:
                progress.note_closed(server.name, error.retry_after_ms)
                continue
            if attempt.is_follower and not self._budgets.spend(work.service):
                raise _UnansweredError(None)
            return server, admission

    @staticmethod
    def _is_final(work, result):
        """Return whether a result is an answer that no other may replace."""
        return isinstance(result, _http_messages.Answer) and not (
            work.route.kind == routing.KIND_IDEMPOTENT
            and result.head.status >= 500
        )

    async def _ends_with(self, progress, error):
        """Note that an attempt failed beside another one.

        Return whether the request itself may be what ends servers.
        """
        if not isinstance(error, _UnansweredError):
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
        if result is _NO_PATH:
            return False
        if result is None:
            await self._end_without_server(progress)
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

    async def _is_path_lost(self, server, result):
        """Return whether a server was not reached, nor any other one."""
        return (
            isinstance(result, _server_calls.CallFailedError)
            and result.is_unreached
            and await self._paths.is_confirmed_lost(server)
        )

    async def _attempt_over_other_vm(self, work, attempt):
        """Have another VM answer the request."""
        if attempt.is_follower and not self._budgets.spend(work.service):
            raise _UnansweredError(None)
        silence_s = HOP_SILENCE_FACTOR * self._silence_s(work)
        try:
            async with self._hand_on.opened(
                work, attempt=attempt, silence_s=silence_s
            ) as handed_on:
                with attempt.waiting(handed_on.server, silence_s):
                    answer = await handed_on.read_answer()
        except _server_calls.CallFailedError as error:
            raise _UnansweredError(error) from error
        if attempt.others and not self._is_final(work, answer):
            raise _UnansweredError(answer)
        attempt.take()
        await work.pass_on(answer, outcome='handed-on')

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

    def _choose(self, progress, attempt):
        """Return a server for an attempt, or None."""
        work = progress.work
        directory = self._state.directory
        if self._seen_version != directory.version:
            self._seen_version = directory.version
            self._choice.keep_only(directory.names)
        servers = self._list_open(progress)
        now_ms = _clock.read_clock_ms()
        silent_servers = [other.waits_for for other in attempt.others]
        to_avoid = [
            (*progress.tried, *self._silences.list_silent()),
            progress.tried,
        ]
        if work.route.kind == routing.KIND_IDEMPOTENT:
            to_avoid.append(silent_servers)
        for avoid in to_avoid:
            server = self._choice.choose(servers, now_ms, avoid=avoid)
            if server is not None:
                return server
        return None

    def _list_open(self, progress):
        """Return the servers whose limits leave a place, as far as known."""
        servers = []
        for server in self._state.directory.usable(progress.work.service):
            if server.name in progress.closed_until_ms:
                continue
            wait_ms = self._limits.find_wait_ms(server)
            if wait_ms:
                progress.note_closed(server.name, wait_ms)
                self._limits.note_turned_away(server)
            else:
                servers.append(server)
        return servers

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
        elif not self._budgets.spend(work.service):
            obstacle = _work.NO_BUDGET
        if obstacle:
            work.log_not_retried(work.last_server, obstacle)
        return not obstacle

    async def _give_up(self, work):
        if work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse('servers-full', REFUSED_RETRY_MS)

    async def _attempt(self, progress, attempt, server, admission):
        """Return the server's `Answer`, or a `CallFailedError`."""
        work = progress.work
        started_ms = _clock.read_clock_ms()
        attempt.send()
        self._choice.begin(server)
        try:
            with (
                work.sending(server.name),
                attempt.waiting(server.name, self._silence_s(work)),
            ):
                answer = await self._run(progress, server, admission)
        except _server_calls.CallFailedError as error:
            now_ms = _clock.read_clock_ms()
            if not isinstance(error, _server_calls.ServerLimitedError):
                self._choice.note_failure(server, now_ms)
            work.note_failed(
                server.name, _work.STAGE_RUN, error, started_ms=started_ms
            )
            return error
        finally:
            self._choice.end(server)
        now_ms = _clock.read_clock_ms()
        load = self._dialect.read_load(answer.head.header(self._dialect.load))
        self._choice.note_load(server, load, now_ms)
        work.note_run()
        if answer.head.status < 500:
            self._choice.note_success(server, now_ms - started_ms)
        else:
            emit(
                events.SERVER_FAILED_REQUEST,
                request_id=work.request_id,
                server=server.name,
                status=answer.head.status,
                took_ms=now_ms - started_ms,
            )
        return answer

    async def _run(self, progress, server, admission):
        """Return the server's `Answer`; note if the server has survived."""
        work = progress.work
        with self._watch.track(server, work.request_id, work.parts) as run:
            try:
                answer, framing = await self._call(work, server, admission)
            except _server_calls.CallFailedError as error:
                run.is_cut = error.is_cut
                if run.is_cut:
                    progress.cut_runs.add(run)
                raise
            # An answer that ends with its connection may be the last one of a
            # server that ended.
            run.has_survived = framing != core.FRAMED_BY_CONNECTION
        if run.has_survived:
            self._shut_outs.note_survived(
                work.service, work.parts, server.software_version
            )
        return answer

    async def _call(self, work, server, admission):
        """Return the server's `Answer`, and what marks its end."""
        call = await self._caller.open(
            server,
            work.request,
            deadline_ms=work.deadline_ms,
            is_retryable=work.route.is_retryable,
            admission=admission,
        )
        try:
            body = await call.exchange.read_all()
        except _server_connection.AnswerBrokenError as error:
            raise _server_calls.CallFailedError(
                str(error), may_have_run=True, is_cut=True
            ) from error
        finally:
            await call.close()
        work.check_answer(call.head)
        answer = _http_messages.Answer(head=call.head, body=body)
        return answer, call.exchange.framing

    @staticmethod
    def _silence_s(work):
        """Return the time after which a server counts as silent.

        Nothing may follow a request that runs once, however long it takes.
        """
        if work.route.kind != routing.KIND_IDEMPOTENT:
            return math.inf
        silence_s = SILENCE_FACTOR * work.route.target_ms / _clock.MS_PER_S
        return silence_s or math.inf
