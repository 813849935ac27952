"""The decode role of a stand-in engine: import, batch, stream."""

import json

import attrs
import httpcore
import trio

from bluebellthread import core

from standin import _text

IMPORT_TIMEOUT_S = 30.0
"""Seconds without a byte after which an import has failed."""


@attrs.define(kw_only=True)
class Answer:
    """One request that holds memory here, with its tokens so far."""

    request_id: str
    max_tokens: int
    first_offset: int
    writer: _text.Writer
    tokens: list = attrs.field(factory=list)
    imported: bool = False
    finish_reason: str | None = None
    gone: bool = False
    failed_kind: str = ''
    streams: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    changed: trio.Event = attrs.field(factory=trio.Event)

    def notify(self):
        """Wake the streams that wait for more."""
        self.changed.set()
        self.changed = trio.Event()

    def add_token(self, answer_tokens):
        """Write one more token."""
        self.tokens.append(self.writer.next_token())
        count = self.first_offset + len(self.tokens)
        if answer_tokens and count >= answer_tokens:
            self.finish_reason = 'stop'
        elif count >= self.max_tokens:
            self.finish_reason = 'length'
        self.notify()


class Decoding:
    """Holds requests and writes a token of each at every step."""

    def __init__(self, engine):
        self._engine = engine
        self._settings = engine.settings
        self._answers = {}
        self._work = trio.Event()
        self._nursery = None
        self._started = {}
        self._imports = 0

    queued_count = 0

    def start(self, nursery, app):
        """Begin to write tokens."""
        self._nursery = nursery
        nursery.start_soon(self._run_steps)

    def state(self):
        """Return what tests ask about."""
        return {
            'started': self._started,
            'imports': self._imports,
            'token_counts': {
                name: len(answer.tokens)
                for name, answer in self._answers.items()
            },
        }

    async def complete(self, request, body, request_id, prompt, max_tokens):
        """Start a request, or go on with one that is held here."""
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
        opened = trio.Event()
        self._nursery.start_soon(
            self._import_kv, answer, body['kv_transfer_params'], opened
        )
        await opened.wait()
        if answer.failed_kind or answer.gone:
            await request.refuse(409, answer.failed_kind or 'cancelled')
            return
        await self._stream(request, answer, offset)

    def cancel(self, request_id):
        """Drop whatever is held for an id."""
        answer = self._answers.get(request_id)
        if answer is not None:
            self._drop(answer)

    def _drop(self, answer):
        answer.gone = True
        answer.scope.cancel()
        self._answers.pop(answer.request_id, None)
        self._engine.release(answer.request_id)
        answer.notify()

    async def _import_kv(self, answer, params, opened):
        with answer.scope:
            try:
                await self._fetch_kv(answer, params, opened)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                answer.failed_kind = 'transfer-failed'
            except httpcore.TimeoutException:
                answer.failed_kind = 'transfer-failed'
        opened.set()
        if answer.gone:
            return
        if answer.failed_kind:
            self._drop(answer)
            return
        answer.imported = True
        self._imports += 1
        answer.notify()
        self._work.set()

    async def _fetch_kv(self, answer, params, opened):
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
                opened.set()
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
                self._work = trio.Event()
                await self._work.wait()
                continue
            own = self._settings
            step_ms = own.step_ms + own.step_ms_per_request * len(batch)
            await trio.sleep(step_ms / 1000)
            for answer in batch:
                if not answer.gone:
                    answer.add_token(own.answer_tokens)

    async def _stream(self, request, answer, offset):
        self._started[answer.request_id] = (
            self._started.get(answer.request_id, 0) + 1
        )
        answer.streams += 1
        await request.begin(200, 'text/event-stream')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._stop_when_gone, request, nursery.cancel_scope
            )
            await self._write_events(request, answer, offset)
            nursery.cancel_scope.cancel()
        answer.streams -= 1
        if not answer.gone:
            self._nursery.start_soon(self._drop_if_detached, answer)

    async def _stop_when_gone(self, request, scope):
        await request.wait_disconnected()
        scope.cancel()

    async def _drop_if_detached(self, answer):
        await trio.sleep(self._settings.detached_keep_ms / 1000)
        if answer.streams == 0 and not answer.gone:
            self._drop(answer)

    async def _write_events(self, request, answer, offset):
        """Write the events of a stream; memory is free before its end."""
        while not answer.imported and not answer.gone:
            await answer.changed.wait()
        if answer.imported:
            await request.write(encode_event({'imported': True}))
        position = offset - answer.first_offset
        window = []
        while not answer.gone:
            changed = answer.changed
            finished = answer.finish_reason is not None
            while position < len(answer.tokens):
                window.append(self._event_of(answer, position))
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

    def _event_of(self, answer, position):
        is_last = position == len(answer.tokens) - 1
        reason = answer.finish_reason if is_last else None
        choice = {'text': answer.tokens[position], 'finish_reason': reason}
        return {
            'offset': answer.first_offset + position,
            'choices': [choice],
        }


def encode_event(value):
    """Return one server-sent event."""
    return f'data: {json.dumps(value)}\n\n'.encode()
