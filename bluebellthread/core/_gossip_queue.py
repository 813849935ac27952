"""Queue of membership updates for gossip.

It limits how often each update is sent and the bytes per datagram.
"""

import math

UPDATE_BYTES = 96
"""Bytes of a `MemberUpdate` in thrift binary, without its strings."""

DATAGRAM_UPDATES_BYTES = 1150
"""Maximum bytes of updates in one datagram.

A datagram has 1,400 bytes; the rest is for its header.
"""

REPEATS_PER_DOUBLING = 3
"""Times that a VM sends each update, per doubling of the member count.

Gossip needs a number of rounds that grows with the logarithm of the member
count.
"""


def estimate_bytes(update):
    """Return an upper bound of the bytes of an update on the wire."""
    member = update.member
    texts = (member.name, member.data_centre, member.region, member.host)
    return UPDATE_BYTES + sum(len(text.encode()) for text in texts)


def fit_datagram(updates):
    """Return how many updates, from the first, fit in one datagram.

    The result is at least one, unless there are no updates.
    """
    total_bytes = 0
    for count, update in enumerate(updates):
        total_bytes += estimate_bytes(update)
        if total_bytes > DATAGRAM_UPDATES_BYTES:
            return max(1, count)
    return len(updates)


def split_pages(updates):
    """Return the updates as tuples that each fit in one datagram."""
    pages = []
    remaining = tuple(updates)
    while remaining:
        count = fit_datagram(remaining)
        pages.append(remaining[:count])
        remaining = remaining[count:]
    return pages


class GossipQueue:
    """Hold the latest update about each VM until it was sent often enough.

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
        """Add an update and drop an older one about the same VM."""
        self._updates[update.member.name] = update
        self._sent_counts[update.member.name] = 0

    def take(self, *, member_count):
        """Return the updates for the next datagram, least often sent first.

        Each returned update counts as sent. The queue drops it after a
        number of sends that grows with the logarithm of ``member_count``,
        the VMs of the data centre.
        """
        if not self._updates:
            return ()
        names = sorted(self._updates, key=self._sent_counts.get)
        updates = tuple(self._updates[name] for name in names)
        chosen = updates[: fit_datagram(updates)]
        limit = REPEATS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))
        for update in chosen:
            self._count_send(update.member.name, limit)
        return chosen

    def _count_send(self, name, limit):
        self._sent_counts[name] += 1
        if self._sent_counts[name] >= limit:
            del self._updates[name]
            del self._sent_counts[name]
