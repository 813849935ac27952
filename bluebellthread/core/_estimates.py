"""Running estimates of a queue's drain rate and service time."""

import attrs

HALF_LIFE_MS = 2000
"""Time with a backlog after which an observation's weight halves."""

MIN_BACKLOGGED_MS = 500
"""Minimum time with a backlog before a drain rate is reported."""

MIN_SAMPLES = 8
"""Minimum number of requests before a service time is estimated."""

SAMPLE_DECAY = 0.98
"""Factor on the weight of older samples when a new one arrives."""


@attrs.define(kw_only=True)
class DrainRate:
    """Estimates the cost served per millisecond while requests wait.

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
    _backlogged_ms: float = 0.0

    def advance(self, now_ms, *, backlogged):
        """Add the time since the last call if there was a backlog."""
        elapsed_ms = max(0, now_ms - self.last_ms)
        self.last_ms = max(self.last_ms, now_ms)
        if not backlogged or not elapsed_ms:
            return
        decay = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._cost *= decay
        self._backlogged_ms = self._backlogged_ms * decay + elapsed_ms

    def add(self, cost):
        """Add cost that was served while there was a backlog."""
        self._cost += cost

    def cost_per_ms(self):
        """Return the rate, or None before `MIN_BACKLOGGED_MS` of backlog."""
        if self._backlogged_ms < MIN_BACKLOGGED_MS:
            return None
        return self._cost / self._backlogged_ms


@attrs.define(kw_only=True)
class FirstOutputTime:
    """Estimates the time from a grant to the first output.

    The estimate is a fixed time plus a time for each prompt token, fitted
    by least squares with decaying weights.

    Examples
    --------
    >>> time = FirstOutputTime()
    >>> for tokens in (100, 1000) * 8:
    ...     time.add(prompt_tokens=tokens, elapsed_ms=50 + tokens // 10)
    >>> time.estimate_ms(2000)
    250
    """

    _sum_weights: float = 0.0
    _sample_count: int = 0
    _sum_x: float = 0.0
    _sum_y: float = 0.0
    _sum_xx: float = 0.0
    _sum_xy: float = 0.0

    def add(self, *, prompt_tokens, elapsed_ms):
        """Add the time to first output that was measured for one request."""
        self._sample_count += 1
        self._sum_weights = self._sum_weights * SAMPLE_DECAY + 1
        self._sum_x = self._sum_x * SAMPLE_DECAY + prompt_tokens
        self._sum_y = self._sum_y * SAMPLE_DECAY + elapsed_ms
        self._sum_xx = self._sum_xx * SAMPLE_DECAY + prompt_tokens**2
        self._sum_xy = self._sum_xy * SAMPLE_DECAY + prompt_tokens * elapsed_ms

    def estimate_ms(self, prompt_tokens):
        """Return the estimated time, or 0 before `MIN_SAMPLES` requests."""
        if self._sample_count < MIN_SAMPLES:
            return 0
        spread = self._sum_weights * self._sum_xx - self._sum_x**2
        if spread <= self._sum_weights:
            return round(self._sum_y / self._sum_weights)
        slope = (
            self._sum_weights * self._sum_xy - self._sum_x * self._sum_y
        ) / spread
        slope = max(0.0, slope)
        base = max(
            0.0, (self._sum_y - slope * self._sum_x) / self._sum_weights
        )
        return round(base + slope * prompt_tokens)
