"""Memory models: decide whether a request fits on a decode server.

The load pattern: requests state a maximum output length that few answers
reach, and each answer takes seconds, during which its KV cache grows token
by token. Reserving the maximum leaves a third of the memory idle in a burst;
overcommitting all of it makes the engine preempt requests, whose prompts are
then prefilled again.
"""

from bluebellthread.core import _registry

memory_models = _registry.Registry('memory model')
"""Functions of an `EngineAccount`, a `PlacementAsk` and the time in
milliseconds; each returns whether the request fits."""

BLOCK_TOKENS = 16
"""Tokens per memory block that an engine allocates (platform
documentation)."""

TOKEN_MS = 2.6
"""Milliseconds per output token on a loaded decode server: the step time of
the engines with most of the memory in use."""

GROWTH_HORIZON_MS = 600
"""Period whose expected growth of running answers is reserved. In that time a
full server finishes one or two requests, whose memory covers later growth."""

FREE_SHARE = 0.03
"""Fraction of the memory that is never reserved, for use that the account
does not track: partly filled blocks and answers that are just ending."""


@memory_models.register('longest')
def fits_longest(account, request, now_ms):
    """Return whether a request fits if all maximum outputs are reserved."""
    used = sum(
        _round_up(placement.prompt_tokens + placement.output_tokens)
        for placement in account.decoding.values()
    )
    needed = _round_up(request.prompt_tokens + request.output_tokens)
    return used + needed <= account.server.memory_tokens * (1 - FREE_SHARE)


@memory_models.register('growth')
def fits_growth(account, request, now_ms):
    """Return whether a request fits beside the present use and its growth.

    Growth is reserved for the next `GROWTH_HORIZON_MS` only.
    """
    growth = GROWTH_HORIZON_MS / TOKEN_MS
    used = (
        request.prompt_tokens
        + min(request.output_tokens, growth)
        + BLOCK_TOKENS
    )
    capacity = account.server.memory_tokens * (1 - FREE_SHARE)
    for placement in account.decoding.values():
        decoded = placement.decoded_tokens(now_ms) + growth
        used += placement.prompt_tokens + BLOCK_TOKENS
        used += min(placement.output_tokens, decoded)
        if used > capacity:
            return False
    return True


EXPECTED_FACTOR = 1.2
"""Output that is expected relative to callers' hints. With 1.0, engines
preempt 33 of 1,000 requests of a burst, with 1.2 they preempt 22."""

EXPECTED_SHARE_MIN = 1 / 16
"""Least output that is expected, as a share of the maximum, so that callers
which understate it don't overcommit engines."""

TAIL_SHARE = 0.3
"""Output that is still expected of an answer that has reached its expected
length, as a share of that. Shares of 0.15 and 0.5 preempt 52 and 18 of 1,000
requests, both with a factor of 1.0."""

EXPECTED_FREE_SHARE = 0.03
"""Fraction of the memory that is never reserved, as `FREE_SHARE`. With 0.06,
fewer requests are served."""


@memory_models.register('expected-peak')
def fits_expected_peak(account, request, now_ms):
    """Return whether a request fits at the largest use that is expected.

    All answers of a server grow at the same pace, and its use is largest
    just before one of them ends.
    """
    remaining = [
        (
            _expect_remaining(request.expected_tokens, request, 0),
            request.prompt_tokens + BLOCK_TOKENS,
        )
    ]
    used = request.prompt_tokens + BLOCK_TOKENS
    for placement in account.decoding.values():
        decoded = placement.decoded_tokens(now_ms)
        tokens = placement.prompt_tokens + decoded + BLOCK_TOKENS
        used += tokens
        remaining.append(
            (
                _expect_remaining(
                    placement.expected_tokens, placement, decoded
                ),
                tokens,
            )
        )
    capacity = account.server.memory_tokens * (1 - EXPECTED_FREE_SHARE)
    if used > capacity:
        return False
    remaining.sort()
    count = len(remaining)
    ended_tokens = 0
    for growth, tokens in remaining:
        if used - ended_tokens + count * growth > capacity:
            return False
        ended_tokens += tokens
        count -= 1
    return True


def may_ever_fit(account, request):
    """Return whether a request fits on a server that is empty."""
    capacity = account.server.memory_tokens * (1 - EXPECTED_FREE_SHARE)
    expected = _expect_remaining(request.expected_tokens, request, 0)
    return request.prompt_tokens + BLOCK_TOKENS + expected <= capacity


def _expect_remaining(expected, request, decoded):
    """Return the output tokens that are still expected of a request."""
    if not expected:
        expected = request.output_tokens / 2
    expected = max(expected, EXPECTED_SHARE_MIN * request.output_tokens)
    expected = min(request.output_tokens, expected * EXPECTED_FACTOR)
    return max(expected - decoded, TAIL_SHARE * expected)


def _round_up(tokens):
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
