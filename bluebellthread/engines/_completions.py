"""Adapter for engines with OpenAI-style completions and KV transfer.

docs/ENGINE.md describes the calls.
"""

import json

import httpcore

from bluebellthread import core
from bluebellthread.engines import _registry

ANSWER_MAX_BYTES = 1024 * 1024
"""Longest answer that is no stream; a load report has some KB."""

_JSON_HEADER = (b'content-type', b'application/json')


@_registry.engine_adapters.register('completions')
class CompletionsEngine:
    """Calls engines over HTTP/1.1.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
        Connections to engines; must not retry by itself.
    """

    def __init__(self, *, pool):
        self._pool = pool

    async def prefill(self, server, request_id, parameters, *, traceparent=''):
        """Prefill a prompt and leave its KV cache ready for transfer."""
        body = {
            'model': parameters.model,
            'prompt': parameters.prompt,
            'max_tokens': 1,
            'priority': parameters.priority,
            'kv_transfer_params': {'do_remote_decode': True},
        }
        answer = await self._call_json(
            server,
            '/v1/completions',
            body,
            headers=_headers(request_id, traceparent),
        )
        usage = answer.get('usage', {})
        return _registry.PrefillResult(
            transfer=_read_transfer(server, answer),
            prompt_tokens=usage.get('prompt_tokens', 0),
            cached_tokens=usage.get('cached_tokens', 0),
        )

    async def decode(
        self, server, request_id, parameters, transfer, *, traceparent=''
    ):
        """Yield `CacheImported` and then each `AnswerPiece` of the answer.

        Without transfer parameters, the server resumes the stream that it
        still holds for the request.
        """
        body = {
            'model': parameters.model,
            'prompt': parameters.prompt,
            'max_tokens': parameters.output_tokens,
            'stream': True,
            'priority': parameters.priority,
            'resume_offset': parameters.resume_offset,
        }
        if transfer is not None:
            body['kv_transfer_params'] = {
                **transfer,
                'do_remote_prefill': True,
            }
        try:
            async with self._pool.stream(
                'POST',
                _url(server, '/v1/completions'),
                headers=_headers(request_id, traceparent),
                content=json.dumps(body).encode(),
            ) as response:
                if response.status != 200:
                    content = await _read_body(response)
                    raise _make_refusal_error(server, response, content)
                async for item in _read_pieces(server, response):
                    yield item
        except (core.AnswerBodyError, *_TRANSPORT_ERRORS) as error:
            raise _registry.EngineError(
                kind='broken-stream', server=server.name, detail=repr(error)
            ) from error

    async def cancel(self, server, request_id):
        """Make a server cancel a request and free the request's resources."""
        await self._call_json(
            server, '/v1/cancel', {'request_id': request_id}, headers=[]
        )

    async def send_order(self, server, order):
        """Order a server to load or unload a target or to change its role."""
        body = {
            'fencing_number': order.fencing_number,
            'action': order.action,
            'target': order.target,
        }
        await self._call_json(server, '/orders', body, headers=[])

    async def read_load(self, server):
        """Return the server's load report as decoded JSON."""
        return await self._call_json(server, '/load', None, headers=[])

    async def _call_json(self, server, path, body, *, headers):
        method = 'GET' if body is None else 'POST'
        content = None if body is None else json.dumps(body).encode()
        try:
            async with self._pool.stream(
                method,
                _url(server, path),
                headers=[*headers, _JSON_HEADER],
                content=content,
            ) as response:
                answer = await _read_body(response)
        except core.AnswerBodyError as error:
            raise _registry.EngineError(
                kind='unreadable', server=server.name, detail=str(error)
            ) from error
        except _TRANSPORT_ERRORS as error:
            raise _registry.EngineError(
                kind='unreachable', server=server.name, detail=repr(error)
            ) from error
        if response.status != 200:
            raise _make_refusal_error(server, response, answer)
        return _decode_json(server, answer)


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def _url(server, path):
    return f'http://{server.host}:{server.port}{path}'


def _headers(request_id, traceparent):
    headers = [_JSON_HEADER, (b'x-request-id', request_id.encode())]
    if traceparent:
        headers.append((b'traceparent', traceparent.encode()))
    return headers


def _decode_json(server, content):
    try:
        return json.loads(content)
    except ValueError as error:
        raise _registry.EngineError(
            kind='unreadable',
            server=server.name,
            detail=f'the answer is not JSON: {error}',
        ) from error


def _make_refusal_error(server, response, content):
    try:
        kind = json.loads(content)['error']['kind']
    except (ValueError, KeyError, TypeError):
        kind = f'HTTP status {response.status}'
    return _registry.EngineError(
        kind='kv-evicted' if kind == 'kv-evicted' else 'refused',
        server=server.name,
        detail=kind,
    )


def _read_transfer(server, answer):
    transfer = answer.get('kv_transfer_params')
    if not isinstance(transfer, dict):
        raise _registry.EngineError(
            kind='unreadable',
            server=server.name,
            detail='the answer has no kv_transfer_params object',
        )
    return transfer


async def _read_body(response):
    body = core.AnswerBody.of_answer(
        response.status,
        response.headers,
        method=b'POST',
        size_max_bytes=ANSWER_MAX_BYTES,
    )
    async for chunk in response.aiter_stream():
        body.add(chunk)
    return body.finish()


async def _read_pieces(server, response):
    buffer = b''
    async for chunk in response.aiter_stream():
        *events, buffer = (buffer + chunk).split(b'\n\n')
        for event in events:
            try:
                item = _parse_event(server, event)
            except (ValueError, KeyError, TypeError, IndexError) as error:
                raise _registry.EngineError(
                    kind='broken-stream',
                    server=server.name,
                    detail=f'unreadable event in the stream: {error!r}',
                ) from error
            if item is not None:
                yield item
        if len(buffer) > core.EVENT_MAX_BYTES:
            raise _registry.EngineError(
                kind='broken-stream',
                server=server.name,
                detail=f'an event is longer than {core.EVENT_MAX_BYTES} bytes',
            )


def _parse_event(server, event):
    data = event.removeprefix(b'data: ')
    if data == b'[DONE]':
        return None
    fields = json.loads(data)
    if 'imported' in fields:
        return _registry.CacheImported()
    if 'error' in fields:
        kind = fields['error']['kind']
        raise _registry.EngineError(
            kind='cancelled' if kind == 'cancelled' else 'broken-stream',
            server=server.name,
            detail=kind,
        )
    choice = fields['choices'][0]
    return core.AnswerPiece(
        offset=fields['offset'],
        text=choice['text'],
        finish_reason=choice.get('finish_reason') or '',
    )
