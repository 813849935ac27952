"""What a queue learns from its own past: drain rate and service time."""

import attrs

HALF_LIFE_MS = 2000
"""Backlogged time after which an observation counts half."""

LEAST_BUSY_MS = 500
"""Backlogged time that must be seen before a rate is believed."""

LEAST_SAMPLES = 8
"""Requests that must be seen before a service time is believed."""

SAMPLE_DECAY = 0.98
"""Weight that a sample keeps when the next one arrives."""


@attrs.define(kw_only=True)
class DrainRate:
    """Cost that leaves a queue each millisecond while it has a backlog.

    Examples
    --------
    >>> rate = DrainRate(last_ms=0)
    >>> for now_ms in range(0, 2000, 100):
    ...     rate.advance(now_ms, backlogged=True)
    ...     rate.add(500)
    >>> round(rate.cost_per_ms(), 1)
    5.2
    """

    last_ms: int
    _cost: float = 0.0
    _busy_ms: float = 0.0

    def advance(self, now_ms, *, backlogged):
        """Count the time since the last call, if there was a backlog."""
        elapsed_ms = max(0, now_ms - self.last_ms)
        self.last_ms = max(self.last_ms, now_ms)
        if not backlogged or not elapsed_ms:
            return
        kept = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._cost *= kept
        self._busy_ms = self._busy_ms * kept + elapsed_ms

    def add(self, cost):
        """Count cost that left while there was a backlog."""
        self._cost += cost

    def cost_per_ms(self):
        """Return the rate, or None while too little has been seen."""
        if self._busy_ms < LEAST_BUSY_MS:
            return None
        return self._cost / self._busy_ms


@attrs.define(kw_only=True)
class FirstOutputTime:
    """Time from a grant to the first output, a line over the prompt.

    A decayed least-squares fit: a fixed part plus a part for each token.

    Examples
    --------
    >>> time = FirstOutputTime()
    >>> for tokens in (100, 1000) * 8:
    ...     time.add(prompt_tokens=tokens, elapsed_ms=50 + tokens // 10)
    >>> time.estimate_ms(2000)
    250
    """

    _count: float = 0.0
    _seen: int = 0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0

    def add(self, *, prompt_tokens, elapsed_ms):
        """Take in one observation."""
        self._seen += 1
        self._count = self._count * SAMPLE_DECAY + 1
        self._x = self._x * SAMPLE_DECAY + prompt_tokens
        self._y = self._y * SAMPLE_DECAY + elapsed_ms
        self._xx = self._xx * SAMPLE_DECAY + prompt_tokens**2
        self._xy = self._xy * SAMPLE_DECAY + prompt_tokens * elapsed_ms

    def estimate_ms(self, prompt_tokens):
        """Return the expected time, 0 while too little has been seen."""
        if self._seen < LEAST_SAMPLES:
            return 0
        spread = self._count * self._xx - self._x**2
        if spread <= self._count:
            return round(self._y / self._count)
        slope = (self._count * self._xy - self._x * self._y) / spread
        slope = max(0.0, slope)
        base = max(0.0, (self._y - slope * self._x) / self._count)
        return round(base + slope * prompt_tokens)
