"""Has another VM go on with a request to a model."""


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

    async def pass_on(self):
        """Hand the request on, and pass on what the other VM answers.

        Raises
        ------
        NotTakenError
            If no VM takes it.
        CallFailedError
            If a VM that may have taken it does not answer.
        StreamBrokenError
            If its answer breaks off.
        """
        async with self._hand_on.opened(
            self._work,
            extra=self._make_headers(),
            resume_after=self._relay.resume_after,
        ) as handed_on:
            if 200 <= handed_on.call.head.status < 300:
                self._relay.running_version = handed_on.software_version
                await self._relay.pass_on(handed_on, handed_on.call)
            else:
                await self._pass_on_failure(handed_on)

    async def _pass_on_failure(self, handed_on):
        work = self._work
        answer = await handed_on.read_answer()
        if work.exchange.is_started:
            await work.exchange.abort()
        else:
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
