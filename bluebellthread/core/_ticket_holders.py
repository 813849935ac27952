"""Which VMs took over the records of stopped processes."""

import collections

MOST_ORIGINS = 1000
"""Stopped processes that are remembered."""


class TicketHolders:
    """Remembers announced moves of records until these are dropped.

    Examples
    --------
    >>> holders = TicketHolders()
    >>> holders.note(('vm1', 7), 'vm2', keep_deadline_ms=100)
    >>> holders.find(('vm1', 7), now_ms=99)
    ('vm2',)
    >>> holders.find(('vm1', 7), now_ms=100)
    ()
    """

    def __init__(self):
        self._origins = collections.OrderedDict()

    def note(self, origin, holder, *, keep_deadline_ms):
        """Remember a holder of some records of a process."""
        holders = self._origins.setdefault(origin, {})
        # The latest comes last.
        holders.pop(holder, None)
        holders[holder] = keep_deadline_ms
        self._origins.move_to_end(origin)
        if len(self._origins) > MOST_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, origin, *, now_ms):
        """Return the holders of a process's records, the latest first."""
        holders = self._origins.get(origin, {})
        return tuple(
            holder
            for holder, keep_deadline_ms in reversed(holders.items())
            if keep_deadline_ms > now_ms
        )
