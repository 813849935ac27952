"""Start-time fair order over keys, the heart of fair queueing."""

import heapq

LEAST_PRUNED = 64
"""Entries below which nothing is pruned."""


class FairOrder:
    """Gives each waiting key the same share of the cost served.

    A key's start tag is the later of the virtual time and its last finish
    tag. The virtual time is the smallest start tag of the waiting keys. A
    key that was idle can thus neither save up a share nor wait behind
    another's backlog. Of the keys whose start tag lies within a window
    over the virtual time, the one with the lowest rank goes first; what a
    key can get ahead of another by its rank is bounded by the window, so
    that no key starves. Every step is O(log n).

    Parameters
    ----------
    window : int
        Width of the window, in cost; 0 for strict fairness.

    Examples
    --------
    >>> order = FairOrder()
    >>> order.activate('large')
    >>> order.charge('large', 100)
    >>> order.activate('small')
    >>> order.first()
    'small'
    """

    def __init__(self, *, window=0):
        self._window = window
        self._virtual = 0
        self._start = {}
        self._rank = {}
        self._finish = {}
        self._by_tag = []
        self._ahead = []
        self._eligible = []
        self._counter = 0
        self._prune_above = LEAST_PRUNED

    def __len__(self):
        return len(self._start)

    def activate(self, key, *, rank=0):
        """Add a key that begins to wait, or change its rank."""
        if key not in self._start:
            self._place(key, self.tag(key), rank)
        elif self._rank[key] != rank:
            self._place(key, self._start[key], rank)

    def deactivate(self, key):
        """Remove a key that waits no more, without charging it."""
        self._start.pop(key, None)
        self._rank.pop(key, None)

    def first(self):
        """Return the key to serve next, or None."""
        least = self._least_tag()
        if least is None:
            return None
        while self._ahead and self._ahead[0][0] <= least + self._window:
            tag, counter, key, rank = heapq.heappop(self._ahead)
            heapq.heappush(self._eligible, (rank, counter, key, tag))
        while True:
            rank, _, key, tag = self._eligible[0]
            if self._start.get(key) == tag and self._rank[key] == rank:
                return key
            heapq.heappop(self._eligible)

    def charge(self, key, cost):
        """Book the cost of serving a waiting key, which waits still."""
        self._virtual = max(self._virtual, self._least_tag())
        finish = self._start[key] + cost
        self._finish[key] = finish
        self._place(key, finish, self._rank[key])
        self._forget_past()

    def tag(self, key):
        """Return a key's start tag, or the one that it would get now."""
        if key in self._start:
            return self._start[key]
        return max(self._virtual, self._finish.get(key, 0))

    def _least_tag(self):
        while self._by_tag:
            tag, key = self._by_tag[0]
            if self._start.get(key) == tag:
                return tag
            heapq.heappop(self._by_tag)
        return None

    def _place(self, key, tag, rank):
        self._counter += 1
        self._start[key] = tag
        self._rank[key] = rank
        heapq.heappush(self._by_tag, (tag, key))
        heapq.heappush(self._ahead, (tag, self._counter, key, rank))
        longest = max(len(self._by_tag), len(self._eligible))
        if longest > 4 * len(self._start) + LEAST_PRUNED:
            self._rebuild()

    def _rebuild(self):
        self._by_tag = [(tag, key) for key, tag in self._start.items()]
        self._ahead = [
            (tag, number, key, self._rank[key])
            for number, (key, tag) in enumerate(self._start.items())
        ]
        self._eligible = []
        heapq.heapify(self._by_tag)
        heapq.heapify(self._ahead)

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
