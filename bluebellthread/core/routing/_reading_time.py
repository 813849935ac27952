"""How long a request takes from its place to its first event."""

READ_MS_PER_TOKEN = 0.04
"""Before any was measured: the engines' rate, a little slowed by a second
prompt (the deployments' sheets)."""

OVERHEAD_MS = 110.0
"""Calls, the transfer of the prompt's cache, and the first tokens."""

OWN_READ_FACTOR = 2
"""How many times as long a decode server takes (the platform's pages)."""

SMOOTHING = 0.1
"""Weight of the newest of some ten measurements."""

TOKENS_MIN = 500
"""Shorter prompts tell nothing of the rate; calls take longer."""


class ReadingTime:
    """Learns the rate at which prompts are read.

    Examples
    --------
    >>> round(ReadingTime().first_event_ms(1000))
    150
    """

    def __init__(self):
        self._ms_per_token = READ_MS_PER_TOKEN

    def note(self, *, tokens, took_ms):
        """Take in how long some tokens took to be read."""
        if tokens < TOKENS_MIN:
            return
        sample = max(0.0, took_ms - OVERHEAD_MS / 2) / tokens
        self._ms_per_token += SMOOTHING * (sample - self._ms_per_token)

    def own_read_ms(self, prompt_tokens):
        """Return how long a decode server reads a prompt."""
        return OWN_READ_FACTOR * self._ms_per_token * prompt_tokens

    def first_event_ms(self, prompt_tokens):
        """Return the time from a place to the first event."""
        return OVERHEAD_MS + self._ms_per_token * prompt_tokens
