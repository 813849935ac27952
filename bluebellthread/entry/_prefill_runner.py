"""Runs the prefills of a request at prefill servers."""

import attrs

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_exchange
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

PREFILL_SILENCE_S = 1.2
"""Time after which a prefill server counts as silent: several times the
duration of two long prefills."""

CONTROL_TIMEOUT_S = 0.5
"""Timeout of the call that frees a KV cache. The prefill server frees the
cache by itself after about the same time."""


@attrs.frozen(kw_only=True)
class PrefilledPrompt:
    """A prompt whose KV cache its prefill server holds for a short time.

    Parameters
    ----------
    server : ListedServer
        The prefill server.
    handle : str
        The server's id of the KV cache.
    """

    server: routing.ListedServer
    handle: str


class PrefillRunner:
    """Runs the prefills of one request.

    Parameters
    ----------
    work : Work
        The request.
    context : StreamContext
        Objects that all streams of the process use.
    """

    def __init__(self, *, work, context):
        self._work = work
        self._caller = context.caller
        self._placements = context.placements
        self._dialect = context.dialect
        self._stats = context.stats
        self._watch = context.server_watch

    async def run(self, attempt, placement, server, headers, admission):
        """Run the prefill at a server; return the `PrefilledPrompt`.

        Parameters
        ----------
        attempt : Attempt
            The attempt that the prefill belongs to.
        placement : Placement
            The placement; its owner is notified when the prefill ends.
        server : ListedServer
            The prefill server of the placement.
        headers : list of (bytes, bytes)
            Headers added to the request if a stream is resumed.
        admission : Admission
            Permission to send the request to the server.

        Raises
        ------
        StreamBrokenError
            If the prefill fails.
        """
        work = self._work
        with self._watch.track(server, work.request_id, work.parts) as run:
            with attempt.waiting(server.name, PREFILL_SILENCE_S):
                handle = await self._run(
                    placement, server, headers, admission, run
                )
        return PrefilledPrompt(server=server, handle=handle)

    async def _run(self, placement, server, headers, admission, run):
        started_ms = _clock.read_clock_ms()
        try:
            handle = await self._call_prefill(server, headers, admission)
        except _server_calls.CallFailedError as error:
            run.is_cut = error.may_have_run
            self._note_prefill_failed(server, error, started_ms)
            raise _stream_context.StreamBrokenError(
                server.name,
                1,
                is_cut=run.is_cut,
                is_unreached=error.is_unreached,
            ) from error
        finally:
            self._placements.note_prefill_ended(placement)
        self._work.prefill_ms = _clock.read_clock_ms() - started_ms
        self._stats.observe_prefill(self._work.prefill_ms)
        return handle

    def _note_prefill_failed(self, server, error, started_ms):
        self._work.note_failed(
            server.name, _work.STAGE_PREFILL, error, started_ms=started_ms
        )

    async def _call_prefill(self, server, headers, admission):
        call = await self._caller.open(
            server,
            self._work,
            deadline_ms=self._work.deadline_ms,
            is_retryable=True,
            extra=[(self._dialect.stage, self._dialect.stage_prefill)]
            + headers,
            admission=admission,
        )
        try:
            body = await call.exchange.read_all()
        except _server_exchange.AnswerBrokenError as error:
            raise _server_calls.CallFailedError(
                str(error), may_have_run=True
            ) from error
        finally:
            await call.close()
        handle = self._dialect.read_handle(body)
        if call.head.status != 200 or handle is None:
            raise _server_calls.CallFailedError(
                f'the prefill server answered {call.head.status} without a '
                'usable handle',
                may_have_run=False,
            )
        return handle

    def release_cache(self, prompt):
        """Start a call that frees an unneeded KV cache; do not wait for it."""
        self._placements.start_isolated(
            self._call_release, prompt, subject=f'server {prompt.server.name}'
        )

    async def _call_release(self, prompt):
        release = self._dialect.make_cache_release(prompt.handle)
        try:
            await self._caller.call_control(
                prompt.server, release, timeout_s=CONTROL_TIMEOUT_S
            )
        except _server_calls.CallFailedError as error:
            emit(
                events.KV_CACHE_NOT_FREED,
                server=prompt.server.name,
                error=error.reason,
            )
