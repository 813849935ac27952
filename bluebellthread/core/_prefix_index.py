"""Index of the prompt prefixes that each prefill server likely caches.

It is updated at once by the scheduler's own grants, and by the engines'
cache events, which arrive late and with gaps. A missed event costs at
most one cache miss, since the index is only a hint.
"""

import collections

TOKENS_PER_BLOCK = 512
"""Approximate number of prompt tokens in one prefix block."""

MAX_HASHES_PER_SERVER = 4096
"""Default maximum number of prefix hashes kept for each server."""


class PrefixIndex:
    """Holds prefix hashes by server with least-recently-used eviction.

    Examples
    --------
    >>> index = PrefixIndex()
    >>> index.note_granted('p1', (11, 12))
    >>> index.cached_tokens('p1', (11, 12, 13))
    1024
    >>> index.note_evicted('p1', 12)
    >>> index.cached_tokens('p1', (11, 12, 13))
    512
    """

    def __init__(self, *, maximum_count=MAX_HASHES_PER_SERVER):
        self._maximum_count = maximum_count
        self._hashes = {}

    def note_granted(self, server, prefix_hashes):
        """Record that a server is to prefill a prompt with these hashes."""
        for prefix_hash in prefix_hashes:
            self.note_stored(server, prefix_hash)

    def note_stored(self, server, prefix_hash):
        """Record that a block is in a server's prefix cache."""
        hashes = self._hashes.setdefault(server, collections.OrderedDict())
        hashes[prefix_hash] = True
        hashes.move_to_end(prefix_hash)
        if len(hashes) > self._maximum_count:
            hashes.popitem(last=False)

    def note_evicted(self, server, prefix_hash):
        """Record that a block was evicted from a server's prefix cache."""
        self._hashes.get(server, {}).pop(prefix_hash, None)

    def forget(self, server):
        """Delete all hashes of a server that restarted or was removed."""
        self._hashes.pop(server, None)

    def cached_tokens(self, server, prefix_hashes):
        """Return the number of leading prompt tokens likely cached."""
        hashes = self._hashes.get(server, {})
        count = 0
        for prefix_hash in prefix_hashes:
            if prefix_hash not in hashes:
                break
            count += 1
        return count * TOKENS_PER_BLOCK
