"""What a model request's state machine asks for."""

import attrs

from bluebellthread.core import _messages
from bluebellthread.core import _model

RETRY_AFTER_MS = 1000
"""When a refused caller should come back, where nothing better is known."""

RAN_NOT = 'not-run'
RAN_UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class AskPermit:
    """Ask the owner of the pool."""

    request: _messages.PermitRequest


@attrs.frozen(kw_only=True)
class StartPrefill:
    """Have a prompt read."""

    run: int
    permit: _model.Permit
    prompt: str


@attrs.frozen(kw_only=True)
class StartDecode:
    """Have the answer written from an offset on.

    Parameters
    ----------
    transfer : object
        From `PrefillEnded`; None to go on with what the server holds.
    """

    run: int
    permit: _model.Permit
    prompt: str
    resume_offset: int
    transfer: object


@attrs.frozen(kw_only=True)
class StopRun:
    """Give up a call to a backend server."""

    run: int


@attrs.frozen(kw_only=True)
class EmitPiece:
    """Give the caller the next piece."""

    piece: object


@attrs.frozen(kw_only=True)
class FinishAnswer:
    """End the caller's answer, which is whole."""

    finish_reason: str


@attrs.frozen(kw_only=True)
class RefuseAnswer:
    """End the caller's request without a whole answer.

    Parameters
    ----------
    kind : str
        Why.
    ran : str
        ``'not-run'`` or ``'unknown'``.
    """

    kind: str
    ran: str
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class TellScheduler:
    """Send a `PermitProgressed` or `PermitReleased`.

    Parameters
    ----------
    permit : Permit
        What the message is about, for the way to the engines if the
        scheduler can't be reached.
    """

    message: object
    permit: _model.Permit


@attrs.frozen(kw_only=True)
class CountWastedPrefill:
    """Count prompt tokens that were computed for nothing."""

    tokens: int
    kind: str


@attrs.frozen(kw_only=True)
class CountRetry:
    """Count a retry.

    Parameters
    ----------
    kind : str
        What failed.
    """

    kind: str


def tell_progress(permit, stage):
    """Return the command that tells of a permit's stage."""
    message = _messages.PermitProgressed(
        permit_id=permit.permit_id, pool=permit.pool, stage=stage
    )
    return TellScheduler(message=message, permit=permit)


def tell_release(permit, *, clean):
    """Return the command that gives a permit back."""
    message = _messages.PermitReleased(
        permit_id=permit.permit_id, pool=permit.pool, clean=clean
    )
    return TellScheduler(message=message, permit=permit)
