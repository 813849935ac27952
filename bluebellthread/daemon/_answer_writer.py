"""Sends a caller its answer, as a stream of pieces or in one body."""

import json
import time

import trio

from bluebellthread.daemon import _http

MAX_UNREAD_PIECES = 8192
"""Maximum number of pieces queued for a slow caller; one more ends its
request."""


class AnswerWriter:
    """Sends pieces to the caller in the format that it asked for.

    `add` queues pieces without waiting, so that a slow caller does not
    hold engine memory; `run` sends them.

    Parameters
    ----------
    responder : Responder
        Sends the HTTP response.
    completion_request : CompletionRequest
        The caller's request, parsed.
    """

    def __init__(self, *, responder, completion_request):
        self._responder = responder
        self._completion_request = completion_request
        self._texts = []
        self._created_s = int(time.time())
        self._send, self._receive = trio.open_memory_channel(MAX_UNREAD_PIECES)
        self._refusal = None
        self._finish_reason = ''
        self._head, self._tail = self._make_event_frame()

    def add(self, piece):
        """Queue the next piece; return False if the queue is full."""
        if not self._completion_request.stream:
            self._texts.append(piece.text)
            return True
        try:
            self._send.send_nowait(piece)
        except trio.WouldBlock:
            return False
        return True

    def finish(self, finish_reason):
        """End the answer after the pieces queued so far."""
        self._finish_reason = finish_reason
        self._send.close()

    def refuse(self, refusal):
        """End the answer with a refusal after the pieces queued so far."""
        self._refusal = refusal
        self._send.close()

    async def run(self):
        """Send the whole answer; return the refusal that ended it, if any."""
        async for piece in self._receive:
            await self._write(self._encode_queued(piece))
        if self._refusal is not None:
            await self._end_with_refusal()
        elif self._completion_request.stream:
            await self._responder.finish(b'data: [DONE]\n\n')
        else:
            await self._answer_whole()
        return self._refusal

    def _encode_queued(self, piece):
        """Encode a piece and all pieces queued behind it as one string."""
        texts = [self._encode(piece)]
        while True:
            try:
                texts.append(self._encode(self._receive.receive_nowait()))
            except (trio.WouldBlock, trio.EndOfChannel):
                return ''.join(texts)

    async def _write(self, text):
        if not self._responder.started:
            await self._responder.start(
                200, [('content-type', 'text/event-stream')]
            )
        await self._responder.write(text.encode())

    async def _end_with_refusal(self):
        """End a started stream with the refusal as its last event.

        If no byte has been sent, the gateway answers with the refusal.
        """
        if self._responder.started:
            fields = _http.describe_refusal(
                self._refusal, self._responder.request_id
            )
            line = f'data: {json.dumps(fields, ensure_ascii=False)}\n\n'
            await self._responder.finish(line.encode())

    async def _answer_whole(self):
        text = ''.join(self._texts)
        choice = {'index': 0}
        if self._completion_request.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        choice['finish_reason'] = self._finish_reason
        kind = (
            'chat.completion'
            if self._completion_request.chat
            else 'text_completion'
        )
        fields = {**self._describe(kind), 'choices': [choice]}
        await self._responder.answer_json(200, fields)

    def _describe(self, kind):
        return {
            'id': self._responder.request_id,
            'object': kind,
            'created': self._created_s,
            'model': self._completion_request.model,
        }

    def _make_event_frame(self):
        """Return the JSON of an event before and after the text of a piece."""
        if self._completion_request.chat:
            kind = 'chat.completion.chunk'
            start = '{"role": "assistant", "content": '
            end = '}'
            key = 'delta'
        else:
            kind = 'text_completion'
            start = end = ''
            key = 'text'
        fields = json.dumps(self._describe(kind), ensure_ascii=False)
        head = (
            f'data: {fields[:-1]}, "choices": [{{"index": 0, "{key}": {start}'
        )
        return head, f'{end}, "finish_reason": '

    def _encode(self, piece):
        text = json.dumps(piece.text, ensure_ascii=False)
        reason = f'"{piece.finish_reason}"' if piece.finish_reason else 'null'
        return f'{self._head}{text}{self._tail}{reason}}}]}}\n\n'
