"""Order of keys by start-time fair queueing."""

import heapq

MIN_ENTRIES_TO_PRUNE = 64
"""Minimum number of entries before stale ones are pruned."""


class FairOrder:
    """Orders waiting keys, such as callers, for equal shares of cost.

    A key's start tag is the larger of the virtual time and its last finish
    tag. The virtual time is the smallest start tag of the waiting keys. A
    key that was idle can thus neither accumulate a share nor wait behind
    another key's backlog. Of the keys whose start tag exceeds the virtual
    time by at most the window, the one with the lowest rank goes first.
    The window bounds the lead that a key gets from its rank, so that no
    key starves. Every operation takes amortized O(log n).

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
        self._virtual_time = 0
        self._start = {}
        self._rank = {}
        self._finish = {}
        self._by_tag = []
        self._not_yet_eligible = []
        self._eligible = []
        self._counter = 0
        self._prune_above = MIN_ENTRIES_TO_PRUNE

    def __len__(self):
        return len(self._start)

    def activate(self, key, *, rank=0):
        """Add a waiting key, or change the rank of one already waiting."""
        if key not in self._start:
            self._set_start_tag(key, self.start_tag_of(key), rank)
        elif self._rank[key] != rank:
            self._set_start_tag(key, self._start[key], rank)

    def deactivate(self, key):
        """Remove a key from the waiting ones without charging it."""
        self._start.pop(key, None)
        self._rank.pop(key, None)

    def first(self):
        """Return the key to serve next, or None."""
        least = self._least_tag()
        if least is None:
            return None
        while (
            self._not_yet_eligible
            and self._not_yet_eligible[0][0] <= least + self._window
        ):
            tag, counter, key, rank = heapq.heappop(self._not_yet_eligible)
            heapq.heappush(self._eligible, (rank, counter, key, tag))
        while True:
            rank, _, key, tag = self._eligible[0]
            if self._start.get(key) == tag and self._rank[key] == rank:
                return key
            heapq.heappop(self._eligible)

    def charge(self, key, cost):
        """Charge a key for a served request; the key remains waiting."""
        self._virtual_time = max(self._virtual_time, self._least_tag())
        finish = self._start[key] + cost
        self._finish[key] = finish
        self._set_start_tag(key, finish, self._rank[key])
        self._prune_finish_tags()

    def start_tag_of(self, key):
        """Return a key's start tag, or the tag that it would get now."""
        if key in self._start:
            return self._start[key]
        return max(self._virtual_time, self._finish.get(key, 0))

    def _least_tag(self):
        while self._by_tag:
            tag, key = self._by_tag[0]
            if self._start.get(key) == tag:
                return tag
            heapq.heappop(self._by_tag)
        return None

    def _set_start_tag(self, key, tag, rank):
        self._counter += 1
        self._start[key] = tag
        self._rank[key] = rank
        heapq.heappush(self._by_tag, (tag, key))
        heapq.heappush(self._not_yet_eligible, (tag, self._counter, key, rank))
        longest = max(len(self._by_tag), len(self._eligible))
        if longest > 4 * len(self._start) + MIN_ENTRIES_TO_PRUNE:
            self._rebuild()

    def _rebuild(self):
        self._by_tag = [(tag, key) for key, tag in self._start.items()]
        self._not_yet_eligible = [
            (tag, number, key, self._rank[key])
            for number, (key, tag) in enumerate(self._start.items())
        ]
        self._eligible = []
        heapq.heapify(self._by_tag)
        heapq.heapify(self._not_yet_eligible)

    def _prune_finish_tags(self):
        # The threshold is twice the number of kept entries, so pruning is
        # amortized O(1) even if nothing can be dropped.
        if len(self._finish) <= self._prune_above:
            return
        self._finish = {
            key: tag
            for key, tag in self._finish.items()
            if tag > self._virtual_time
        }
        self._prune_above = max(MIN_ENTRIES_TO_PRUNE, 2 * len(self._finish))
