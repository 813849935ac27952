"""Answers that the router gives without a backend server's answer."""

import json
import random

import attrs

_rng = random.SystemRandom()

BACKOFF_SHARE = 3
"""Callers wait no longer than this part of the time that they have left before
they ask again, whatever they are told (platform documentation)."""


@attrs.frozen(kw_only=True)
class RouterAnswer:
    """A final answer that comes from the router itself.

    Parameters
    ----------
    status : int
        HTTP status.
    kind : str
        A short fixed word for logs and callers.
    remedy : str
        What the caller can do.
    retry_after_ms : int or None
        Back-off of the caller; set only if the request has not run.
    challenge : str
        Scheme by which the caller must authenticate; empty if it need not.
    """

    status: int
    kind: str
    remedy: str
    retry_after_ms: int | None = None
    challenge: str = ''


def make_unprepared_refusal(*, has_configuration):
    """Make the refusal to send until a VM knows all that it needs.

    Parameters
    ----------
    has_configuration : bool
        Whether only the list of backend servers is missing.
    """
    return RouterAnswer(
        status=503,
        kind='no-server-list' if has_configuration else 'no-configuration',
        remedy='ask again; this VM has just started',
        retry_after_ms=_add_jitter(300),
    )


def make_unknown_route_refusal():
    """Make the refusal of a request that no route matches."""
    return RouterAnswer(
        status=404, kind='no-route', remedy='use a path that is configured'
    )


def make_unknown_key_refusal():
    """Make the refusal of a request without the key of a customer."""
    return RouterAnswer(
        status=401,
        kind='unknown-key',
        remedy='send the key of a customer as a bearer token',
        challenge='Bearer',
    )


def make_not_run_refusal(kind, retry_after_ms, remaining_ms):
    """Make the refusal of a request that has not run.

    Parameters
    ----------
    kind : str
        Why it is refused.
    retry_after_ms : int
        Back-off that suits the load.
    remaining_ms : int
        Time that the caller has left. A longer back-off than it can use is
        shortened, and still spread.
    """
    return RouterAnswer(
        status=503,
        kind=kind,
        remedy='ask again after the time named',
        retry_after_ms=_find_back_off_ms(retry_after_ms, remaining_ms),
    )


def make_over_limit_refusal(retry_after_ms, remaining_ms):
    """Make the refusal of a request over the rate limit of its customer.

    It has not run. The parameters are those of `make_not_run_refusal`.
    """
    return RouterAnswer(
        status=429,
        kind='over-limit',
        remedy='ask again after the time named; the customer is over its '
        'rate limit',
        retry_after_ms=_find_back_off_ms(retry_after_ms, remaining_ms),
    )


def make_shut_out_refusal(remaining_ms):
    """Make the refusal of a request that ends servers, or its prompt does.

    It has not run. The time named is when the shut-out ends, since no earlier
    attempt can be served.
    """
    return RouterAnswer(
        status=503,
        kind='ends-engines',
        remedy='this request, or a part of its prompt, has ended servers; '
        'do not repeat it',
        retry_after_ms=max(0, remaining_ms),
    )


def make_may_have_run_failure(kind):
    """Make the answer to a failed request that may have run."""
    return RouterAnswer(
        status=502,
        kind=kind,
        remedy='ask whether the request has run before repeating it',
    )


def make_timeout_failure():
    """Make the answer to a request that may have run, at its deadline."""
    return RouterAnswer(
        status=504,
        kind='timeout',
        remedy='ask whether the request has run before repeating it',
    )


async def send_router_answer(exchange, answer):
    """Send the router's own answer to a caller."""
    headers, body = encode_router_answer(answer)
    await exchange.respond(answer.status, headers, body)


def encode_router_answer(answer):
    """Return the headers and the body of the router's own answer."""
    body = json.dumps({'kind': answer.kind, 'remedy': answer.remedy}).encode()
    headers = [(b'content-type', b'application/json')]
    if answer.retry_after_ms is not None:
        seconds = f'{answer.retry_after_ms / 1000:.3f}'
        headers.append((b'retry-after', seconds.encode()))
    if answer.challenge:
        headers.append((b'www-authenticate', answer.challenge.encode()))
    return headers, body


def _add_jitter(base_ms):
    """Add jitter, so that callers refused together don't retry together."""
    return int(base_ms * _rng.uniform(0.75, 1.25))


def _find_back_off_ms(retry_after_ms, remaining_ms):
    """Return a spread back-off that a caller can use."""
    usable_ms = max(0, remaining_ms) // BACKOFF_SHARE
    back_off_ms = _add_jitter(retry_after_ms)
    if back_off_ms > usable_ms:
        back_off_ms = int(usable_ms * _rng.uniform(0.75, 1))
    return back_off_ms
