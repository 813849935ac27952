"""Token bucket with integer arithmetic, so that no rounding errors add up."""

import attrs

MICROTOKENS_PER_TOKEN = 1_000_000
"""Unit of the integer arithmetic: a millionth of a token."""


@attrs.define
class TokenBucket:
    """Limits the rate at which tokens are taken, and allows bursts.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity in tokens; the bucket is full at first.
    now_ms : int
        Time of creation.
    level : float or None
        Tokens at first, if the bucket is not full.

    Examples
    --------
    >>> bucket = TokenBucket(rate_per_s=2, burst=1, now_ms=0)
    >>> bucket.take(1, now_ms=0), bucket.take(1, now_ms=100)
    (True, False)
    >>> bucket.wait_ms(1, now_ms=100)
    400
    """

    _rate_micro_per_ms: int
    _burst_micro: int
    _level_micro: int
    _last_ms: int

    def __init__(self, *, rate_per_s, burst, now_ms, level=None):
        self._rate_micro_per_ms = round(
            rate_per_s * MICROTOKENS_PER_TOKEN / 1000
        )
        self._burst_micro = round(burst * MICROTOKENS_PER_TOKEN)
        self._level_micro = (
            self._burst_micro
            if level is None
            else round(level * MICROTOKENS_PER_TOKEN)
        )
        self._last_ms = now_ms

    def take(self, count, *, now_ms):
        """Take tokens if there are enough and return whether there were."""
        self._refill(now_ms)
        wanted_micro = round(count * MICROTOKENS_PER_TOKEN)
        if wanted_micro > self._level_micro:
            return False
        self._level_micro -= wanted_micro
        return True

    def wait_ms(self, count, *, now_ms):
        """Return the time in ms until ``count`` tokens are available.

        None means never: the count exceeds the capacity, or the rate is
        zero.
        """
        self._refill(now_ms)
        missing_micro = (
            round(count * MICROTOKENS_PER_TOKEN) - self._level_micro
        )
        if missing_micro <= 0:
            return 0
        too_many = round(count * MICROTOKENS_PER_TOKEN) > self._burst_micro
        if too_many or not self._rate_micro_per_ms:
            return None
        return -(-missing_micro // self._rate_micro_per_ms)

    def is_full(self, *, now_ms):
        """Return whether the bucket is full."""
        self._refill(now_ms)
        return self._level_micro >= self._burst_micro

    def change_rate(self, *, rate_per_s, burst, now_ms):
        """Set another rate and capacity; keep tokens up to the capacity."""
        self._refill(now_ms)
        self._rate_micro_per_ms = round(
            rate_per_s * MICROTOKENS_PER_TOKEN / 1000
        )
        self._burst_micro = round(burst * MICROTOKENS_PER_TOKEN)
        self._level_micro = min(self._level_micro, self._burst_micro)

    def _refill(self, now_ms):
        elapsed_ms = now_ms - self._last_ms
        if elapsed_ms <= 0:
            return
        self._last_ms = now_ms
        self._level_micro = min(
            self._burst_micro,
            self._level_micro + elapsed_ms * self._rate_micro_per_ms,
        )
