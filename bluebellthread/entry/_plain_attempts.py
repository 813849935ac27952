"""Makes attempts at requests to plain services."""

import math

import attrs
import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _cut_runs
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_exchange
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

SILENCE_FACTOR = 2
"""A server counts as silent after this many times the target latency of an
idempotent request: four in five answers of a healthy server have arrived by
half of that time."""

HOP_SILENCE_FACTOR = 2
"""The other VM seeks another server after a silence, which takes as long."""


class UnansweredError(Exception):
    """Raised when an attempt has brought nothing to end the request with.

    Parameters
    ----------
    result : Answer or CallFailedError or None
        What it has brought instead; None if no server was found.
    """

    def __init__(self, result):
        self.result = result
        super().__init__(str(result))


class ServersFullError(_server_calls.CallFailedError):
    """Raised when no server has a place in the caller's time.

    Nothing was sent.

    Parameters
    ----------
    retry_after_ms : int
        Milliseconds after which a server may have a place.
    """

    def __init__(self, *, retry_after_ms):
        self.retry_after_ms = retry_after_ms
        super().__init__(
            "no server has a place in the caller's time", may_have_run=False
        )


@attrs.define(kw_only=True)
class Progress:
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


NO_PATH = _server_calls.CallFailedError(
    'no server of the service is reached', may_have_run=False
)
"""Result of an attempt whose server is not to blame."""


class PlainAttempts:
    """Makes attempts at the requests of a process.

    Parameters
    ----------
    state : EntryState
        Supplies the list of backend servers.
    caller : ServerCaller
        Makes the calls to them.
    choice : ServerChoices
        Chooses a server for each attempt.
    budgets : RetryBudgets
        Limits the retries.
    limits : ServerLimits
        Knows which servers take no further requests.
    shut_outs : ShutOuts
        Learns which requests servers survive.
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

    async def make(self, progress, attempt):
        """Make one attempt, over another VM if this one has no path.

        Raises
        ------
        UnansweredError
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
            raise UnansweredError(NO_PATH)
        if not is_final(progress.work, result):
            raise UnansweredError(result)
        attempt.take()
        await progress.work.pass_on(result)

    async def _choose_admitted(self, progress, attempt):
        """Return a server for an attempt, and its `Admission`."""
        work = progress.work
        while True:
            servers = self._list_open(progress)
            if await self._waits_for_place(progress, servers):
                continue
            server = self._choose(progress, attempt, servers)
            if server is None:
                raise UnansweredError(None)
            try:
                admission = await self._caller.admit(server)
            except _server_calls.ServerLimitedError as error:
                progress.note_closed(server.name, error.retry_after_ms)
                continue
            if attempt.is_follower and not self._budgets.spend(work.service):
                raise UnansweredError(None)
            return server, admission

    async def _waits_for_place(self, progress, servers):
        """Wait a moment if all servers are full; return whether they are.

        Raises
        ------
        UnansweredError
            If none will have a place in the caller's time.
        """
        verdict = self._choice.judge(
            progress.work,
            [item for item in servers if item.name not in progress.tried],
        )
        if verdict is None:
            return False
        if verdict.is_refused:
            raise UnansweredError(
                ServersFullError(retry_after_ms=verdict.wait_ms)
            )
        await trio.sleep(verdict.wait_ms / _clock.MS_PER_S)
        return True

    async def _is_path_lost(self, server, result):
        """Return whether a server was not reached, nor any other one."""
        return (
            isinstance(result, _server_calls.CallFailedError)
            and result.is_unreached
            and await self._paths.is_confirmed_lost(server)
        )

    async def _attempt_over_other_vm(self, work, attempt):
        """Have another VM answer the request."""
        silence_s = HOP_SILENCE_FACTOR * self._silence_s(work)
        try:
            async with self._hand_on.opened(
                work, attempt=attempt, silence_s=silence_s
            ) as handed_on:
                with attempt.waiting(handed_on.server, silence_s):
                    answer = await handed_on.read_answer(work.exchange.memory)
        except _server_calls.CallFailedError as error:
            raise UnansweredError(error) from error
        if attempt.others and not is_final(work, answer):
            raise UnansweredError(answer)
        attempt.take()
        await work.pass_on(answer, outcome='handed-on')

    def _choose(self, progress, attempt, servers):
        """Return one of the servers for an attempt, or None."""
        work = progress.work
        directory = self._state.directory
        if self._seen_version != directory.version:
            self._seen_version = directory.version
            self._choice.keep_only(directory.names)
        now_ms = _clock.read_clock_ms()
        silent_servers = [other.waits_for for other in attempt.others]
        to_avoid = [
            (*progress.tried, *self._silences.list_avoided()),
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
            if not error.is_blameless:
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
            self._choice.note_success(server, now_ms - started_ms, now_ms)
        else:
            self._choice.note_error(server, now_ms)
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
            work,
            deadline_ms=work.deadline_ms,
            is_retryable=work.route.is_retryable,
            admission=admission,
        )
        try:
            body = await call.exchange.read_all(work.exchange.memory)
        except _server_exchange.AnswerBrokenError as error:
            raise _server_calls.CallFailedError(
                str(error),
                may_have_run=True,
                is_cut=not error.is_without_memory,
                is_blameless=error.is_without_memory,
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


def is_final(work, result):
    """Return whether a result is an answer that no other may replace."""
    return isinstance(result, _http_messages.Answer) and not (
        work.route.kind == routing.KIND_IDEMPOTENT
        and result.head.status >= 500
    )
