"""A small ASGI application, served by hypercorn, for all stand-ins."""

import json
from urllib import parse

import attrs
import hypercorn.config
import hypercorn.trio
import trio

SHUTDOWN_TIMEOUT_S = 0.2
"""Seconds that connections may stay open after a stand-in is stopped."""


class Request:
    """An HTTP request with its whole body, and methods to answer it."""

    def __init__(self, scope, receive, send, body):
        self.method = scope['method']
        self.path = scope['path']
        self.query = dict(parse.parse_qsl(scope['query_string'].decode()))
        self.headers = {
            name.decode().lower(): value.decode()
            for name, value in scope['headers']
        }
        self.source = scope['client'][0] if scope.get('client') else ''
        self.body = body
        self._receive = receive
        self._send = send

    def json(self):
        """Return the body as JSON; an empty body is an empty object."""
        return json.loads(self.body or b'{}')

    async def begin(self, status, content_type, *headers):
        """Send status and headers; `write` sends the body in parts."""
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (b'content-type', content_type.encode()),
                    *headers,
                ],
            }
        )

    async def write(self, data, *, more=True):
        """Send a part of the body; `more` is False for the last one."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )

    async def answer(self, status, value):
        """Send a complete answer as JSON, or as plain text for a string."""
        if isinstance(value, str):
            content_type = 'text/plain; charset=utf-8'
            data = value.encode()
        else:
            content_type = 'application/json'
            data = json.dumps(value).encode()
        length = (b'content-length', str(len(data)).encode())
        await self.begin(status, content_type, length)
        await self.write(data, more=False)

    async def refuse(self, status, kind):
        """Answer with a refusal: an error status and a refusal kind."""
        await self.answer(status, {'error': {'kind': kind}})

    async def wait_disconnected(self):
        """Wait until the client has closed the connection."""
        while (await self._receive())['type'] != 'http.disconnect':
            pass


class App:
    """ASGI application that routes requests by method and path.

    Handlers are async functions that take a `Request` and answer it.
    """

    def __init__(self):
        self._handlers = {}

    def add(self, method, path, handler):
        """Route requests to a handler.

        The method ``'*'`` matches every method. A path that ends in ``*``
        matches every path with that prefix.
        """
        self._handlers[(method, path)] = handler

    def _find(self, method, path):
        for (route_method, route_path), handler in self._handlers.items():
            matches = (
                path.startswith(route_path[:-1])
                if route_path.endswith('*')
                else path == route_path
            )
            if matches and route_method in (method, '*'):
                return handler
        return None

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection scope: lifespan events or a request."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        body = bytearray()
        more = True
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message.get('body', b'')
            more = message.get('more_body', False)
        request = Request(scope, receive, send, bytes(body))
        handler = self._find(request.method, request.path)
        if handler is None:
            await request.refuse(404, 'no-such-path')
            return
        await handler(request)


async def _serve_lifespan(receive, send):
    while True:
        message = await receive()
        await send({'type': message['type'] + '.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def serve(nursery, app, *, host, port):
    """Serve an application in a nursery and return its port."""
    config = hypercorn.config.Config()
    config.bind = [f'{host}:{port}']
    config.graceful_timeout = SHUTDOWN_TIMEOUT_S
    config.keep_alive_timeout = 60
    config.loglevel = 'ERROR'
    binds = await nursery.start(
        lambda task_status=trio.TASK_STATUS_IGNORED: hypercorn.trio.serve(
            app,
            config,
            shutdown_trigger=trio.sleep_forever,
            task_status=task_status,
            mode='asgi',
        )
    )
    return parse.urlsplit(binds[0]).port


def change_settings(settings, changes):
    """Set fields of an attrs object; raise `ValueError` for unknown ones."""
    known = {field.name for field in attrs.fields(type(settings))}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise ValueError(f'unknown fields: {", ".join(unknown)}')
    for name, value in changes.items():
        setattr(settings, name, value)


def make_control(settings, on_change=None):
    """Return a handler that changes the settings of a running stand-in.

    Parameters
    ----------
    settings : attrs class
        Settings of the stand-in, changed in place.
    on_change : callable or None
        Called without arguments after each change.
    """

    async def control(request):
        try:
            change_settings(settings, request.json())
        except ValueError as error:
            await request.answer(400, {'error': {'kind': str(error)}})
            return
        if on_change is not None:
            on_change()
        await request.answer(200, attrs.asdict(settings))

    return control
