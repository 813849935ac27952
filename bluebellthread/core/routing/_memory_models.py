"""Whether a decode server's memory has room for one more request.

The load pattern: answers are announced with a longest length that few
reach, and each takes seconds, in which its memory grows token by token.
Reserving the longest leaves a third of the memory idle at a burst; giving
all of it away has the engine preempt requests, which are read again.
"""

from bluebellthread.core import _registry

memory_models = _registry.Registry('memory model')
"""Functions of an `EngineAccount`, an ask and the time; True for room."""

BLOCK_TOKENS = 16
"""Engines hand memory out in blocks of this many tokens (the platform's
pages)."""

TOKEN_MS = 2.6
"""Time for one token on a loaded decode server (the engines' step time
with most of the memory in use)."""

GROWTH_HORIZON_MS = 600
"""How far the growth of what runs is looked ahead. In that time a full
server ends one or two requests, whose memory takes the further growth."""

FREE_SHARE = 0.03
"""Part of the memory that is never given away, for what the account does
not see: blocks that are not full, and answers just ending."""


@memory_models.register('longest')
def fits_longest(account, ask, now_ms):
    """Reserve the longest answer of each request."""
    used = sum(
        _round_up(place.prompt_tokens + place.output_tokens)
        for place in account.writing.values()
    )
    need = _round_up(ask.prompt_tokens + ask.output_tokens)
    return used + need <= account.server.memory_tokens * (1 - FREE_SHARE)


@memory_models.register('growth')
def fits_growth(account, ask, now_ms):
    """Reserve what is in use now and its growth for a short time."""
    growth = GROWTH_HORIZON_MS / TOKEN_MS
    used = ask.prompt_tokens + min(ask.output_tokens, growth) + BLOCK_TOKENS
    room = account.server.memory_tokens * (1 - FREE_SHARE)
    for place in account.writing.values():
        written = place.written_tokens(now_ms) + growth
        used += place.prompt_tokens + BLOCK_TOKENS
        used += min(place.output_tokens, written)
        if used > room:
            return False
    return True


def _round_up(tokens):
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
