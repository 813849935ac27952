"""Register of the VMs that took over ticket records of stopped processes."""

import collections

MAX_ORIGINS = 1000
"""Largest number of stopped processes in the register."""


class TicketHolders:
    """Remember announced hand-overs of records until the records expire.

    Examples
    --------
    >>> holders = TicketHolders()
    >>> holders.register(('vm1', 7), 'vm2', keep_deadline_ms=100)
    >>> holders.find(('vm1', 7), now_ms=99)
    ('vm2',)
    >>> holders.find(('vm1', 7), now_ms=100)
    ()
    """

    def __init__(self):
        self._origins = collections.OrderedDict()

    def register(self, origin, holder, *, keep_deadline_ms):
        """Register a holder of records of a stopped process.

        Parameters
        ----------
        origin : tuple of (str, int)
            Name and incarnation of the VM that issued the tickets.
        holder : object
            The VM that took the records over.
        keep_deadline_ms : int
            Time at which the last of the records is dropped.
        """
        holders = self._origins.setdefault(origin, {})
        # Move the holder to the end: `find` relies on this order.
        holders.pop(holder, None)
        holders[holder] = keep_deadline_ms
        self._origins.move_to_end(origin)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, origin, *, now_ms):
        """Return the holders of a process's records, most recent first."""
        holders = self._origins.get(origin, {})
        return tuple(
            holder
            for holder, keep_deadline_ms in reversed(holders.items())
            if keep_deadline_ms > now_ms
        )
