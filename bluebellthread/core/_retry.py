"""Retry budget as a percentage of requests, and back-off with full jitter."""

import attrs

UNITS_PER_PERCENT = 1_000_000
"""Budget units in one per cent of a retry, to count fractions as integers."""

UNITS_PER_RETRY = 100 * UNITS_PER_PERCENT
"""Budget units in one retry."""

INITIAL_RETRIES = 3
"""Retries that a VM may spend before its first requests have earned any."""

MAX_SAVED_RETRIES = 100
"""Largest number of unspent retries that a VM accumulates."""

BACKOFF_BASE_MS = 25
"""Upper bound of the wait before the first retry."""

BACKOFF_CAP_MS = 2000
"""Upper bound of the wait before any retry."""


@attrs.define
class RetryBudget:
    """Allow retries as a percentage of the requests counted so far.

    Parameters
    ----------
    percent : float
        Retries allowed per hundred requests.
    initial_retries : int
        Retries that may be spent before any request has been counted.

    Examples
    --------
    >>> budget = RetryBudget(percent=50, initial_retries=0)
    >>> budget.note_request()
    >>> budget.take()
    False
    >>> budget.note_request()
    >>> budget.take()
    True
    """

    _units_per_request: int
    _balance: int
    _maximum: int

    def __init__(self, *, percent, initial_retries=INITIAL_RETRIES):
        self._balance = initial_retries * UNITS_PER_RETRY
        self._maximum = MAX_SAVED_RETRIES * UNITS_PER_RETRY
        self.change_percent(percent)

    def change_percent(self, percent):
        """Change the percentage; retries already earned are kept."""
        self._units_per_request = round(percent * UNITS_PER_PERCENT)

    def note_request(self):
        """Count one request and add the fraction of a retry that it earns."""
        self._balance = min(
            self._maximum, self._balance + self._units_per_request
        )

    def take(self):
        """Spend one retry and return True, or return False if none is left."""
        if self._balance < UNITS_PER_RETRY:
            return False
        self._balance -= UNITS_PER_RETRY
        return True


def backoff_ms(retry_number, rng, *, base_ms=BACKOFF_BASE_MS):
    """Return a random wait before a retry; its bound doubles with each retry.

    Parameters
    ----------
    retry_number : int
        Number of retries before this one; 0 for the first retry.
    rng : random.Random
        The only source of randomness.
    base_ms : int
        Upper bound of the wait before the first retry. The bound doubles up
        to `BACKOFF_CAP_MS`.

    Examples
    --------
    >>> import random
    >>> 0 <= backoff_ms(1, random.Random(1)) <= 50
    True
    """
    doublings = min(retry_number, 30)
    bound_ms = min(BACKOFF_CAP_MS, base_ms << doublings)
    return rng.randint(0, bound_ms)
