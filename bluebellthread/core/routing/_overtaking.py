"""Let requests pass others that wait for memory, within bounds.

The load pattern: a long prompt needs more memory than any decode server has
free at the moment, while shorter prompts behind it would fit.
"""

import math

import attrs

BLOCKED_MAX = 3
"""Blocked requests after which the others are not tried in the same decision.
It bounds the cost of a decision while all engines are full."""

FITTING_SHARE = 0.9
"""Requests are tried behind a blocked one only if their prompts are shorter
than this share of its prompt. Trying all takes twice the processor time."""


@attrs.define
class _Blocked:
    since_ms: int
    passed_count: int = 0
    account: object = None


class Overtaking:
    """Tracks the requests that others pass, and reserves engines for them.

    Parameters
    ----------
    count_max, age_max_ms : int, int
        Requests that may pass a blocked one, and for how long, before an
        engine is reserved for it. A count of 0 lets none pass.
    """

    def __init__(self, *, count_max, age_max_ms):
        self._count_max = count_max
        self._age_max_ms = age_max_ms
        self._blocked = {}
        self._seen = []
        self._failed_count = 0
        self._fitting_max = math.inf

    def begin_decision(self, waiting_ids):
        """Start a decision; end reservations of requests no longer queued."""
        self._seen = []
        self._failed_count = 0
        self._fitting_max = math.inf
        for ask_id in [x for x in self._blocked if x not in waiting_ids]:
            self.end(ask_id)

    def end(self, ask_id):
        """End what is kept for a request that got engines or has left."""
        blocked = self._blocked.pop(ask_id, None)
        if blocked is not None and blocked.account is not None:
            blocked.account.reserved_for = ''

    def note_granted(self, ask_id):
        """Count a grant for the blocked requests that it has passed."""
        self.end(ask_id)
        for blocked in self._seen:
            blocked.passed_count += 1

    def put_holders_first(self, ordered):
        """Return the queue with those first that hold an engine.

        Nobody else may use it, so nobody is delayed by that.
        """
        return sorted(
            ordered,
            key=lambda item: not self._holds_engine(item.request.ask_id),
        )

    def may_fit(self, request):
        """Return whether a request may fit where those before it didn't."""
        return (
            request.prompt_tokens < self._fitting_max
            or request.has_begun
            or self._holds_engine(request.ask_id)
        )

    def _holds_engine(self, ask_id):
        blocked = self._blocked.get(ask_id)
        return blocked is not None and blocked.account is not None

    def may_pass(self, request, pool, now_ms, *, is_late=False):
        """Return whether requests behind a blocked one are to be tried.

        Parameters
        ----------
        is_late : bool
            Whether the blocked one misses its target anyway: no engine is
            kept free for it.
        """
        if not self._count_max or not pool.has_free_prefill(request):
            return False
        if is_late:
            self.end(request.ask_id)
            return self._note_failed(request)
        blocked = self._blocked.get(request.ask_id)
        if blocked is None:
            blocked = _Blocked(since_ms=now_ms)
            self._blocked[request.ask_id] = blocked
        account = blocked.account
        if account is not None and (
            not pool.holds(account) or account.is_backing_off(now_ms)
        ):
            # The engine has restarted, left or failed.
            account.reserved_for = ''
            blocked.account = None
        if blocked.account is None:
            if (
                blocked.passed_count >= self._count_max
                or now_ms - blocked.since_ms >= self._age_max_ms
            ):
                blocked.account = pool.reserve_decode(request, now_ms)
                if blocked.account is None:
                    return False
            else:
                self._seen.append(blocked)
        return self._note_failed(request)

    def _note_failed(self, request):
        self._failed_count += 1
        self._fitting_max = min(
            self._fitting_max, FITTING_SHARE * request.prompt_tokens
        )
        return self._failed_count < BLOCKED_MAX
