"""Commands that the state machine of a model request returns."""

import attrs

from bluebellthread.core import _messages
from bluebellthread.core import _model

RETRY_AFTER_MS = 1000
"""Retry delay for a refused caller if the refusal sets no other delay."""

RAN_NOT = 'not-run'
RAN_UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class AskPermit:
    """Request a permit from the pool owner."""

    request: _messages.PermitRequest


@attrs.frozen(kw_only=True)
class WithdrawPermitRequest:
    """Withdraw the pending permit request from the pool owner."""


@attrs.frozen(kw_only=True)
class StartPrefill:
    """Start the prefill of a prompt on the permit's prefill server."""

    run: int
    permit: _model.Permit
    prompt: str


@attrs.frozen(kw_only=True)
class StartDecode:
    """Start the decode of an answer on the permit's decode server.

    Parameters
    ----------
    prompt : str
        The caller's prompt plus the text of the answer sent so far.
    resume_offset : int
        Offset, in tokens, of the first piece that the decode server must send.
    transfer : object
        The value from `PrefillEnded` that locates the KV cache, or None to
        resume a request that the decode server still holds.
    """

    run: int
    permit: _model.Permit
    prompt: str
    resume_offset: int
    transfer: object


@attrs.frozen(kw_only=True)
class StopRun:
    """Cancel a call to a backend server."""

    run: int


@attrs.frozen(kw_only=True)
class EmitPiece:
    """Send the next piece of the answer to the caller."""

    piece: object


@attrs.frozen(kw_only=True)
class FinishAnswer:
    """End the caller's answer after its last piece."""

    finish_reason: str


@attrs.frozen(kw_only=True)
class RefuseAnswer:
    """End the caller's request without a complete answer.

    Parameters
    ----------
    kind : str
        Reason of the refusal.
    ran : str
        ``'not-run'`` if no engine has started the request, otherwise
        ``'unknown'``.
    retry_after_ms : int
        Delay after which the caller may retry.
    """

    kind: str
    ran: str
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class TellScheduler:
    """Send a `PermitProgressed` or `PermitReleased` to the scheduler.

    Parameters
    ----------
    permit : Permit
        The permit that the message refers to. It names the engines to
        contact directly if the scheduler cannot be reached.
    """

    message: object
    permit: _model.Permit


@attrs.frozen(kw_only=True)
class CountWastedPrefill:
    """Count prompt tokens whose prefill was not used by a decode."""

    tokens: int
    kind: str


@attrs.frozen(kw_only=True)
class CountRetry:
    """Count a retry in the metrics.

    Parameters
    ----------
    kind : str
        The failure that caused the retry.
    """

    kind: str


def report_progress(permit, stage):
    """Return the command that reports a permit's stage to the scheduler."""
    message = _messages.PermitProgressed(
        permit_id=permit.permit_id, pool=permit.pool, stage=stage
    )
    return TellScheduler(message=message, permit=permit)


def report_release(permit, *, clean):
    """Return the command that reports a permit's release to the scheduler.

    Parameters
    ----------
    permit : Permit
        The permit to release.
    clean : bool
        True if the engines hold nothing of the request any more; False if
        the scheduler has to cancel it at the engines.
    """
    message = _messages.PermitReleased(
        permit_id=permit.permit_id, pool=permit.pool, clean=clean
    )
    return TellScheduler(message=message, permit=permit)
