"""Open-loop callers, which send on schedule however slow the answers are."""

import json

import attrs
import httpcore
import trio

REQUEST_TIMEOUT_MS = 10000
"""Deadline that a caller sends with each request."""

KEEPALIVE_S = 2.0
"""Seconds after which the client closes an idle connection.

This is shorter than the daemon's idle timeout, so that no request goes out on
a connection that the daemon is closing.
"""


@attrs.define(kw_only=True)
class Outcome:
    """Result of one request.

    Parameters
    ----------
    arrival : Arrival
        The request.
    state : str
        ``'whole'`` for a complete answer, ``'refused'``, ``'failed'`` or
        ``'unanswered'``.
    kind : str
        Kind of the refusal or failure.
    lag_ms : float
        Delay between the planned and the actual sending. A large value
        means that the machine lacks processor time and that the figures
        of the run are not reliable.
    first_ms : float
        Time from the planned arrival to the first piece of the answer.
    pace_ms : float
        Mean time between pieces.
    pieces : int
        Number of pieces received.
    retry_after_ms : int
        Back-off that a refusal asks for.
    ended_ms : float
        Time from the planned arrival to the end of the exchange.
    """

    arrival: object
    state: str = 'unanswered'
    kind: str = ''
    lag_ms: float = 0.0
    first_ms: float = 0.0
    pace_ms: float = 0.0
    pieces: int = 0
    retry_after_ms: int = 0
    ended_ms: float = 0.0


class Client:
    """Sends the requests of one run to the daemons.

    Parameters
    ----------
    addresses : dict
        Host and port of each VM, by data centre and number of the VM.
    model : str
        Name of the model in each request.
    """

    def __init__(self, *, addresses, model):
        self._addresses = addresses
        self._model = model
        self._pool = None
        self._start_s = 0.0
        self.outcomes = []

    async def run(self, arrivals, *, grace_s):
        """Send every request at its time and collect the outcomes.

        Parameters
        ----------
        arrivals : list of Arrival
            The requests in order of time.
        grace_s : float
            Time to wait for answers after the last request is sent.
        """
        self._start_s = trio.current_time()
        async with httpcore.AsyncConnectionPool(
            max_connections=5000,
            max_keepalive_connections=500,
            keepalive_expiry=KEEPALIVE_S,
            retries=0,
        ) as self._pool:
            async with trio.open_nursery() as nursery:
                for arrival in arrivals:
                    await trio.sleep_until(self._start_s + arrival.offset_s)
                    lag_ms = self._elapsed_ms(arrival)
                    outcome = Outcome(arrival=arrival, lag_ms=lag_ms)
                    self.outcomes.append(outcome)
                    nursery.start_soon(self._send, arrival, outcome)
                nursery.cancel_scope.deadline = trio.current_time() + grace_s

    async def _send(self, arrival, outcome):
        try:
            await self._exchange(arrival, outcome)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            outcome.state = 'failed'
            outcome.kind = type(error).__name__
        outcome.ended_ms = self._elapsed_ms(arrival)

    def _elapsed_ms(self, arrival):
        planned_s = self._start_s + arrival.offset_s
        return (trio.current_time() - planned_s) * 1000

    async def _exchange(self, arrival, outcome):
        host, port = self._addresses[arrival.place, arrival.vm_number]
        body = {
            'model': self._model,
            'prompt': arrival.prompt,
            'max_tokens': arrival.output_tokens,
            'stream': True,
        }
        headers = {
            'content-type': 'application/json',
            'x-caller-id': arrival.caller,
            'x-request-id': arrival.request_id,
            'x-request-timeout-ms': str(REQUEST_TIMEOUT_MS),
        }
        async with self._pool.stream(
            'POST',
            f'http://{host}:{port}/v1/completions',
            headers=headers,
            content=json.dumps(body).encode(),
            extensions={'timeout': {'connect': 2.0}},
        ) as response:
            if response.status != 200:
                await self._read_refusal(response, outcome)
                return
            await self._read_stream(response, arrival, outcome)

    async def _read_refusal(self, response, outcome):
        outcome.state = 'refused'
        try:
            error = json.loads(await response.aread())['error']
            outcome.kind = error['kind']
            outcome.retry_after_ms = error.get('retry_after_ms', 0)
        except (ValueError, KeyError, TypeError):
            outcome.kind = f'status-{response.status}'

    async def _read_stream(self, response, arrival, outcome):
        buffer = b''
        async for chunk in response.aiter_stream():
            *events, buffer = (buffer + chunk).split(b'\n\n')
            for event in events:
                data = event.removeprefix(b'data: ')
                if data == b'[DONE]':
                    self._finish(arrival, outcome)
                elif data.startswith(b'{"error"'):
                    outcome.state = 'failed'
                    outcome.kind = json.loads(data)['error']['kind']
                else:
                    self._count_piece(arrival, outcome)
        if outcome.state == 'unanswered':
            outcome.state = 'failed'
            outcome.kind = 'cut-off'

    def _count_piece(self, arrival, outcome):
        outcome.pieces += 1
        if outcome.pieces == 1:
            outcome.first_ms = self._elapsed_ms(arrival)

    def _finish(self, arrival, outcome):
        if outcome.pieces != arrival.output_tokens:
            outcome.state = 'failed'
            outcome.kind = 'not-whole'
            return
        outcome.state = 'whole'
        if outcome.pieces > 1:
            elapsed_ms = self._elapsed_ms(arrival) - outcome.first_ms
            outcome.pace_ms = elapsed_ms / (outcome.pieces - 1)
