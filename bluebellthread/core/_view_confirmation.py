"""Decides whether a VM may act on its membership view.

After a start or a long pause the view may be out of date.
"""

import math

REQUIRED_ANSWERS_MAX = 3
"""Maximum answers required to confirm a view, in any data centre."""


class ViewConfirmation:
    """Track the peers that have answered since a start or a long pause.

    A view is confirmed when half of the known peers have answered, or
    `REQUIRED_ANSWERS_MAX` if that is fewer. For a new process the view is
    also confirmed at the join deadline, since it has no outdated view. A
    paused process has no deadline: while the platform lists peers that it
    cannot reach, its view stays unconfirmed and its VM uses only a
    cautious share of engine memory.

    Examples
    --------
    >>> confirmation = ViewConfirmation()
    >>> confirmation.begin(('vm2', 'vm3'), last_old_correlation=4)
    >>> confirmation.note_answer('vm2', 5)
    >>> confirmation.check(('vm2', 'vm3'), now_ms=0)
    True
    """

    def __init__(self):
        self.confirmed = False
        self._awaited = frozenset()
        self._answered = set()
        self._last_old_correlation = 0
        self._has_seeds = False
        self._join_deadline_ms = None

    def join(self, *, deadline_ms):
        """Start waiting for answers as a new process, until a deadline."""
        self._join_deadline_ms = deadline_ms

    def begin(self, names, *, last_old_correlation):
        """Make the view unconfirmed until enough peers have answered.

        Parameters
        ----------
        names : iterable of str
            Peers that were presumed alive before the pause.
        last_old_correlation : int
            Number of the last ping sent before the pause. Answers to it
            and to earlier pings do not count.
        """
        self.confirmed = False
        self._awaited = frozenset(names)
        self._answered = set()
        self._last_old_correlation = last_old_correlation
        self._join_deadline_ms = None

    def add_seeds(self, names):
        """Add peers from the platform's list, if the process is new."""
        self._has_seeds = True
        if not self.confirmed and self._join_deadline_ms is not None:
            self._awaited |= frozenset(names)

    def note_answer(self, name, correlation):
        """Count a peer's answer, unless its ping was sent before the pause."""
        if correlation > self._last_old_correlation:
            self._answered.add(name)

    def unanswered(self):
        """Return the awaited peers that have not answered yet, sorted."""
        if self.confirmed:
            return []
        return sorted(self._awaited - self._answered)

    def check(self, presumed_alive, *, now_ms):
        """Check whether the view is confirmed by now, and return the result.

        Parameters
        ----------
        presumed_alive : iterable of str
            Peers that are not dead in the member table or that the platform
            lists as alive.
        now_ms : int
            Current time in milliseconds.
        """
        if not self.confirmed:
            self.confirmed = self._join_timed_out(
                now_ms
            ) or self._has_enough_answers(presumed_alive)
        return self.confirmed

    def _join_timed_out(self, now_ms):
        deadline_ms = self._join_deadline_ms
        return deadline_ms is not None and now_ms >= deadline_ms

    def _has_enough_answers(self, presumed_alive):
        if self._join_deadline_ms is not None and not self._has_seeds:
            return False
        remaining = self._awaited & frozenset(presumed_alive)
        required = min(REQUIRED_ANSWERS_MAX, math.ceil(len(remaining) / 2))
        return len(self._answered & self._awaited) >= required
