"""Parsing and validation of callers' completion requests."""

import json

import attrs

from bluebellthread.daemon import _http

ANSWER_MAX_TOKENS = 100_000
"""Highest ``max_tokens`` that a caller may request."""

CHAT_PATH = '/v1/chat/completions'
PATHS = ('/v1/completions', CHAT_PATH)


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """Validated completion request of a caller.

    Parameters
    ----------
    model, prompt : str
        Name of the model, and the text to complete.
    output_tokens : int
        Highest number of tokens in the answer; 0 if the caller set no limit.
    stream : bool
        Whether the answer is streamed piece by piece.
    chat : bool
        Whether the request came in on the chat completions path.
    """

    model: str
    prompt: str
    output_tokens: int
    stream: bool
    chat: bool


def parse_completion_request(request, configuration):
    """Parse an HTTP request as a `CompletionRequest` or raise `Refusal`."""
    if request.path not in PATHS:
        raise _refuse(f'use {" or ".join(PATHS)}', status=404)
    if request.method != 'POST':
        raise _refuse('use POST', status=405)
    fields = _parse_object(request.body)
    model = fields.get('model')
    if model not in [known.name for known in configuration.models]:
        raise _refuse(f'unknown model {model!r}', status=404)
    chat = request.path == CHAT_PATH
    prompt = _join_messages(fields) if chat else fields.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise _refuse(
            'give messages with text contents'
            if chat
            else 'give a prompt, a string that is not empty'
        )
    return CompletionRequest(
        model=model,
        prompt=prompt,
        output_tokens=_read_output_tokens(fields),
        stream=bool(fields.get('stream', False)),
        chat=chat,
    )


def read_deadline_ms(request, values, now_ms):
    """Return the answer's deadline, at most the configured timeout from now.

    The caller may set a shorter timeout in the X-Request-Timeout-Ms header.
    """
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


def _parse_object(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refuse(f'send JSON: {error}') from error
    if not isinstance(fields, dict):
        raise _refuse('send a JSON object')
    return fields


def _read_output_tokens(fields):
    output_tokens = fields.get('max_tokens')
    if output_tokens is None:
        return 0
    is_number = type(output_tokens) is int
    if not is_number or not 1 <= output_tokens <= ANSWER_MAX_TOKENS:
        raise _refuse(f'give max_tokens from 1 to {ANSWER_MAX_TOKENS}')
    return output_tokens


def _join_messages(fields):
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


def _refuse(remedy, *, status=400):
    return _http.Refusal(status=status, kind='bad-request', remedy=remedy)
