"""Has another VM go on with a request to a model."""

from bluebellthread.entry import _hand_on
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _stream_relay


class StreamHop:
    """Hands one request on, at its begin or after an event.

    Parameters
    ----------
    work : Work
        The request.
    context : StreamContext
        Objects that all streams of the process use.
    relay : StreamRelay
        Passes the events on to the caller.
    """

    def __init__(self, *, work, context, relay):
        self._work = work
        self._state = context.state
        self._paths = context.paths
        self._hand_on = context.hand_on
        self._dialect = context.dialect
        self._relay = relay

    async def is_path_lost(self, error):
        """Return whether a server was not reached, nor any other one.

        Parameters
        ----------
        error : StreamBrokenError
            Why the attempt at the server failed.
        """
        if not error.is_unreached:
            return False
        server = self._state.directory.find(error.server)
        return server is not None and await self._paths.is_confirmed_lost(
            server
        )

    async def pass_on(self, attempt):
        """Hand the request on, and pass on what the other VM answers.

        Parameters
        ----------
        attempt : Attempt
            The attempt to have another VM go on.

        Raises
        ------
        NoPlacementError
            If no VM takes it.
        StreamBrokenError
            If a VM that may have taken it does not answer whole.
        OvertakenError
            If another attempt has passed something on meanwhile.
        """
        try:
            async with self._hand_on.opened(
                self._work,
                attempt=attempt,
                silence_s=self._relay.silence_s,
                repeat_count=self._work.repeat_count,
                extra=self._make_headers(),
                resume_after=self._relay.resume_after,
            ) as handed_on:
                await self._pass_on_answer(attempt, handed_on)
        except _hand_on.NotTakenError as error:
            raise _stream_context.NoPlacementError('no-path') from error
        except _server_calls.CallFailedError as error:
            raise _stream_context.StreamBrokenError(
                '', 2 if error.may_have_run else 0
            ) from error

    async def _pass_on_answer(self, attempt, handed_on):
        if 200 <= handed_on.call.head.status < 300:
            answer = _stream_relay.RunAnswer(
                server=handed_on.server,
                call=handed_on.call,
                software_version=handed_on.software_version,
                silence_s=self._relay.silence_s,
            )
            await self._relay.pass_on(attempt, answer)
            return
        work = self._work
        if work.exchange.is_started or attempt.others:
            raise _stream_context.StreamBrokenError(handed_on.server, 2)
        answer = await handed_on.read_answer()
        attempt.take()
        await work.pass_on(answer, outcome='handed-on')

    def _make_headers(self):
        """Return what tells the other VM where the stream goes on."""
        headers = self._relay.resume_headers()
        if not headers:
            return []
        dialect = self._dialect
        began = self._work.request.header(dialect.resumed_attempt)
        began = began or self._relay.begun_attempt
        return [*headers, (dialect.resumed_attempt, began.encode('latin-1'))]
