"""Model requests: permit, prefill, transfer, decode, answer."""

import json
import time

import attrs
import httpcore
import trio

from bluebellthread import core
from bluebellthread.core import _prefix
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http
from bluebellthread.daemon import _peers
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events

LONGEST_ANSWER_TOKENS = 100_000
RETRY_AFTER_MS = 1000
MOST_ENGINE_CONNECTIONS = 1000
CHAT_PATH = '/v1/chat/completions'


@attrs.frozen(kw_only=True)
class Question:
    """A caller's completion request, checked."""

    model: str
    prompt: str
    output_tokens: int
    stream: bool
    chat: bool


class ModelPath:
    """Serves ``/v1/completions`` and ``/v1/chat/completions``.

    Parameters
    ----------
    vm, incarnation, data_centre : str, int, str
        This process.
    links : PeerLinks
        To reach schedulers.
    fleet : object
        Has ``configuration`` and ``view``, the latest of each.
    adapter : str
        Name in the registry of engine adapters.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    """

    def __init__(
        self, *, vm, incarnation, data_centre, links, fleet, adapter, tracer
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._links = links
        self._fleet = fleet
        self._tracer = tracer
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MOST_ENGINE_CONNECTIONS, retries=0
        )
        self._engine = engines.engine_adapters.get(adapter)(pool=self._pool)

    async def close(self):
        """Close the connections to engines."""
        await self._pool.aclose()

    async def serve(self, exchange):
        """Answer one exchange."""
        configuration = self._fleet.configuration
        question = parse_question(exchange.request, configuration)
        values = core.resolve(
            configuration,
            data_centre=self._data_centre,
            serves=question.model,
            caller=exchange.caller,
        )
        now_ms = _clock.read_clock_ms()
        request = core.PermitRequest(
            request_id=exchange.request_id,
            gateway=self._vm,
            gateway_incarnation=self._incarnation,
            caller=exchange.caller,
            pool=core.PoolKey(
                serves=question.model, data_centre=self._data_centre
            ),
            prompt_tokens=core.estimate_tokens(question.prompt),
            output_tokens=question.output_tokens,
            deadline_ms=read_deadline_ms(exchange.request, values, now_ms),
            first_output_deadline_ms=now_ms + values.first_output_target_ms,
            priority=values.priority,
            prefix_hashes=_prefix.hash_prefixes(question.prompt),
        )
        timeout_s = (request.deadline_ms - now_ms) / _http.MS_PER_S
        with trio.move_on_after(timeout_s) as scope:
            await self._serve_with_permit(exchange, question, request)
        if scope.cancelled_caught:
            raise _http.Refusal(
                status=504,
                kind='deadline',
                remedy='allow more time',
                run=_http.RUN_UNKNOWN,
                retry_after_ms=RETRY_AFTER_MS,
            )

    async def _serve_with_permit(self, exchange, question, request):
        with self._tracer.span(
            'scheduler', parent=exchange.traceparent
        ) as span:
            traceparent = self._tracer.traceparent_of(span)
            permit = await self._ask_permit(request, traceparent)
        clean = False
        try:
            await self._run_on_engines(exchange, question, permit)
            clean = True
        except engines.EngineError as error:
            emit(
                events.REQUEST_FAILED,
                request_id=exchange.request_id,
                hop=error.server,
                error=error,
            )
            raise _http.Refusal(
                status=502,
                kind=error.kind,
                remedy='send the request again',
                run=_http.RUN_UNKNOWN,
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await self._tell_scheduler(
                    permit,
                    core.PermitReleased(
                        permit_id=permit.permit_id,
                        pool=permit.pool,
                        clean=clean,
                    ),
                )

    async def _ask_permit(self, request, traceparent):
        owner = self._owner_of(request.pool)
        if owner is None:
            raise _refuse_permit('no-backend', RETRY_AFTER_MS)
        try:
            answer = await self._links.call(
                owner,
                request,
                deadline_ms=request.deadline_ms,
                traceparent=traceparent,
            )
        except _peers.PeerUnreachableError as error:
            raise _refuse_permit('no-scheduler', RETRY_AFTER_MS) from error
        if isinstance(answer, core.PermitGranted):
            return answer.permit
        if isinstance(answer, core.PermitRefused):
            raise _refuse_permit(answer.kind, answer.retry_after_ms)
        raise _refuse_permit(answer.kind, RETRY_AFTER_MS)

    def _owner_of(self, pool):
        view = self._fleet.view
        members = view.in_data_centre(pool.data_centre)
        name = core.choose_owner(pool.text(), [m.name for m in members])
        return view.find(name) if name else None

    async def _tell_scheduler(self, permit, message):
        owner = self._owner_of(permit.pool)
        if owner is None:
            return
        try:
            await self._links.send(owner, message)
        except _peers.PeerUnreachableError as error:
            emit(events.PEER_UNREACHABLE, peer=owner.name, error=error)

    async def _tell_stage(self, permit, stage):
        progressed = core.PermitProgressed(
            permit_id=permit.permit_id, pool=permit.pool, stage=stage
        )
        await self._tell_scheduler(permit, progressed)

    async def _run_on_engines(self, exchange, question, permit):
        generation = engines.Generation(
            model=question.model,
            prompt=question.prompt,
            output_tokens=question.output_tokens,
        )
        prefill_server = self._find_server(permit.prefill_server)
        decode_server = self._find_server(permit.decode_server)
        with self._tracer.span('prefill', parent=exchange.traceparent) as span:
            prefilled = await self._engine.prefill(
                prefill_server,
                permit.permit_id,
                generation,
                traceparent=self._tracer.traceparent_of(span),
            )
        await self._tell_stage(permit, 'transferring')
        writer = AnswerWriter(exchange, question)
        with self._tracer.span('decode', parent=exchange.traceparent) as span:
            async for item in self._engine.decode(
                decode_server,
                permit.permit_id,
                generation,
                prefilled.transfer,
                traceparent=self._tracer.traceparent_of(span),
            ):
                if isinstance(item, engines.Piece):
                    await writer.write(item)
                elif isinstance(item, engines.Imported):
                    await self._tell_stage(permit, 'decoding')
        await writer.finish()

    def _find_server(self, name):
        for server in self._fleet.configuration.backend_servers:
            if server.name == name:
                return server
        raise engines.EngineError(
            kind='unreachable', server=name, detail='not configured'
        )


class AnswerWriter:
    """Turns pieces into the answer that the caller asked for."""

    def __init__(self, exchange, question):
        self._responder = exchange.responder
        self._question = question
        self._texts = []
        self._finish_reason = ''
        self._created_s = int(time.time())

    async def write(self, piece):
        """Take the next piece."""
        self._finish_reason = piece.finish_reason or self._finish_reason
        if not self._question.stream:
            self._texts.append(piece.text)
            return
        if not self._responder.started:
            await self._responder.start(
                200, [('content-type', 'text/event-stream')]
            )
        fields = self._describe(piece.text, piece.finish_reason, chunk=True)
        line = json.dumps(fields, ensure_ascii=False)
        await self._responder.write(f'data: {line}\n\n'.encode())

    async def finish(self):
        """End the answer."""
        if self._question.stream:
            await self._responder.finish(b'data: [DONE]\n\n')
            return
        text = ''.join(self._texts)
        await self._responder.answer_json(
            200, self._describe(text, self._finish_reason, chunk=False)
        )

    def _describe(self, text, finish_reason, *, chunk):
        choice = {'index': 0, 'finish_reason': finish_reason or None}
        if self._question.chat:
            key = 'delta' if chunk else 'message'
            choice[key] = {'role': 'assistant', 'content': text}
            kind = 'chat.completion'
        else:
            choice['text'] = text
            kind = 'text_completion'
        if chunk and self._question.chat:
            kind += '.chunk'
        return {
            'id': self._responder.request_id,
            'object': kind,
            'created': self._created_s,
            'model': self._question.model,
            'choices': [choice],
        }


def parse_question(request, configuration):
    """Return the checked question in a request, or raise `Refusal`."""
    if request.method != 'POST':
        raise _bad_question('use POST', status=405)
    chat = request.path == CHAT_PATH
    try:
        fields = json.loads(request.body)
    except ValueError as error:
        raise _bad_question(f'send JSON: {error}') from error
    if not isinstance(fields, dict):
        raise _bad_question('send a JSON object')
    model = fields.get('model')
    if model not in [known.name for known in configuration.models]:
        raise _bad_question(f'unknown model {model!r}', status=404)
    prompt = _chat_prompt(fields) if chat else fields.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise _bad_question('give a prompt, a string that is not empty')
    output_tokens = fields.get('max_tokens')
    if output_tokens is None:
        output_tokens = configuration.defaults.output_tokens
    if (
        not isinstance(output_tokens, int)
        or isinstance(output_tokens, bool)
        or not 1 <= output_tokens <= LONGEST_ANSWER_TOKENS
    ):
        raise _bad_question(
            f'give max_tokens from 1 to {LONGEST_ANSWER_TOKENS}'
        )
    return Question(
        model=model,
        prompt=prompt,
        output_tokens=output_tokens,
        stream=bool(fields.get('stream', False)),
        chat=chat,
    )


def read_deadline_ms(request, values, now_ms):
    """Return when the answer is due, from the header or the default."""
    text = request.header('x-request-timeout-ms')
    if not text:
        return now_ms + values.answer_timeout_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise _http.Refusal(
            status=400,
            kind='bad-timeout',
            remedy='give X-Request-Timeout-Ms as milliseconds above 0',
        )
    return now_ms + min(int(text), values.answer_timeout_ms)


def _chat_prompt(fields):
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        return None
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        content = message.get('content')
        if not isinstance(content, str):
            return None
        lines.append(f'{message.get("role", "user")}: {content}')
    return '\n'.join(lines)


def _bad_question(remedy, *, status=400):
    return _http.Refusal(status=status, kind='bad-request', remedy=remedy)


def _refuse_permit(kind, retry_after_ms):
    return _http.Refusal(
        status=503,
        kind=kind,
        remedy='come back after the time in Retry-After',
        retry_after_ms=retry_after_ms,
    )
