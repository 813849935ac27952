"""Has prefill servers read prompts."""

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _stream_parts
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

PREFILL_TIMEOUT_S = 1.2
"""Several times what reading two long prompts takes; a server that is
silent for as long is taken as lost."""

CONTROL_TIMEOUT_S = 0.5
"""For freeing a read prompt, which its server does by itself as late."""


@attrs.frozen(kw_only=True)
class ReadPrompt:
    """A prompt whose cache is kept for a moment at its prefill server."""

    server: routing.ListedServer
    handle: str


class PromptReader:
    """Reads the prompts of one request.

    Parameters
    ----------
    work : Work
    parts : StreamParts
    """

    def __init__(self, *, work, parts):
        self._work = work
        self._caller = parts.caller
        self._placements = parts.placements
        self._dialect = parts.dialect
        self._stats = parts.stats

    async def read(self, place, server, headers):
        """Have a server read the prompt; return the `ReadPrompt`.

        Parameters
        ----------
        place : Place
        server : ListedServer
        headers : list of (bytes, bytes)
            What a stream that goes on adds to its request.

        Raises
        ------
        StreamBrokenError
        """
        begun_ms = _clock.read_clock_ms()
        try:
            with trio.fail_after(PREFILL_TIMEOUT_S):
                handle = await self._call_prefill(server, headers)
        except trio.TooSlowError:
            error = _server_calls.CallFailedError(
                'the prompt was not read in time', may_have_run=False
            )
            self._note_prefill_failed(server, error, begun_ms)
            raise _stream_parts.StreamBrokenError(server.name, 1) from error
        except _server_calls.CallFailedError as error:
            self._note_prefill_failed(server, error, begun_ms)
            raise _stream_parts.StreamBrokenError(server.name, 1) from error
        finally:
            self._placements.note_read(place)
        self._work.prefill_ms = _clock.read_clock_ms() - begun_ms
        self._stats.observe_prefill(self._work.prefill_ms)
        return ReadPrompt(server=server, handle=handle)

    def _note_prefill_failed(self, server, error, begun_ms):
        self._work.note_failed(
            server.name, _work.STAGE_PREFILL, error, begun_ms=begun_ms
        )

    async def _call_prefill(self, server, headers):
        call = await self._caller.open(
            server,
            self._work.request,
            deadline_ms=self._work.deadline_ms,
            may_repeat=True,
            extra=[(self._dialect.stage, self._dialect.stage_prefill)]
            + headers,
        )
        try:
            body = await call.exchange.read_all()
        except _server_connection.AnswerBrokenError as error:
            raise _server_calls.CallFailedError(
                str(error), may_have_run=False
            ) from error
        finally:
            await call.close()
        handle = self._dialect.read_handle(body)
        if call.head.status != 200 or handle is None:
            raise _server_calls.CallFailedError(
                f'status {call.head.status} and no handle', may_have_run=False
            )
        return handle

    def free(self, prompt):
        """Free a prompt that is not needed, without waiting for it."""
        self._placements.start_soon(self._call_free, prompt)

    async def _call_free(self, prompt):
        release = self._dialect.make_handle_release(prompt.handle)
        try:
            await self._caller.call_control(
                prompt.server, release, timeout_s=CONTROL_TIMEOUT_S
            )
        except _server_calls.CallFailedError as error:
            emit(
                events.PROMPT_NOT_FREED,
                server=prompt.server.name,
                error=error.reason,
            )
