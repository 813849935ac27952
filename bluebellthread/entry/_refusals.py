"""Answers of the router's own."""

import json
import random

import attrs

_rng = random.SystemRandom()


@attrs.frozen(kw_only=True)
class OwnAnswer:
    """A final answer that no backend server gave.

    Parameters
    ----------
    status : int
    kind : str
        A short fixed word for logs and callers.
    remedy : str
        What the caller can do.
    retry_after_ms : int or None
        When to come back; set only where the request has not run.
    """

    status: int
    kind: str
    remedy: str
    retry_after_ms: int | None = None


def refuse_unconfigured():
    """Return the answer while no configuration is known."""
    return OwnAnswer(
        status=503,
        kind='no-configuration',
        remedy='ask again; this VM has just started',
        retry_after_ms=_spread(300),
    )


def refuse_unknown_route():
    """Return the answer where no route matches."""
    return OwnAnswer(
        status=404, kind='no-route', remedy='use a path that is configured'
    )


def refuse_not_run(kind, retry_after_ms):
    """Return the answer to a request that has not run."""
    return OwnAnswer(
        status=503,
        kind=kind,
        remedy='ask again after the time named',
        retry_after_ms=_spread(retry_after_ms),
    )


def fail_unknown(kind):
    """Return the answer where the request may have run."""
    return OwnAnswer(
        status=502,
        kind=kind,
        remedy='ask whether the request has run before repeating it',
    )


def fail_timeout():
    """Return the answer where the time has passed and it may have run."""
    return OwnAnswer(
        status=504,
        kind='timeout',
        remedy='ask whether the request has run before repeating it',
    )


async def send_own_answer(exchange, answer):
    """Send an answer of the router's own to a caller."""
    body = json.dumps({'kind': answer.kind, 'remedy': answer.remedy}).encode()
    headers = [(b'content-type', b'application/json')]
    if answer.retry_after_ms is not None:
        seconds = f'{answer.retry_after_ms / 1000:.3f}'
        headers.append((b'retry-after', seconds.encode()))
    await exchange.respond(answer.status, headers, body)


def _spread(base_ms):
    """Spread the return of callers that were refused together."""
    return int(base_ms * _rng.uniform(0.75, 1.25))
