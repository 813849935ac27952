"""Registry of engine adapters; parameters and results of their calls."""

import attrs

from bluebellthread import core

engine_adapters = core.Registry('engine adapter')


class EngineError(core.BluebellthreadError):
    """A call to an engine failed or was refused.

    Parameters
    ----------
    kind : str
        ``'unreachable'``, ``'refused'``, ``'unreadable'``,
        ``'kv-evicted'``, ``'broken-stream'``, ``'cancelled'`` or
        ``'permit-lost'``.
    server : str
        Name of the backend server.
    detail : str
        What went wrong.

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
class PrefillResult:
    """The result of a prefill, whose KV cache is ready for transfer.

    Parameters
    ----------
    transfer : dict
        The engine's transfer parameters, passed unchanged to the decode
        call.
    prompt_tokens, cached_tokens : int
        Number of prompt tokens, and how many of them were in the prefix
        cache.
    """

    transfer: dict
    prompt_tokens: int
    cached_tokens: int


@attrs.frozen(kw_only=True)
class CacheImported:
    """Yielded once the decode server has received the KV cache."""


@attrs.frozen(kw_only=True)
class GenerationParameters:
    """The parameters of a request's prefill and decode calls."""

    model: str
    prompt: str
    output_tokens: int
    priority: int = 0
    resume_offset: int = 0
