"""The registry of engine adapters, and what an adapter answers."""

import attrs

from bluebellthread import core

engine_adapters = core.Registry('engine adapter')


class EngineError(core.BluebellthreadError):
    """An engine did not do what it was asked.

    Parameters
    ----------
    kind : str
        ``'unreachable'``, ``'refused'``, ``'kv-evicted'``,
        ``'broken-stream'`` or ``'permit-lost'``.
    server : str
        The backend server.

    Examples
    --------
    >>> EngineError(kind='refused', server='d1', detail='full').kind
    'refused'
    """

    def __init__(self, *, kind, server, detail):
        self.kind = kind
        self.server = server
        super().__init__(
            f'{kind} at backend server {server}: {detail}; '
            'try another backend server'
        )


@attrs.frozen(kw_only=True)
class Prefilled:
    """A prompt has been read; its KV cache waits for a decode server.

    Parameters
    ----------
    transfer : dict
        The engine's own transfer parameters, passed on unread.
    prompt_tokens, cached_tokens : int
        Length of the prompt, and how much of it was cached.
    """

    transfer: dict
    prompt_tokens: int
    cached_tokens: int


@attrs.frozen(kw_only=True)
class Imported:
    """The KV cache has arrived at the decode server."""


@attrs.frozen(kw_only=True)
class Generation:
    """What a request asks of the engines."""

    model: str
    prompt: str
    output_tokens: int
    priority: int = 0
    resume_offset: int = 0
