"""Reservations and failures of one engine, kept by the service owner."""

import attrs

from bluebellthread.core.routing import _memory_models

BACK_OFF_FIRST_MS = 500
"""Back-off after the first failure of an engine: about the delay that a
request can absorb and still be on time."""

BACK_OFF_MAX_MS = 4000
"""Longest back-off between two tries of a failing engine."""


@attrs.frozen(kw_only=True)
class EngineServer:
    """One engine that may get requests.

    Parameters
    ----------
    role : str
        ``'prefill'`` or ``'decode'``.
    slot_count : int
        Requests that the engine runs concurrently.
    memory_tokens : int
        Capacity of the KV cache in tokens.
    software_version : str
        Version of the engine's software. What two versions write, streams and
        KV caches, doesn't fit together.
    """

    name: str
    incarnation: int
    role: str
    data_centre: str
    region: str
    slot_count: int
    memory_tokens: int
    software_version: str = ''


@attrs.define(kw_only=True)
class Placement:
    """Reservation on a pair of engines for one request.

    Parameters
    ----------
    granted_ms, prefilled_ms : int, int or None
        Times of the grant and of the end of the prefill, in milliseconds.
    expected_tokens : int
        Output length that the caller expects; 0 if it is not known.
    token_ms : float
        Milliseconds that a token is expected to take.
    token_servers : tuple of str
        Those of the engines for which tokens were taken with the grant.
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
    prefilled_ms: int | None = None
    expected_tokens: int = 0
    token_ms: float = _memory_models.TOKEN_MS
    token_servers: tuple = ()

    def decoded_tokens(self, now_ms):
        """Return the estimated number of output tokens generated so far."""
        if self.prefilled_ms is None:
            return 0
        decoded = int((now_ms - self.prefilled_ms) / self.token_ms)
        return min(self.output_tokens, decoded)


@attrs.define(kw_only=True)
class EngineAccount:
    """Reservations and failures of one engine.

    Parameters
    ----------
    prefilling : dict of str to Placement
        Placements whose prefill this server runs, by ``ask_id``.
    decoding : dict of str to Placement
        Placements with KV cache on this decode server, by ``ask_id``.
    local_prefill_end_ms : float
        Estimated time at which the prefill on this decode server ends.
    rejected_request : PlacementAsk or None
        A request that did not fit, if memory has not been released since.
        The memory in use only grows until the next release, so no larger
        request fits.
    slowness : float
        How long this engine takes for a token relative to the others.
    reserved_for : str
        The ``ask_id`` of the only request that may get this decode server;
        empty if any may.
    """

    server: EngineServer
    prefilling: dict = attrs.field(factory=dict)
    decoding: dict = attrs.field(factory=dict)
    failures: int = 0
    back_off_until_ms: int = 0
    local_prefill_end_ms: float = 0
    rejected_request: object = None
    slowness: float = 1.0
    reserved_for: str = ''

    def release(self, ask_id):
        """Release what a placement reserves on this engine."""
        self.prefilling.pop(ask_id, None)
        if self.decoding.pop(ask_id, None) is not None:
            self.rejected_request = None

    def is_full_for(self, request):
        """Return whether a request that is no larger is known not to fit."""
        known = self.rejected_request
        return (
            known is not None
            and request.prompt_tokens >= known.prompt_tokens
            and request.output_tokens >= known.output_tokens
            and request.expected_tokens >= known.expected_tokens
        )

    @property
    def queued_prefill_tokens(self):
        """Prompt tokens assigned to this server and not yet prefilled."""
        return sum(
            placement.prompt_tokens for placement in self.prefilling.values()
        )

    def used_tokens(self, now_ms):
        """Return the estimated KV cache in use now, in tokens."""
        return sum(
            placement.prompt_tokens + placement.decoded_tokens(now_ms)
            for placement in self.decoding.values()
        )

    def load(self, now_ms):
        """Return the estimated fraction of the KV cache in use now."""
        return self.used_tokens(now_ms) / max(1, self.server.memory_tokens)

    def is_backing_off(self, now_ms):
        """Return whether the back-off after a failure is still running."""
        return now_ms < self.back_off_until_ms

    def note_failure(self, now_ms):
        """Start a back-off, twice as long after each consecutive failure."""
        if now_ms < self.back_off_until_ms:
            return
        self.failures += 1
        back_off_ms = BACK_OFF_FIRST_MS * 2 ** min(self.failures - 1, 8)
        self.back_off_until_ms = now_ms + min(BACK_OFF_MAX_MS, back_off_ms)

    def note_success(self):
        """Reset the failure count and end the back-off."""
        self.failures = 0
        self.back_off_until_ms = 0
