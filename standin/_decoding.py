"""The decode role of a stand-in engine: import KV caches, stream answers."""

import json

import attrs
import httpcore
import trio

from bluebellthread import core

from standin import _text

IMPORT_TIMEOUT_S = 30.0
"""Seconds without a received byte after which an import fails."""


@attrs.define(kw_only=True)
class Answer:
    """State of a request that holds memory, with the tokens generated."""

    request_id: str
    max_tokens: int
    first_offset: int
    writer: _text.Writer
    tokens: list = attrs.field(factory=list)
    imported: bool = False
    finish_reason: str | None = None
    dropped: bool = False
    failed_kind: str = ''
    streams: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    changed: trio.Event = attrs.field(factory=trio.Event)

    def notify(self):
        """Wake the streams that wait for a change of this answer."""
        self.changed.set()
        self.changed = trio.Event()

    def add_token(self, answer_tokens):
        """Generate the next token; set the finish reason on the last one."""
        self.tokens.append(self.writer.next_token())
        count = self.first_offset + len(self.tokens)
        if answer_tokens and count >= answer_tokens:
            self.finish_reason = 'stop'
        elif count >= self.max_tokens:
            self.finish_reason = 'length'
        self.notify()


class Decoding:
    """Generates one token per step for each request with its KV imported."""

    def __init__(self, engine):
        self._engine = engine
        self._settings = engine.settings
        self._answers = {}
        self._work_available = trio.Event()
        self._nursery = None
        self._stream_counts = {}
        self._imports = 0

    queued_count = 0

    def start(self, nursery, app):
        """Start to generate tokens in a nursery."""
        self._nursery = nursery
        nursery.start_soon(self._run_steps)

    def state(self):
        """Return counters and token counts for tests."""
        return {
            'started': self._stream_counts,
            'imports': self._imports,
            'token_counts': {
                name: len(answer.tokens)
                for name, answer in self._answers.items()
            },
        }

    async def complete(self, request, body, request_id, prompt, max_tokens):
        """Start a request, or stream it again if it still holds memory."""
        offset = int(body.get('resume_offset', 0))
        answer = self._answers.get(request_id)
        if answer is not None:
            await self._stream(request, answer, offset)
            return
        if 'kv_transfer_params' not in body:
            await request.refuse(409, 'kv-evicted')
            return
        tokens = core.estimate_tokens(prompt) + max_tokens - offset
        refusal = self._engine.admit(request_id, tokens)
        if refusal:
            status = 409 if refusal == 'cancelled' else 503
            await request.refuse(status, refusal)
            return
        answer = Answer(
            request_id=request_id,
            max_tokens=max_tokens,
            first_offset=offset,
            writer=_text.Writer(prompt),
        )
        self._answers[request_id] = answer
        import_opened = trio.Event()
        self._nursery.start_soon(
            self._import_kv, answer, body['kv_transfer_params'], import_opened
        )
        await import_opened.wait()
        if answer.failed_kind or answer.dropped:
            await request.refuse(409, answer.failed_kind or 'cancelled')
            return
        await self._stream(request, answer, offset)

    def cancel(self, request_id):
        """Drop the state of a request and free its memory."""
        answer = self._answers.get(request_id)
        if answer is not None:
            self._drop(answer)

    def _drop(self, answer):
        answer.dropped = True
        answer.scope.cancel()
        self._answers.pop(answer.request_id, None)
        self._engine.release(answer.request_id)
        answer.notify()

    async def _import_kv(self, answer, params, import_opened):
        with answer.scope:
            try:
                await self._fetch_kv(answer, params, import_opened)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                answer.failed_kind = 'transfer-failed'
            except httpcore.TimeoutException:
                answer.failed_kind = 'transfer-failed'
        import_opened.set()
        if answer.dropped:
            return
        if answer.failed_kind:
            self._drop(answer)
            return
        answer.imported = True
        self._imports += 1
        answer.notify()
        self._work_available.set()

    async def _fetch_kv(self, answer, params, import_opened):
        url = (
            f'http://{params["remote_host"]}:{params["remote_port"]}'
            f'/kv/{params["remote_block_ids"][0]}'
        )
        timeouts = {'connect': 2.0, 'read': IMPORT_TIMEOUT_S}
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream(
                'GET', url, extensions={'timeout': timeouts}
            ) as response:
                if response.status != 200:
                    answer.failed_kind = 'kv-evicted'
                    return
                import_opened.set()
                async for _ in response.aiter_stream():
                    pass

    async def _run_steps(self):
        while True:
            batch = [
                answer
                for answer in self._answers.values()
                if answer.imported and not answer.finish_reason
            ]
            if not batch:
                self._work_available = trio.Event()
                await self._work_available.wait()
                continue
            settings = self._settings
            step_ms = settings.step_ms + settings.step_ms_per_request * len(
                batch
            )
            await trio.sleep(step_ms / 1000)
            for answer in batch:
                if not answer.dropped:
                    answer.add_token(settings.answer_tokens)

    async def _stream(self, request, answer, offset):
        self._stream_counts[answer.request_id] = (
            self._stream_counts.get(answer.request_id, 0) + 1
        )
        answer.streams += 1
        await request.begin(200, 'text/event-stream')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, request, nursery.cancel_scope
            )
            await self._write_events(request, answer, offset)
            nursery.cancel_scope.cancel()
        answer.streams -= 1
        if not answer.dropped:
            self._nursery.start_soon(self._drop_if_detached, answer)

    async def _cancel_on_disconnect(self, request, scope):
        await request.wait_disconnected()
        scope.cancel()

    async def _drop_if_detached(self, answer):
        await trio.sleep(self._settings.detached_keep_ms / 1000)
        if answer.streams == 0 and not answer.dropped:
            self._drop(answer)

    async def _write_events(self, request, answer, offset):
        """Write a stream's events; free the memory before the last event."""
        while not answer.imported and not answer.dropped:
            await answer.changed.wait()
        if answer.imported:
            await request.write(encode_event({'imported': True}))
        position = offset - answer.first_offset
        window = []
        while not answer.dropped:
            changed = answer.changed
            finished = answer.finish_reason is not None
            while position < len(answer.tokens):
                window.append(self._make_event(answer, position))
                position += 1
                if len(window) > self._settings.disorder_window:
                    await self._write_window(request, window)
            if finished:
                await self._write_window(request, window)
                self._drop(answer)
                await request.write(b'data: [DONE]\n\n', more=False)
                return
            await changed.wait()
        kind = answer.failed_kind or 'cancelled'
        await request.write(encode_event({'error': {'kind': kind}}))
        await request.write(b'', more=False)

    async def _write_window(self, request, window):
        if self._settings.disorder_window:
            window.reverse()
            window.extend(window[-1:])
        for event in window:
            await request.write(encode_event(event))
        window.clear()

    def _make_event(self, answer, position):
        is_last = position == len(answer.tokens) - 1
        reason = answer.finish_reason if is_last else None
        choice = {'text': answer.tokens[position], 'finish_reason': reason}
        return {
            'offset': answer.first_offset + position,
            'choices': [choice],
        }


def encode_event(value):
    """Return a value as the bytes of a server-sent event."""
    return f'data: {json.dumps(value)}\n\n'.encode()
