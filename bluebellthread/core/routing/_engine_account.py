"""What the owner of a service knows of one engine."""

import attrs

from bluebellthread.core.routing import _memory_models

SPARE_FIRST_MS = 500
"""How long an engine is spared after a first failure, about the time that
a request can lose and still be on time."""

SPARE_MAX_MS = 4000
"""Longest pause between two tries of a failing engine."""


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
class Place:
    """Room at a pair of engines that one request has been given.

    Parameters
    ----------
    granted_ms, read_ms : int, int or None
        When it was given, and when its prompt had been read.
    """

    ask_id: str
    vm: str
    vm_incarnation: int
    prefill_server: str
    decode_server: str
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int
    granted_ms: int
    read_ms: int | None = None

    def written_tokens(self, now_ms):
        """Return about how many tokens have been written by now."""
        if self.read_ms is None:
            return 0
        written = int((now_ms - self.read_ms) / _memory_models.TOKEN_MS)
        return min(self.output_tokens, written)


@attrs.define(kw_only=True)
class EngineAccount:
    """Reservations and failures of one engine.

    Parameters
    ----------
    reading : dict of str to Place
        Places whose prompts this prefill server reads, by ask id.
    writing : dict of str to Place
        Places with memory on this decode server, by ask id.
    own_read_end_ms : float
        When this decode server will have read the prompt that it reads.
    full_for : PlacementAsk or None
        An ask that had no room since a place was last given back. What
        runs only grows meanwhile, so no larger one has room either.
    """

    server: EngineServer
    reading: dict = attrs.field(factory=dict)
    writing: dict = attrs.field(factory=dict)
    failures: int = 0
    spared_until_ms: int = 0
    own_read_end_ms: float = 0
    full_for: object = None

    def give_back(self, ask_id):
        """Forget a place."""
        self.reading.pop(ask_id, None)
        if self.writing.pop(ask_id, None) is not None:
            self.full_for = None

    def is_full_for(self, ask):
        """Return whether it is known that an ask has no room."""
        known = self.full_for
        return (
            known is not None
            and ask.prompt_tokens >= known.prompt_tokens
            and ask.output_tokens >= known.output_tokens
        )

    @property
    def reading_tokens(self):
        """Tokens of the prompts that are on their way."""
        return sum(place.prompt_tokens for place in self.reading.values())

    def used_tokens(self, now_ms):
        """Return about how much memory is in use by now."""
        return sum(
            place.prompt_tokens + place.written_tokens(now_ms)
            for place in self.writing.values()
        )

    def load(self, now_ms):
        """Return the part of the memory that is in use by now."""
        return self.used_tokens(now_ms) / max(1, self.server.memory_tokens)

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
