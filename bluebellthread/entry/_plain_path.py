"""Requests to plain services: one server after another, within limits."""

import math

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

SILENCE_FACTOR = 2
"""A repeatable request is sent again after this many times its target:
four in five answers of a sound server have come by half of it."""

SEND_AGAIN_MIN_MS = 60
"""Least time left for another try, the time of a slow answer."""

REFUSED_RETRY_MS = 150
"""Told to callers that full servers refused: several requests' work."""

UNAVAILABLE_RETRY_MS = 300
"""Told to callers where no server is known or reachable."""


class PlainPath:
    """Serves routes of the kinds repeatable and once.

    Parameters
    ----------
    state : EntryState
    caller : ServerCaller
    choice : ServerChoice
    budgets : RepeatBudgets
    dialect : Dialect
    """

    def __init__(self, *, state, caller, choice, budgets, dialect):
        self._state = state
        self._caller = caller
        self._choice = choice
        self._budgets = budgets
        self._dialect = dialect
        self._seen_version = None

    async def serve(self, work):
        """Answer one `Work`."""
        with trio.move_on_after(_clock.read_remaining_s(work.deadline_ms)):
            await self._serve(work)
            return
        if not work.exchange.is_started:
            await work.end_late()

    async def _serve(self, work):
        repeats = work.route.kind == routing.KIND_REPEATABLE
        tried = []
        while True:
            server = self._choose(work, tried)
            if server is None:
                await work.refuse('no-server', UNAVAILABLE_RETRY_MS)
                return
            tried.append(server.name)
            answer = await self._try(work, server)
            if isinstance(answer, _http_messages.Answer):
                is_final = not (repeats and answer.head.status >= 500)
                if is_final or not self._may_repeat(work):
                    await work.pass_on(answer)
                    return
            elif answer.may_have_run and not repeats:
                await work.fail('answer-lost')
                return
            elif not self._may_repeat(work):
                await self._give_up(work)
                return

    def _choose(self, work, tried):
        directory = self._state.directory
        if self._seen_version != directory.version:
            self._seen_version = directory.version
            self._choice.keep_only(directory.names)
        servers = directory.usable(work.service)
        now_ms = _clock.read_clock_ms()
        server = self._choice.choose(servers, now_ms, avoid=tried)
        if server is None and work.route.kind == routing.KIND_REPEATABLE:
            server = self._choice.choose(servers, now_ms)
        return server

    def _may_repeat(self, work):
        remaining_ms = work.deadline_ms - _clock.read_clock_ms()
        return (
            work.run_count < work.route.send_max
            and remaining_ms >= SEND_AGAIN_MIN_MS
            and self._budgets.spend(work.service)
        )

    async def _give_up(self, work):
        if work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse('servers-full', REFUSED_RETRY_MS)

    async def _try(self, work, server):
        """Return an `Answer`, or the `CallFailedError` instead."""
        begun_ms = _clock.read_clock_ms()
        self._choice.begin(server)
        work.note_sent(server.name)
        try:
            answer = await self._call(work, server)
        except _server_calls.CallFailedError as error:
            now_ms = _clock.read_clock_ms()
            self._choice.note_failure(server, now_ms)
            work.note_failed(
                server.name, _work.STAGE_RUN, error, begun_ms=begun_ms
            )
            return error
        finally:
            self._choice.end(server)
        now_ms = _clock.read_clock_ms()
        load = self._dialect.read_load(answer.head.header(self._dialect.load))
        self._choice.note_load(server, load, now_ms)
        work.note_run()
        if answer.head.status < 500:
            self._choice.note_success(server, now_ms - begun_ms)
        else:
            emit(
                events.SERVER_FAILED_REQUEST,
                request_id=work.request_id,
                server=server.name,
                status=answer.head.status,
                took_ms=now_ms - begun_ms,
            )
        return answer

    async def _call(self, work, server):
        with trio.move_on_after(self._patience_s(work)):
            call = await self._caller.open(
                server,
                work.request,
                deadline_ms=work.deadline_ms,
                may_repeat=work.route.may_repeat,
            )
            try:
                body = await call.exchange.read_all()
            except _server_connection.AnswerBrokenError as error:
                raise _server_calls.CallFailedError(
                    str(error), may_have_run=True
                ) from error
            finally:
                await call.close()
            work.check_answer(call.head)
            return _http_messages.Answer(head=call.head, body=body)
        raise _server_calls.CallFailedError('no answer yet', may_have_run=True)

    def _patience_s(self, work):
        """Return how long a server may be silent.

        The deadline of the request ends every wait by itself, and is
        answered in another way than a server's silence.
        """
        is_last = work.run_count + 1 >= work.route.send_max
        if work.route.kind != routing.KIND_REPEATABLE or is_last:
            return math.inf
        silence_s = SILENCE_FACTOR * work.route.target_ms / _clock.MS_PER_S
        return silence_s or math.inf
