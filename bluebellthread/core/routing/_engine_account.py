"""What the owner of a service knows of one engine."""

import attrs

BLOCK_TOKENS = 16
"""Engines hand memory out in blocks of this many tokens (the platform's
pages)."""

SPARE_FIRST_MS = 500
"""How long an engine is spared after a first failure, about the time that
a request can lose and still be on time."""

SPARE_MAX_MS = 4000
"""Longest pause between two tries of a failing engine."""


def round_up_to_blocks(tokens):
    """Return the tokens of the whole blocks that a request occupies.

    Examples
    --------
    >>> round_up_to_blocks(17)
    32
    """
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


@attrs.frozen(kw_only=True)
class EngineServer:
    """One engine that may get work.

    Parameters
    ----------
    role : str
        ``'prefill'`` or ``'decode'``.
    """

    name: str
    incarnation: int
    role: str
    data_centre: str
    region: str
    slot_count: int
    memory_tokens: int


@attrs.define(kw_only=True)
class EngineAccount:
    """Reservations and failures of one engine.

    ``reading_tokens`` are prompts on their way through a prefill server by
    ask id, ``reserved_tokens`` the memory that granted requests need on a
    decode server.
    """

    server: EngineServer
    reading_tokens: dict = attrs.field(factory=dict)
    reserved_tokens: dict = attrs.field(factory=dict)
    failures: int = 0
    spared_until_ms: int = 0

    def has_room(self, tokens):
        """Return whether a request's memory and slot fit."""
        used = sum(self.reserved_tokens.values())
        return (
            used + tokens <= self.server.memory_tokens
            and len(self.reserved_tokens) < self.server.slot_count
        )

    @property
    def load(self):
        """The part of the memory that is reserved."""
        return sum(self.reserved_tokens.values()) / max(
            1, self.server.memory_tokens
        )

    def is_spared(self, now_ms):
        """Return whether the engine should rest after a failure."""
        return now_ms < self.spared_until_ms

    def note_failure(self, now_ms):
        """Spare the engine, longer each time in a row."""
        if now_ms < self.spared_until_ms:
            return
        self.failures += 1
        spare_ms = SPARE_FIRST_MS * 2 ** min(self.failures - 1, 8)
        self.spared_until_ms = now_ms + min(SPARE_MAX_MS, spare_ms)

    def note_success(self):
        """Forget earlier failures."""
        self.failures = 0
        self.spared_until_ms = 0
