"""Stand-ins of model workers in the stages prefill and decode."""

import asyncio
import json
import secrets
import time

import deployment as site

HANDLE_S = 0.5
"""How long a prefill worker keeps a handle."""

PREFILL_S = 0.09
"""A prompt of 3,000 tokens at 33.3 tokens a millisecond."""

EVENTS = 30
EVENT_PAUSE_S = 0.04
"""Events of an answer: 18 tokens each, at 2.2 ms a token."""


class Engine(site.Worker):
    """A model worker of one stage.

    Parameters
    ----------
    stage : str
        ``'prefill'`` or ``'decode'``.
    handles : dict
        Handles of all workers of the service, with their ends.
    """

    def __init__(self, *arguments, stage, handles, **options):
        super().__init__(*arguments, slots=48, **options)
        self.stage = stage
        self.handles = handles
        self.lapses = False
        self.extra_share = 0.0
        self._extra_credit = 0.0
        self._late_copies = {}
        self.spoiled_share = 0.0
        self._spoiled_credit = 0.0

    def entry(self, **changes):
        """Return the worker's entry in the store."""
        return {**super().entry(), 'stage': self.stage, **changes}

    async def handle(self, message, reader, writer):
        """Serve a call, or reject it as the pages tell."""
        late_copy = self._late_copies.pop(writer, None)
        line, headers, _ = message
        method, path, _ = line.split()
        request_id = headers.get('x-request-attempt-id', '')
        echo = [('X-Request-Attempt-Id', request_id)]
        if late_copy is not None:
            self.record.note(
                f'{self.name} sends its last answer again, before that to '
                f'{request_id}'
            )
            writer.write(late_copy)
            await writer.drain()
        if headers.get('x-expect-instance', self.name) != self.name:
            await self._send(writer, 421, [*echo, ('X-Not-Executed', 1)])
        elif method == 'DELETE':
            self.handles.pop(path.rpartition('/')[2], None)
            await self._send(writer, 200)
        elif headers.get('x-serving-stage') == 'prefill':
            await self._prefill(request_id, echo, writer)
        elif self.stage != 'decode':
            await self._send(writer, 421, [*echo, ('X-Not-Executed', 1)])
        else:
            await self._decode(request_id, headers, echo, writer)

    async def _send(self, writer, status, headers=(), body=b''):
        writer.write(site.make_answer(status, headers, body))
        await writer.drain()

    async def _prefill(self, request_id, echo, writer):
        if self.stage != 'prefill':
            await self._send(writer, 421, [*echo, ('X-Not-Executed', 1)])
            return
        await asyncio.sleep(PREFILL_S)
        handle = secrets.token_hex(6)
        if not self.lapses:
            self.handles[handle] = time.monotonic() + HANDLE_S
        self._spoiled_credit += self.spoiled_share
        if self._spoiled_credit >= 1:
            self._spoiled_credit -= 1
            handle = handle[:5] + ' ' + handle[6:]
            self.record.note(f'{self.name} spoils a byte of {handle!r}')
        body = json.dumps({'handle': handle, 'tokens': 3000, 'version': 1})
        await self._send(writer, 200, echo, body.encode())

    async def _decode(self, request_id, headers, echo, writer):
        self._extra_credit += self.extra_share
        source = headers.get('x-kv-source')
        if source is None:
            await asyncio.sleep(2 * PREFILL_S)
        else:
            end_s = self.handles.pop(source.rpartition('/')[2], 0)
            if end_s < time.monotonic():
                await self._refuse(request_id, echo, writer)
                return
        await self._stream(request_id, echo, writer)

    async def _refuse(self, request_id, echo, writer):
        """Reject a request whose memory can't be had; it has not run."""
        self.record.note(f'{self.name} rejects {request_id}: no handle')
        answer = site.make_answer(503, [*echo, ('X-Not-Executed', 1)])
        if self._extra_credit >= 1:
            self._extra_credit -= 1
            self._late_copies[writer] = answer
        writer.write(answer)
        await writer.drain()

    async def _stream(self, request_id, echo, writer):
        self.record.note(f'{self.name} runs {request_id}')
        self.run_ids.append(request_id)
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'X-Request-Attempt-Id: {request_id}',
            f'X-Server-Seal: seal.{self.name}',
            f'X-Instance-Load: {self.running_count},0,{self.slots}',
        ]
        self.running_count += 1
        try:
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
            for number in range(1, EVENTS + 1):
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        except ConnectionError:
            self.record.note(f'{self.name}: the channel of {request_id} ended')
            raise
        finally:
            self.running_count -= 1
