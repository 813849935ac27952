"""Retries as a share of requests, spaced by backoff with full jitter."""

import attrs

PERCENT = 1_000_000
"""Parts that one per cent of a retry is counted in."""

WHOLE_RETRY = 100 * PERCENT
"""One retry in the same parts."""

LEAST_RETRIES = 3
"""Retries that a quiet VM may spend before any request has earned one."""

MOST_SAVED_RETRIES = 100
"""Retries that a busy VM saves up at most."""

BACKOFF_BASE_MS = 25
"""Longest wait before the first retry."""

BACKOFF_CAP_MS = 2000
"""Longest wait before any retry."""


@attrs.define
class RetryBudget:
    """Allows retries as a share of the requests seen.

    Parameters
    ----------
    percent : float
        Retries allowed for a hundred requests.

    Examples
    --------
    >>> budget = RetryBudget(percent=50, least_retries=0)
    >>> budget.note_request()
    >>> budget.take()
    False
    >>> budget.note_request()
    >>> budget.take()
    True
    """

    _share: int
    _balance: int
    _maximum: int

    def __init__(self, *, percent, least_retries=LEAST_RETRIES):
        self._balance = least_retries * WHOLE_RETRY
        self._maximum = MOST_SAVED_RETRIES * WHOLE_RETRY
        self.change_percent(percent)

    def change_percent(self, percent):
        """Take over another share; what was earned stays."""
        self._share = round(percent * PERCENT)

    def note_request(self):
        """Earn the share of one request."""
        self._balance = min(self._maximum, self._balance + self._share)

    def take(self):
        """Spend one retry if there is one; say whether there was."""
        if self._balance < WHOLE_RETRY:
            return False
        self._balance -= WHOLE_RETRY
        return True


def backoff_ms(retry_number, rng, *, base_ms=BACKOFF_BASE_MS):
    """Return the wait before a retry: anything up to a doubling bound.

    Parameters
    ----------
    retry_number : int
        0 for the first retry.
    rng : random.Random
        The only source of randomness.
    base_ms : int
        Longest wait before the first retry.

    Examples
    --------
    >>> import random
    >>> 0 <= backoff_ms(1, random.Random(1)) <= 50
    True
    """
    doublings = min(retry_number, 30)
    bound_ms = min(BACKOFF_CAP_MS, base_ms << doublings)
    return rng.randint(0, bound_ms)
