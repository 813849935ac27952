"""What one model request has tried, and whether and when to try again."""

from bluebellthread.core import _retry

MOST_FAILURES = 6
"""Failures in a row, without a new piece between, that end a request."""

MOST_RESUMES_HERE = 2
"""Failures in a row that are answered by a resume on the same engine."""

CANCEL_REASON_MS = 200
"""Time for the scheduler's reason to come when an engine says cancelled."""

MOST_DOUBLINGS = 4
"""Times that the wait before asking for a permit again may double."""


class AnswerRetries:
    """Counts the failures of one request.

    Parameters
    ----------
    budget : RetryBudget
        Shared by the gateway's requests.
    options : AnswerOptions
        What is turned off.
    rng : random.Random
        The only source of randomness.

    Examples
    --------
    >>> import random
    >>> from bluebellthread import core
    >>> retries = AnswerRetries(
    ...     budget=core.RetryBudget(percent=10),
    ...     options=core.AnswerOptions(), rng=random.Random(1))
    >>> retries.note_failure('d1')
    >>> retries.avoid_servers
    ('d1',)
    """

    def __init__(self, *, budget, options, rng):
        self._budget = budget
        self._options = options
        self._rng = rng
        self._failure_count = 0
        self._ask_count = 0
        self._failed_servers = {}

    @property
    def avoid_servers(self):
        """Backend servers that have failed this request."""
        return tuple(self._failed_servers)

    def note_failure(self, server=''):
        """Count a failure, of a backend server where one is to blame."""
        self._failure_count += 1
        if server:
            self._failed_servers[server] = None

    def note_piece(self):
        """Start counting anew: the answer has grown."""
        self._failure_count = 0

    def note_asked(self):
        """Count a try to get a permit."""
        self._ask_count += 1

    def note_granted(self):
        """Start counting tries for a permit anew."""
        self._ask_count = 0

    def may_resume_here(self):
        """Return whether the same engine may go on with the answer."""
        few = self._failure_count < MOST_RESUMES_HERE
        return few and self._options.resumes

    def may_repeat_prefill(self, *, begun):
        """Return whether to prefill under the same permit once more."""
        return self._failure_count == 0 and self.may_retry(begun=begun)

    def may_retry(self, *, begun):
        """Return whether to try again.

        Parameters
        ----------
        begun : bool
            Whether the answer has begun: then it needs no budget.
        """
        if self._failure_count >= MOST_FAILURES:
            return False
        if begun:
            return self._options.resumes
        return self._options.retries and self._budget.take()

    def choose_wait_ms(self, kind):
        """Return how long to wait before the next try after a failure."""
        doublings = max(self._ask_count, self._failure_count)
        least_ms = CANCEL_REASON_MS if kind == 'cancelled' else 0
        return least_ms + _retry.backoff_ms(
            min(doublings, MOST_DOUBLINGS), self._rng
        )
