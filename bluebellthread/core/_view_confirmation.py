"""Whether a view may be acted on, or is a picture from before a pause."""

import math

ENOUGH_ANSWERS = 3
"""Answers that confirm a view however large the data centre is."""


class ViewConfirmation:
    """Counts the peers that have answered since a start or a long pause.

    A view is confirmed when half of the known peers, at most
    `ENOUGH_ANSWERS`, have answered. A new process gives up waiting at its
    join deadline, since it has no old picture. A paused one does not: as
    long as the platform lists peers that it cannot reach it stays
    unconfirmed, and its VM serves from a cautious share.

    Examples
    --------
    >>> confirmation = ViewConfirmation()
    >>> confirmation.begin(('vm2', 'vm3'), floor=4)
    >>> confirmation.note_answer('vm2', 5)
    >>> confirmation.check(('vm2', 'vm3'), now_ms=0)
    True
    """

    def __init__(self):
        self.confirmed = False
        self._awaited = frozenset()
        self._answered = set()
        self._floor = 0
        self._has_seeds = False
        self._join_deadline_ms = None

    def join(self, *, deadline_ms):
        """Start as a new process that waits for its first peers."""
        self._join_deadline_ms = deadline_ms

    def begin(self, names, *, floor):
        """Make the view unconfirmed until enough of these have answered.

        Parameters
        ----------
        names : iterable of str
            The peers that were believed in before the pause.
        floor : int
            Number of the last ping that was sent before it.
        """
        self.confirmed = False
        self._awaited = frozenset(names)
        self._answered = set()
        self._floor = floor
        self._join_deadline_ms = None

    def add_seeds(self, names):
        """Tell a new process of the peers that the platform lists."""
        self._has_seeds = True
        if not self.confirmed and self._join_deadline_ms is not None:
            self._awaited |= frozenset(names)

    def note_answer(self, name, correlation):
        """Count a peer that has answered the ping of a number."""
        if correlation > self._floor:
            self._answered.add(name)

    def unanswered(self):
        """Return the peers that have not answered yet, in order."""
        if self.confirmed:
            return []
        return sorted(self._awaited - self._answered)

    def check(self, believed, *, now_ms):
        """Return whether the view is confirmed now.

        Parameters
        ----------
        believed : iterable of str
            Peers that are alive by the table or by the platform's list.
        now_ms : int
            Now.
        """
        if not self.confirmed:
            self.confirmed = self._joined(now_ms) or self._enough(believed)
        return self.confirmed

    def _joined(self, now_ms):
        deadline_ms = self._join_deadline_ms
        return deadline_ms is not None and now_ms >= deadline_ms

    def _enough(self, believed):
        if self._join_deadline_ms is not None and not self._has_seeds:
            return False
        remaining = self._awaited & frozenset(believed)
        required = min(ENOUGH_ANSWERS, math.ceil(len(remaining) / 2))
        return len(self._answered & self._awaited) >= required
