"""A token bucket in whole numbers, so that no rounding adds up."""

import attrs

MICRO = 1_000_000
"""Parts that a token is counted in."""


@attrs.define
class TokenBucket:
    """Allows a rate with bursts.

    Parameters
    ----------
    rate_per_s : float
        Tokens that come in each second.
    burst : float
        Tokens that the bucket holds at most, and at the start.
    now_ms : int
        The moment of the start.

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

    def __init__(self, *, rate_per_s, burst, now_ms):
        self._rate_micro_per_ms = round(rate_per_s * MICRO / 1000)
        self._burst_micro = round(burst * MICRO)
        self._level_micro = self._burst_micro
        self._last_ms = now_ms

    def take(self, count, *, now_ms):
        """Take tokens if there are enough; say whether there were."""
        self._refill(now_ms)
        wanted_micro = round(count * MICRO)
        if wanted_micro > self._level_micro:
            return False
        self._level_micro -= wanted_micro
        return True

    def wait_ms(self, count, *, now_ms):
        """Return how long until so many tokens are there.

        None means never: the bucket does not hold as many, or fills at
        no rate.
        """
        self._refill(now_ms)
        missing_micro = round(count * MICRO) - self._level_micro
        if missing_micro <= 0:
            return 0
        too_many = round(count * MICRO) > self._burst_micro
        if too_many or not self._rate_micro_per_ms:
            return None
        return -(-missing_micro // self._rate_micro_per_ms)

    def is_full(self, *, now_ms):
        """Return whether nothing was taken that has not come back."""
        self._refill(now_ms)
        return self._level_micro >= self._burst_micro

    def change_rate(self, *, rate_per_s, burst, now_ms):
        """Take over another rate and burst; tokens in it stay."""
        self._refill(now_ms)
        self._rate_micro_per_ms = round(rate_per_s * MICRO / 1000)
        self._burst_micro = round(burst * MICRO)
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
