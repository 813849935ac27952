"""Decide which part of a shared rate an owner may grant.

VMs that are cut off from each other have an owner each, and together these
must not grant more than the rate allows.
"""

import math

ABSENT_MS = 600_000
"""How long a VM that did not say that it leaves counts after it was last seen.
It may run beyond a cut and have an owner of its own there."""

LIVE_STATES = ('alive', 'suspect')
"""States of VMs that may own accounts and services."""


class OwnerShare:
    """Count the VMs that run, and those that may run unseen.

    Examples
    --------
    >>> share = OwnerShare()
    >>> share.note_states({'a': 'alive', 'b': 'alive', 'c': 'alive'}, 0)
    >>> share.find(is_confirmed=True, now_ms=0)
    1.0
    >>> share.note_states({'a': 'alive', 'b': 'dead', 'c': 'dead'}, 10)
    >>> round(share.find(is_confirmed=True, now_ms=10), 3)
    0.333
    """

    def __init__(self):
        self._live = frozenset()
        self._seen_ms = {}
        self._expire_ms = math.inf

    def note_states(self, states, now_ms):
        """Note the membership view.

        Parameters
        ----------
        states : dict of str to str
            State of each VM by its name.
        now_ms : int
            Present time in milliseconds.
        """
        self._seen_ms.update(dict.fromkeys(self._live, now_ms))
        self._live = frozenset(
            name for name, state in states.items() if state in LIVE_STATES
        )
        self._seen_ms.update(dict.fromkeys(self._live, now_ms))
        for name, state in states.items():
            if state == 'leaving':
                self._seen_ms.pop(name, None)
        self._expire(now_ms)

    def find(self, *, is_confirmed, now_ms, count_min=1):
        """Return the part of a rate that an owner here may grant.

        It is all of the rate if more than half of the VMs are seen to run.
        Less than half get by their number, so that all parts add up to less
        than one and a half times the rate.

        Parameters
        ----------
        is_confirmed : bool
            Whether the view is known to be up to date.
        count_min : int
            Least number of VMs that exist.
        """
        if now_ms >= self._expire_ms:
            self._expire(now_ms)
        count = max(count_min, len(self._seen_ms), 1)
        if is_confirmed and 2 * len(self._live) > count:
            return 1.0
        return max(1, len(self._live)) / count

    def _expire(self, now_ms):
        """Forget VMs that have not been seen for `ABSENT_MS`."""
        self._seen_ms = {
            name: seen_ms
            for name, seen_ms in self._seen_ms.items()
            if name in self._live or now_ms - seen_ms < ABSENT_MS
        }
        absent_ms = [
            seen_ms
            for name, seen_ms in self._seen_ms.items()
            if name not in self._live
        ]
        self._expire_ms = min(absent_ms, default=math.inf) + ABSENT_MS
