"""Retry policy of one model request: whether and when to try again."""

from bluebellthread.core import _retry

MAX_CONSECUTIVE_FAILURES = 6
"""Consecutive failures without a new piece that end a request."""

MAX_RESUMES_ON_SAME_ENGINE = 2
"""Consecutive failures after which an answer resumes on another engine."""

MAX_REPEATS_AFTER_SILENCE = 2
"""Consecutive failures after which no prefill is repeated for free."""

SILENT_FETCH_MS = 500
"""Time without a fetch after which an eviction is put down to a silence.

Prefill servers keep a KV cache that nobody fetches for less than a second.
"""

CANCEL_REASON_WAIT_MS = 200
"""Extra wait for the scheduler's reason after a cancel at an engine.

The engine may report the cancellation before the scheduler's message with
the reason for it arrives.
"""

MAX_BACKOFF_DOUBLINGS = 4
"""Maximum number of times that the back-off doubles."""


class AnswerRetries:
    """Count the failures of one request and decide on its retries.

    Parameters
    ----------
    budget : RetryBudget
        Retry budget that this request shares with others of the gateway.
    options : AnswerOptions
        Tells whether retries and resumes are turned on.
    rng : random.Random
        The only source of randomness, used for the back-off.

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
        self._permit_request_count = 0
        self._failed_servers = {}

    @property
    def avoid_servers(self):
        """Return the names of the backend servers that failed this request."""
        return tuple(self._failed_servers)

    def note_failure(self, server=''):
        """Count a failure and record the backend server that caused it.

        Parameters
        ----------
        server : str
            Name of the server to avoid from now on, or empty if no server
            caused the failure.
        """
        self._failure_count += 1
        if server:
            self._failed_servers[server] = None

    def note_piece(self):
        """Reset the failure count because a new piece has arrived."""
        self._failure_count = 0

    def note_permit_request(self):
        """Count a permit request that was sent."""
        self._permit_request_count += 1

    def note_permit_granted(self):
        """Reset the count of permit requests because one was granted."""
        self._permit_request_count = 0

    def may_resume_on_same_engine(self):
        """Return whether to resume the answer on the same engine."""
        below_limit = self._failure_count < MAX_RESUMES_ON_SAME_ENGINE
        return below_limit and self._options.resumes

    def may_repeat_prefill(self, *, output_started, fetch_ms):
        """Return whether to repeat the prefill under the same permit.

        Like `may_retry`, takes a retry from the budget unless the answer has
        started. If the decode server was silent for too long to fetch the
        KV cache in time, no server has failed, and no retry is taken.

        Parameters
        ----------
        output_started : bool
            Whether pieces of the answer have been sent.
        fetch_ms : int
            Time since the decode server was asked to fetch the KV cache.
        """
        if fetch_ms >= SILENT_FETCH_MS:
            return self._failure_count < MAX_REPEATS_AFTER_SILENCE
        return self._failure_count == 0 and self.may_retry(
            output_started=output_started
        )

    def may_retry(self, *, output_started):
        """Return whether to retry the request under another permit.

        Takes a retry from the budget unless the answer has started.

        Parameters
        ----------
        output_started : bool
            Whether pieces of the answer have been sent. The retry is then
            a resume, which is not charged to the budget.
        """
        if self._failure_count >= MAX_CONSECUTIVE_FAILURES:
            return False
        if output_started:
            return self._options.resumes
        return self._options.retries and self._budget.take()

    def choose_wait_ms(self, kind):
        """Return the back-off before the next attempt after a failure."""
        doublings = max(self._permit_request_count, self._failure_count)
        minimum_ms = CANCEL_REASON_WAIT_MS if kind == 'cancelled' else 0
        return minimum_ms + _retry.backoff_ms(
            min(doublings, MAX_BACKOFF_DOUBLINGS), self._rng
        )
