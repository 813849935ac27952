"""Serves requests to plain services, and retries them at other servers."""

import math

import attrs
import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _cut_runs
from bluebellthread.entry import _hand_on
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

SILENCE_FACTOR = 2
"""An idempotent request is retried after this many times its target latency
without an answer: four in five answers of a healthy server have arrived by
half of that time."""

RETRY_TIME_MIN_MS = 60
"""Least time that must be left for a retry: the time of a slow answer."""

REFUSED_RETRY_MS = 150
"""Retry delay sent to callers that full servers refused: the time of several
requests."""

UNAVAILABLE_RETRY_MS = 300
"""Retry delay sent to callers if no server is known or left to try."""


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
        while True:
            shut_out = self._shut_outs.find(work.service, work.parts)
            if shut_out is not None:
                await self._end_shut_out(work, shut_out)
                return
            if self._paths.is_lost(work.service):
                if await self._end_over_other_vm(work):
                    return
                continue
            server = self._choose(progress)
            if server is None:
                await self._end_without_server(progress)
                return
            try:
                admission = await self._caller.admit(server)
            except _server_calls.ServerLimitedError as error:
                progress.note_closed(server.name, error.retry_after_ms)
                continue
            progress.tried.append(server.name)
            result = await self._attempt(progress, server, admission)
            if await self._is_path_lost(server, result):
                continue
            if await self._end_with(progress, result):
                return

    async def _end_with(self, progress, result):
        """End the request with an attempt's result, or return False.

        Parameters
        ----------
        result : Answer or CallFailedError
            What the attempt has brought.
        """
        work = progress.work
        if isinstance(result, _server_calls.ServerLimitedError):
            progress.note_closed(result.server, result.retry_after_ms)
            return False
        is_idempotent = work.route.kind == routing.KIND_IDEMPOTENT
        if isinstance(result, _http_messages.Answer):
            is_final = not (is_idempotent and result.head.status >= 500)
            if is_final or not self._spend_retry(work):
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

    async def _end_over_other_vm(self, work):
        """Have another VM answer the request, or return False to try again."""
        if work.is_handed_on:
            if work.may_have_run_here:
                await work.fail('answer-lost')
            else:
                await work.refuse_hand_on(_http_messages.NO_PATH)
            return True
        try:
            with trio.fail_after(self._hop_timeout_s(work)):
                async with self._hand_on.opened(work) as handed_on:
                    answer = await handed_on.read_answer()
        except _hand_on.NotTakenError:
            if work.may_have_run:
                await work.fail('answer-lost')
            else:
                await work.refuse('no-path', UNAVAILABLE_RETRY_MS)
            return True
        except (_server_calls.CallFailedError, trio.TooSlowError):
            work.note_given_up()
            is_idempotent = work.route.kind == routing.KIND_IDEMPOTENT
            if is_idempotent and self._spend_retry(work):
                return False
            await work.fail('answer-lost')
            return True
        await work.pass_on(answer, outcome='handed-on')
        return True

    def _hop_timeout_s(self, work):
        """Return how long to wait for another VM, which may try twice."""
        return 2 * self._answer_timeout_s(work)

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

    def _choose(self, progress):
        """Return a server for the next attempt, or None."""
        work = progress.work
        directory = self._state.directory
        if self._seen_version != directory.version:
            self._seen_version = directory.version
            self._choice.keep_only(directory.names)
        servers = self._list_open(progress)
        now_ms = _clock.read_clock_ms()
        server = self._choice.choose(servers, now_ms, avoid=progress.tried)
        if server is None and work.route.kind == routing.KIND_IDEMPOTENT:
            server = self._choice.choose(servers, now_ms)
        return server

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

    def _spend_retry(self, work):
        remaining_ms = work.deadline_ms - _clock.read_clock_ms()
        obstacle = ''
        if work.run_count >= work.route.run_max:
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

    async def _attempt(self, progress, server, admission):
        """Return the server's `Answer`, or a `CallFailedError`."""
        work = progress.work
        started_ms = _clock.read_clock_ms()
        self._choice.begin(server)
        work.note_sent(server.name)
        try:
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
        with trio.move_on_after(self._answer_timeout_s(work)):
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
        raise _server_calls.CallFailedError(
            'the server did not answer in time', may_have_run=True
        )

    def _answer_timeout_s(self, work):
        """Return how long to wait for a server's answer.

        Only a wait that is followed by a retry is limited here. The
        request's deadline ends every other wait; the caller then gets the
        answer for a timeout, not the one for a server's lost answer.
        """
        is_last = work.run_count + 1 >= work.route.run_max
        if work.route.kind != routing.KIND_IDEMPOTENT or is_last:
            return math.inf
        silence_s = SILENCE_FACTOR * work.route.target_ms / _clock.MS_PER_S
        return silence_s or math.inf
