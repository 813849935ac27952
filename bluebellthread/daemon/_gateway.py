"""ASGI application that serves the callers' HTTP requests."""

import contextlib
import secrets
import traceback

import attrs
import trio

from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import metrics

ANONYMOUS = 'anonymous'
"""Caller name of a request without ``X-Caller-Id``."""

MAX_REQUEST_ID_LENGTH = 128
"""Maximum number of characters in a request id that a caller chooses."""


@attrs.frozen(kw_only=True)
class Exchange:
    """One request, its caller and trace context, and its responder."""

    request: _http.Request
    request_id: str
    caller: str
    responder: _http.Responder
    traceparent: str


class Gateway:
    """Admits callers' requests and dispatches them by URL path.

    Parameters
    ----------
    state : object
        Has ``ready``, the bool that ``/readyz`` reports, and
        ``stop_schedule``.
    paths : tuple of (str, object)
        Pairs of a URL path prefix and an object. The object's ``async``
        method ``serve(exchange)`` answers the requests below the prefix.
    max_body_bytes : int
        Largest accepted request body.
    body_timeout_ms : int
        Longest time to receive a whole request body.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    metrics : bluebellthread.observe.Metrics
        Counts the requests.
    request_log : RequestLog
        Records the state of each request.
    admission : Admission
        Limits checked before a request is served.
    """

    def __init__(
        self,
        *,
        state,
        paths,
        max_body_bytes,
        body_timeout_ms,
        tracer,
        metrics,
        request_log,
        admission,
    ):
        self._state = state
        self._paths = paths
        self._max_body_bytes = max_body_bytes
        self._body_timeout_ms = body_timeout_ms
        self._tracer = tracer
        self._metrics = metrics
        self._request_log = request_log
        self._admission = admission
        self._reading_scopes = set()
        self._serving_scopes = set()

    async def __call__(self, scope, receive, send):
        """Handle one ASGI scope: an HTTP request or the server's lifespan."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve_http(scope, receive, send)

    def end_reading(self):
        """Refuse the requests that have not been read whole."""
        for scope in self._reading_scopes:
            scope.cancel()

    def end_serving(self):
        """Refuse the requests that no path has answered."""
        for scope in self._serving_scopes:
            scope.cancel()

    async def _serve_http(self, scope, receive, send):
        request_id = _choose_request_id(scope)
        responder = _http.Responder(
            send, request_id, is_last=lambda: self._is_last(scope)
        )
        try:
            await self._serve_request(scope, receive, responder)
        except _http.Refusal as refusal:
            _http.limit_run_claim(refusal, scope['headers'])
            self._metrics.count(metrics.REQUESTS_REFUSED, kind=refusal.kind)
            if not responder.started:
                await responder.refuse(refusal)
        except Exception as error:
            # An unexpected error in one request must be logged and must not
            # stop the other requests.
            emit(
                events.REQUEST_CRASHED,
                request_id=request_id,
                error=''.join(traceback.format_exception(error)),
            )
            if responder.started:
                raise
            await responder.refuse(_make_crash_refusal())

    def _is_last(self, scope):
        """Return whether a request is the last one on its connection.

        HTTP/2 has no such header; its connections last through the stop.
        """
        is_http_1 = scope['http_version'].startswith('1')
        return is_http_1 and self._state.stop_schedule.is_begun

    async def _serve_request(self, scope, receive, responder):
        if scope['path'] in ('/healthz', '/readyz'):
            await self._serve_health(scope['path'], responder)
            return
        path = self._find_path(scope['path'])
        with self._admission.admit(_read_caller(scope)):
            await self._serve_admitted(path, scope, receive, responder)

    async def _serve_admitted(self, path, scope, receive, responder):
        with self._end_at_stop(
            self._reading_scopes,
            responder.request_id,
            stage='reading',
            run=_http.RUN_NOT_RUN,
        ):
            request = await _http.read_request(
                scope,
                receive,
                max_body_bytes=self._max_body_bytes,
                body_timeout_ms=self._body_timeout_ms,
            )
        parent = request.header('traceparent')
        self._metrics.count(metrics.REQUESTS)
        with self._tracer.span(
            'gateway', parent=parent, request_id=responder.request_id
        ) as span:
            exchange = Exchange(
                request=request,
                request_id=responder.request_id,
                caller=_read_caller(scope),
                responder=responder,
                traceparent=self._tracer.traceparent_of(span),
            )
            await self._serve_logged(path, exchange, receive)

    async def _serve_logged(self, path, exchange, receive):
        request_id = exchange.request_id
        entry = self._request_log.begin(request_id)
        outcome = ('gone', 'the caller went away')
        try:
            with self._end_at_stop(
                self._serving_scopes,
                request_id,
                stage='end',
                run=_http.RUN_UNKNOWN,
            ):
                await _serve_until_disconnect(path, exchange, receive)
            if exchange.responder.finished:
                outcome = ('done', '')
        except _http.Refusal as refusal:
            outcome = ('refused', refusal.kind)
            emit(
                events.REQUEST_REFUSED,
                request_id=request_id,
                caller=exchange.caller,
                kind=refusal.kind,
            )
            raise
        finally:
            state, detail = outcome
            self._request_log.end(entry, state=state, detail=detail)

    @contextlib.contextmanager
    def _end_at_stop(self, scopes, request_id, *, stage, run):
        """Refuse a request if it is ended within the ``with`` block.

        Parameters
        ----------
        scopes : set of trio.CancelScope
            Scopes of the requests that are ended together.
        request_id : str
            Id of the request.
        stage : str
            What the block does, for the log.
        run : str
            Whether the request has been executed when it is ended.
        """
        try:
            with trio.CancelScope() as scope:
                scopes.add(scope)
                try:
                    yield
                finally:
                    scopes.discard(scope)
            if scope.cancelled_caught:
                raise _http.make_stop_refusal(run)
        except _http.Refusal as refusal:
            if refusal.kind == _http.KIND_STOPPING:
                self._log_stop_decision(request_id, stage, refusal)
            raise

    def _log_stop_decision(self, request_id, stage, refusal):
        schedule = self._state.stop_schedule
        if not schedule.is_begun:
            # The refusal is that of another VM, which stops.
            return
        now_ms = _clock.read_clock_ms()
        is_unknown = refusal.run == _http.RUN_UNKNOWN
        emit(
            events.STOP_DECISION,
            request_id=request_id,
            stage=stage,
            decision='failed, it may have run' if is_unknown else 'refused',
            since_stop_ms=now_ms - schedule.begun_ms,
            left_ms=schedule.find_remaining_ms(now_ms),
            need_ms=None,
        )

    def _find_path(self, url_path):
        for start, path in self._paths:
            if url_path.startswith(start):
                return path
        raise _http.Refusal(
            status=404,
            kind='unknown-path',
            remedy='use /v1/chat/completions, /v1/completions or /services/',
        )

    async def _serve_health(self, url_path, responder):
        if url_path == '/healthz' or self._state.ready:
            await responder.answer_json(200, {'ok': True})
        else:
            await responder.answer_json(503, {'ok': False})


async def _serve_lifespan(receive, send):
    # Hypercorn stops the server if this coroutine returns before the
    # shutdown message.
    while True:
        message = await receive()
        await send({'type': message['type'] + '.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _serve_until_disconnect(path, exchange, receive):
    """Serve an exchange; cancel it when the caller disconnects.

    A caller that has its whole answer cancels nothing: the path still waits
    for the engine to end its run, which it would cancel otherwise.
    """
    refusals = []
    async with trio.open_nursery() as nursery:
        _tasks.start_joined(
            nursery,
            _cancel_on_disconnect,
            receive,
            exchange.responder,
            nursery.cancel_scope,
        )
        try:
            await path.serve(exchange)
        except _http.Refusal as refusal:
            refusals.append(refusal)
        nursery.cancel_scope.cancel()
    if refusals:
        raise refusals[0]


async def _cancel_on_disconnect(receive, responder, cancel_scope):
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            if not responder.finished:
                cancel_scope.cancel()
            return


def _make_crash_refusal():
    return _http.Refusal(
        status=500,
        kind='internal',
        remedy='report it with the request id',
        run=_http.RUN_UNKNOWN,
    )


def _read_caller(scope):
    return _http.find_header(scope['headers'], b'x-caller-id') or ANONYMOUS


def _choose_request_id(scope):
    text = _http.find_header(scope['headers'], b'x-request-id')
    if text and len(text) <= MAX_REQUEST_ID_LENGTH and text.isprintable():
        return text
    return secrets.token_hex(16)
