"""Start-time fair order over keys, the heart of fair queueing."""

import heapq

LEAST_PRUNED = 64
"""Entries below which nothing is pruned."""


class FairOrder:
    """Gives each waiting key the same share of the cost served.

    A key's start tag is the later of the virtual time and its last finish
    tag; the smallest start tag goes first, and serving it moves the
    virtual time there. A key that was idle can thus neither save up a
    share nor wait behind another's backlog. Every step is O(log n).

    Examples
    --------
    >>> order = FairOrder()
    >>> order.activate('large')
    >>> order.charge('large', 100)
    >>> order.activate('small')
    >>> order.first()
    'small'
    """

    def __init__(self):
        self._virtual = 0
        self._start = {}
        self._finish = {}
        self._heap = []
        self._counter = 0
        self._prune_above = LEAST_PRUNED

    def __len__(self):
        return len(self._start)

    def activate(self, key):
        """Add a key that begins to wait; a waiting key is left as it is."""
        if key not in self._start:
            self._place(key, self.tag(key))

    def deactivate(self, key):
        """Remove a key that waits no more, without charging it."""
        self._start.pop(key, None)

    def first(self):
        """Return the key to serve next, or None."""
        while self._heap:
            tag, _, key = self._heap[0]
            if self._start.get(key) == tag:
                return key
            heapq.heappop(self._heap)
        return None

    def charge(self, key, cost):
        """Book the cost of serving a waiting key, which waits still."""
        start = self._start.pop(key)
        self._virtual = max(self._virtual, start)
        self._finish[key] = start + cost
        self._place(key, start + cost)
        self._forget_past()

    def tag(self, key):
        """Return a key's start tag, or the one that it would get now."""
        if key in self._start:
            return self._start[key]
        return max(self._virtual, self._finish.get(key, 0))

    def _place(self, key, tag):
        self._counter += 1
        self._start[key] = tag
        heapq.heappush(self._heap, (tag, self._counter, key))
        if len(self._heap) > 2 * len(self._start) + LEAST_PRUNED:
            self._heap = [
                entry
                for entry in self._heap
                if self._start.get(entry[2]) == entry[0]
            ]
            heapq.heapify(self._heap)

    def _forget_past(self):
        # The bound doubles with what is kept, so a step stays O(1) on
        # average even where nothing can be dropped.
        if len(self._finish) <= self._prune_above:
            return
        self._finish = {
            key: tag
            for key, tag in self._finish.items()
            if tag > self._virtual
        }
        self._prune_above = max(LEAST_PRUNED, 2 * len(self._finish))
