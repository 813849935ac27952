"""What a model request's state machine takes in.

The numbers called ``run`` name one call to a backend server, so that what
an abandoned call still says is told from what the present one says.
Permits come and go as the messages of `_messages`.
"""

import attrs


@attrs.frozen(kw_only=True)
class AnswerAsked:
    """The caller's request has been read."""


@attrs.frozen(kw_only=True)
class SchedulerUnreachable:
    """Neither a scheduler nor the cautious share answered an ask."""

    attempt_number: int


@attrs.frozen(kw_only=True)
class PrefillEnded:
    """The prompt has been read and its KV cache can be fetched.

    Parameters
    ----------
    transfer : object
        What the decode server needs to fetch it, passed on unread.
    """

    run: int
    transfer: object
    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class RunFailed:
    """A call to a prefill or decode server has failed.

    Parameters
    ----------
    kind : str
        ``'refused'`` if nothing ran, ``'kv-evicted'``, ``'unreachable'``,
        ``'broken-stream'``, ``'cancelled'`` by id at the server, or
        ``'permit-lost'`` if it was not begun as this VM was paused.
    """

    run: int
    kind: str


@attrs.frozen(kw_only=True)
class ImportEnded:
    """The decode server has the whole KV cache."""

    run: int


@attrs.frozen(kw_only=True)
class PieceArrived:
    """A piece has come from the decode server, in whatever order."""

    run: int
    offset: int
    text: str
    finish_reason: str = ''


@attrs.frozen(kw_only=True)
class StreamEnded:
    """The decode server has closed its stream in good order."""

    run: int


@attrs.frozen(kw_only=True)
class CallerGone:
    """The caller has disconnected."""


@attrs.frozen(kw_only=True)
class Superseded:
    """The same request id has been asked again."""
