"""Forwards calls below ``/services/NAME/`` to plain services."""

import math

import httpcore

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http

PREFIX = '/services/'
RETRY_AFTER_MS = 1000
CONNECTIONS_MAX = 200
ANSWER_MAX_BYTES = 16 * 1024 * 1024
"""Longest answer that is buffered, as in the entry."""


class ServicePath:
    """Forwards calls to the plain services in this data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this VM.
    fleet : object
        Its attribute ``configuration`` is the configuration in force.
    ticket_path : TicketPath
        Serves the at-most-once calls.
    stop_admission : StopAdmission
        Tells which calls may begin during a planned stop.
    """

    def __init__(self, *, data_centre, fleet, ticket_path, stop_admission):
        self._ticket_path = ticket_path
        self._stop_admission = stop_admission
        self._data_centre = data_centre
        self._fleet = fleet
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MAX, retries=0
        )
        self._call_count = 0

    async def close(self):
        """Close the connections to the backend servers."""
        await self._pool.aclose()

    async def serve(self, exchange):
        """Forward one call and return its answer to the caller."""
        request = exchange.request
        name, path = _split_path(request.path)
        _, raw_path = _split_path(request.raw_path)
        service = self._fleet.configuration.find_service(name)
        if service is None:
            raise _http.Refusal(
                status=404,
                kind='unknown-service',
                remedy=f'no service {name!r}; check the name',
            )
        _check_path(path)
        target = f'{raw_path}?{request.query}' if request.query else raw_path
        route = service.find_route(request.method, path)
        # A call with a ticket must run at most once, even if this VM's
        # configuration now lists the route as idempotent.
        if route.repeatable and not request.header(_http.TICKET_HEADER):
            self._stop_admission.check(
                name, output_tokens=0, deadline_ms=math.inf
            )
            server = self._choose_server(name)
            await self._forward(exchange, server, target)
        else:
            await self._ticket_path.serve_call(
                exchange, service, route, target
            )

    def _choose_server(self, name):
        servers = [
            server
            for server in self._fleet.configuration.servers_of(
                name, self._data_centre
            )
            if server.role == core.ROLE_SERVICE and not server.leaving
        ]
        if not servers:
            raise _http.Refusal(
                status=503,
                kind='no-backend',
                remedy='come back after the time in Retry-After',
                retry_after_ms=RETRY_AFTER_MS,
            )
        self._call_count += 1
        return servers[self._call_count % len(servers)]

    async def _forward(self, exchange, server, target):
        request = exchange.request
        headers = [
            (key.encode(), value.encode('latin-1'))
            for key, value in request.headers
            if key not in _http.UNFORWARDED_HEADERS
        ]
        headers.append((b'x-request-id', exchange.request_id.encode()))
        begun_ms = _clock.read_clock_ms()
        try:
            async with self._pool.stream(
                request.method,
                f'http://{server.host}:{server.port}{target}',
                headers=headers,
                content=request.body or None,
            ) as response:
                body = core.AnswerBody.of_answer(
                    response.status,
                    response.headers,
                    method=request.method.encode(),
                    size_max_bytes=ANSWER_MAX_BYTES,
                )
                async for chunk in response.aiter_stream():
                    body.add(chunk)
                content = body.finish()
        except (
            core.AnswerBodyError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            self._note_ended(server, begun_ms, is_answered=False)
            raise _http.Refusal(
                status=502,
                kind='unreachable',
                remedy='send the idempotent call again',
                run=_http.RUN_UNKNOWN,
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        self._note_ended(server, begun_ms, is_answered=response.status < 500)
        answer_headers = [
            (key.decode('latin-1').lower(), value.decode('latin-1'))
            for key, value in response.headers
        ]
        await exchange.responder.answer(
            response.status,
            [
                (key, value)
                for key, value in answer_headers
                if key not in _http.UNFORWARDED_HEADERS
                and key != 'x-request-id'
            ],
            content,
        )

    def _note_ended(self, server, begun_ms, *, is_answered):
        self._stop_admission.note_ended(
            server.serves,
            begun_ms=begun_ms,
            first_output_ms=None,
            piece_count=0,
            is_answered=is_answered,
        )


def _split_path(path):
    """Return the service's name and the path below that name."""
    name, _, rest = path[len(PREFIX) :].partition('/')
    return name, f'/{rest}'


def _check_path(path):
    # The service may resolve such segments to a path of another route than
    # the one that is found here.
    if {'.', '..'} & set(path.split('/')):
        raise _http.Refusal(
            status=400,
            kind='bad-request',
            remedy="send a path without '.' and '..' segments",
        )
