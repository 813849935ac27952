"""HTTP requests, answers and refusals of callers over ASGI."""

import json
import math

import attrs
import trio

from bluebellthread import core

RUN_NOT_RUN = 'not-run'
RUN_UNKNOWN = 'unknown'
RUN_DONE = 'done'
RUN_NOT_THIS_TIME = 'not-this-time'

TICKET_HEADER = 'x-ticket'
"""Header that carries the ticket of an at-most-once call."""

KIND_STOPPING = 'stopping'

STOP_RETRY_AFTER_MS = 1000
"""Retry-After sent by a VM that is being stopped."""

MS_PER_S = 1000

UNFORWARDED_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
"""Headers that apply to one connection or that the sender sets itself.

They are not forwarded.
"""


class Refusal(core.BluebellthreadError):
    """A typed error answer to a caller's request.

    Parameters
    ----------
    status : int
        HTTP status.
    kind : str
        Fixed error code, listed in docs/PROTOCOL.md.
    remedy : str
        What the caller can do.
    run : str
        Whether the request was executed: ``'not-run'``,
        ``'not-this-time'`` (not by this attempt), ``'unknown'`` or
        ``'done'``.
    retry_after_ms : int
        Earliest retry, in milliseconds from now; 0 for no ``Retry-After``.
    headers : tuple of (str, str)
        Additional response headers.
    """

    def __init__(
        self,
        *,
        status,
        kind,
        remedy,
        run=RUN_NOT_RUN,
        retry_after_ms=0,
        headers=(),
    ):
        self.headers = headers
        self.status = status
        self.kind = kind
        self.remedy = remedy
        self.run = run
        self.retry_after_ms = retry_after_ms
        super().__init__(f'{kind}: {remedy}')


class TicketRefusal(Refusal):
    """A refusal whose ``run`` covers every attempt made with the ticket."""


def make_stop_refusal(run, *, retry_after_ms=STOP_RETRY_AFTER_MS):
    """Return the refusal of a request for which a stop leaves no time.

    Parameters
    ----------
    run : str
        Whether the request was executed.
    retry_after_ms : int
        Earliest retry, in milliseconds from now.
    """
    is_not_run = run in (RUN_NOT_RUN, RUN_NOT_THIS_TIME)
    return Refusal(
        status=503 if is_not_run else 502,
        kind=KIND_STOPPING,
        remedy='this VM is being stopped; send the request to another one'
        if is_not_run
        else 'this VM was stopped while the request ran; it may have run',
        run=run,
        retry_after_ms=retry_after_ms,
    )


def limit_run_claim(refusal, headers):
    """Change "not run" to "not this time" if the refused call has a ticket.

    An earlier attempt with the ticket may have run. Only a
    `TicketRefusal`, made from the ticket's record, may say "not run".

    Parameters
    ----------
    refusal : Refusal
        Changed in place.
    headers : list of (bytes, bytes)
        Headers of the request.

    Examples
    --------
    >>> refusal = Refusal(status=503, kind='overloaded', remedy='wait')
    >>> limit_run_claim(refusal, [(b'x-ticket', b'vm1-ff-3.a.b')])
    >>> refusal.run
    'not-this-time'
    """
    if not find_header(headers, TICKET_HEADER.encode()):
        return
    if isinstance(refusal, TicketRefusal):
        return
    if refusal.run == RUN_NOT_RUN:
        refusal.run = RUN_NOT_THIS_TIME


@attrs.frozen(kw_only=True)
class Request:
    """One HTTP request of a caller, with its whole body.

    Parameters
    ----------
    method, path, query : str
        Parts of the request line; the path is percent-decoded.
    raw_path : str
        The path as the caller sent it, not decoded.
    headers : tuple of (str, str)
        Name, in lower case, and value of each header.
    body : bytes
        The whole body; empty if the request has none.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    raw_path: str = ''

    def header(self, name, default=''):
        """Return the first value of a header, or a default if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return default


@attrs.define
class Responder:
    """Sends one answer to a caller.

    Parameters
    ----------
    request_id : str
        Sent as ``x-request-id`` with every answer.
    started, finished : bool
        Whether sending has begun: of the response head (``started``), and
        of the last part of the body (``finished``).
    is_last : callable
        Returns whether no other answer follows on the connection.
    """

    _send: object
    request_id: str
    started: bool = False
    finished: bool = False
    is_last: object = attrs.field(kw_only=True, default=lambda: False)

    async def start(self, status, headers):
        """Send the status, the headers and the request id header."""
        self.started = True
        encoded = [(b'x-request-id', self.request_id.encode())]
        if self.is_last():
            encoded.append((b'connection', b'close'))
        for name, value in headers:
            encoded.append((name.encode(), value.encode()))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': encoded,
            }
        )

    async def write(self, data):
        """Send a part of the body that is not the last one."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self, data=b''):
        """Send the last part of the body."""
        # This is set before the send, because the server may report a
        # disconnect while the send is still waiting.
        self.finished = True
        await self._send({'type': 'http.response.body', 'body': data})

    async def answer(self, status, headers, body):
        """Send a whole answer with its content length."""
        length = ('content-length', str(len(body)))
        await self.start(status, [*headers, length])
        await self.finish(body)

    async def answer_json(self, status, fields, headers=()):
        """Send a whole answer as JSON."""
        body = json.dumps(fields, ensure_ascii=False).encode()
        kind = ('content-type', 'application/json')
        await self.answer(status, [kind, *headers], body)

    async def refuse(self, refusal):
        """Send a refusal as JSON, with its ``x-run`` header."""
        headers = [('x-run', refusal.run), *refusal.headers]
        if refusal.retry_after_ms:
            retry_after_s = math.ceil(refusal.retry_after_ms / MS_PER_S)
            headers.append(('retry-after', str(retry_after_s)))
        await self.answer_json(
            refusal.status, describe_refusal(refusal, self.request_id), headers
        )


def describe_refusal(refusal, request_id):
    """Return the fields of a refusal's JSON body."""
    return {
        'error': {
            'kind': refusal.kind,
            'message': refusal.remedy,
            'run': refusal.run,
            'retry_after_ms': refusal.retry_after_ms,
        },
        'request_id': request_id,
    }


def find_header(headers, name):
    """Return the first value of a header in raw ASGI headers, or ''.

    The name is given in lower case, as bytes.
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode('latin-1')
    return ''


async def read_request(scope, receive, *, max_body_bytes, body_timeout_ms):
    """Receive a request with a body that is limited in size and time.

    Raises
    ------
    Refusal
        If the body is cut off, too large or too slow.
    """
    body = bytearray()
    with trio.move_on_after(body_timeout_ms / MS_PER_S) as cancel_scope:
        while True:
            message = await receive()
            if message['type'] != 'http.request':
                raise Refusal(
                    status=400, kind='incomplete', remedy='send a whole body'
                )
            body += message.get('body', b'')
            if len(body) > max_body_bytes:
                raise Refusal(
                    status=413,
                    kind='body-too-large',
                    remedy=f'send at most {max_body_bytes} bytes',
                )
            if not message.get('more_body', False):
                break
    if cancel_scope.cancelled_caught:
        raise Refusal(
            status=408,
            kind='slow-request',
            remedy=f'send the body within {body_timeout_ms} ms',
        )
    return Request(
        method=scope['method'],
        path=scope['path'],
        raw_path=scope['raw_path'].decode('latin-1'),
        query=scope['query_string'].decode('latin-1'),
        headers=tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in scope['headers']
        ),
        body=bytes(body),
    )
