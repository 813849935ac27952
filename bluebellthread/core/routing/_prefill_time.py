"""Estimate the time from the grant of a placement to the first event."""

PREFILL_MS_PER_TOKEN = 0.04
"""Estimate used until prefills are measured: the rate of the engines in the
deployment specifications, slightly slowed by a second prompt."""

OVERHEAD_MS = 110.0
"""Time in milliseconds for calls, the KV cache transfer and the first
tokens."""

LOCAL_PREFILL_FACTOR = 2
"""Prefill time on a decode server relative to a prefill server (platform
documentation)."""

SMOOTHING = 0.1
"""Weight of the newest measurement in a moving average over about ten."""

TOKENS_MIN = 500
"""Prompts with fewer tokens are not measured, since their calls take longer
than the prefill."""


class PrefillTime:
    """Learn the prefill time per token from completed prefills.

    Examples
    --------
    >>> round(PrefillTime().first_event_ms(1000))
    150
    """

    def __init__(self):
        self._ms_per_token = PREFILL_MS_PER_TOKEN
        self.late_share = 0.0

    def note(self, *, tokens, took_ms):
        """Update the rate with the duration of one measured prefill."""
        if tokens < TOKENS_MIN:
            return
        sample = max(0.0, took_ms - OVERHEAD_MS / 2) / tokens
        self._ms_per_token += SMOOTHING * (sample - self._ms_per_token)

    def note_first_event(self, *, tokens, took_ms):
        """Ignore a measured time to the first event."""

    def local_prefill_ms(self, prompt_tokens):
        """Return the estimated prefill time of a prompt on a decode server."""
        return LOCAL_PREFILL_FACTOR * self._ms_per_token * prompt_tokens

    def first_event_ms(self, prompt_tokens):
        """Return the estimated time from the grant to the first event."""
        return OVERHEAD_MS + self._ms_per_token * prompt_tokens
