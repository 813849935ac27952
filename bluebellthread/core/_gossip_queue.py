"""News waiting to be passed on, a bounded number of times and bytes."""

import math

UPDATE_BYTES = 96
"""Bytes of a `MemberUpdate` beside its words, as thrift binary."""

DATAGRAM_UPDATES_BYTES = 1150
"""Bytes of news in one datagram; the rest of 1,400 is for its header."""

REPEATS_PER_DOUBLING = 3
"""How often each VM passes an item on, for each doubling of the fleet."""


def estimate_bytes(update):
    """Return at least the bytes that an update takes on the wire."""
    member = update.member
    words = (member.name, member.data_centre, member.region, member.host)
    return UPDATE_BYTES + sum(len(word.encode()) for word in words)


def fit_datagram(updates):
    """Return how many of the first updates fit in one datagram."""
    total_bytes = 0
    for count, update in enumerate(updates):
        total_bytes += estimate_bytes(update)
        if total_bytes > DATAGRAM_UPDATES_BYTES:
            return max(1, count)
    return len(updates)


def split_pages(updates):
    """Return the updates in tuples that fit a datagram each."""
    pages = []
    rest = tuple(updates)
    while rest:
        count = fit_datagram(rest)
        pages.append(rest[:count])
        rest = rest[count:]
    return pages


class GossipQueue:
    """The newest update of each VM, least often sent first.

    Examples
    --------
    >>> GossipQueue().take(member_count=3)
    ()
    """

    def __init__(self):
        self._updates = {}
        self._sent_counts = {}

    def __len__(self):
        return len(self._updates)

    def push(self, update):
        """Add news, in place of older news of the same VM."""
        self._updates[update.member.name] = update
        self._sent_counts[update.member.name] = 0

    def take(self, *, member_count):
        """Return what the next datagram should carry."""
        if not self._updates:
            return ()
        names = sorted(self._updates, key=self._sent_counts.get)
        updates = tuple(self._updates[name] for name in names)
        chosen = updates[: fit_datagram(updates)]
        limit = REPEATS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))
        for update in chosen:
            self._count(update.member.name, limit)
        return chosen

    def _count(self, name, limit):
        self._sent_counts[name] += 1
        if self._sent_counts[name] >= limit:
            del self._updates[name]
            del self._sent_counts[name]
