"""Events that the state machine of a model request handles.

The field ``run`` numbers the calls to backend servers. The state machine
ignores an event whose ``run`` is not that of the current call, such as a
late event of a cancelled call. Grants, refusals and cancellations of
permits arrive as the messages of `_messages`.
"""

import attrs


@attrs.frozen(kw_only=True)
class AnswerAsked:
    """Report that the gateway has read the caller's request."""


@attrs.frozen(kw_only=True)
class SchedulerUnreachable:
    """Report that no scheduler answered a permit request.

    This VM's cautious share, the part of the engines that it may use without
    a scheduler, had no room either.
    """

    attempt_number: int


@attrs.frozen(kw_only=True)
class PrefillEnded:
    """Report that a prefill has ended and its KV cache can be fetched.

    Parameters
    ----------
    transfer : object
        What the decode server needs to fetch the KV cache. It is passed on
        without being interpreted.
    prompt_tokens, cached_tokens : int
        Tokens of the prompt, and how many of them came from the prefix
        cache.
    """

    run: int
    transfer: object
    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class RunFailed:
    """Report that a call to a prefill or decode server has failed.

    Parameters
    ----------
    kind : str
        ``'refused'`` if the server ran nothing, ``'kv-evicted'`` if the KV
        cache was evicted before its transfer, ``'unreadable'`` if its answer
        can't be read, ``'unreachable'``, ``'broken-stream'``,
        ``'cancelled'`` if the server was told to cancel the request by its
        id, or ``'permit-lost'`` if the call was not started because the
        permit predates a pause of this VM.
    """

    run: int
    kind: str


@attrs.frozen(kw_only=True)
class ImportEnded:
    """Report that the decode server has imported the whole KV cache."""

    run: int


@attrs.frozen(kw_only=True)
class PieceArrived:
    """Report that a piece of the answer has arrived, maybe out of order."""

    run: int
    offset: int
    text: str
    finish_reason: str = ''


@attrs.frozen(kw_only=True)
class StreamEnded:
    """Report that the decode server has closed its stream normally."""

    run: int


@attrs.frozen(kw_only=True)
class CallerGone:
    """Report that the caller has disconnected."""


@attrs.frozen(kw_only=True)
class StopEnding:
    """Report that the planned stop of this VM has no time left."""


@attrs.frozen(kw_only=True)
class Superseded:
    """Report that a newer request with the same request id has arrived."""
