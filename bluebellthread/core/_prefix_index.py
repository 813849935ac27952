"""Which prefill server probably has which prompt prefixes cached.

It learns from the scheduler's own grants at once, and from the engines'
cache events, which come late and with gaps. A missed event costs one
cache miss at most: the index is a hint, never an account.
"""

import collections

TOKENS_PER_BLOCK = 512
"""Tokens of prompt that one prefix hash stands for."""

LONGEST_INDEX = 4096
"""Prefix hashes remembered for each server."""


class PrefixIndex:
    """Prefix hashes by server, the least recently seen dropped first.

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

    def __init__(self, *, maximum_count=LONGEST_INDEX):
        self._maximum_count = maximum_count
        self._hashes = {}

    def note_granted(self, server, prefix_hashes):
        """Learn that a server is about to read a prompt."""
        for prefix_hash in prefix_hashes:
            self.note_stored(server, prefix_hash)

    def note_stored(self, server, prefix_hash):
        """Learn from a cache event that a block is cached."""
        hashes = self._hashes.setdefault(server, collections.OrderedDict())
        hashes[prefix_hash] = True
        hashes.move_to_end(prefix_hash)
        if len(hashes) > self._maximum_count:
            hashes.popitem(last=False)

    def note_evicted(self, server, prefix_hash):
        """Learn from a cache event that a block is gone."""
        self._hashes.get(server, {}).pop(prefix_hash, None)

    def forget(self, server):
        """Forget a server that was restarted or is gone."""
        self._hashes.pop(server, None)

    def cached_tokens(self, server, prefix_hashes):
        """Return how many of a prompt's first tokens are cached."""
        hashes = self._hashes.get(server, {})
        count = 0
        for prefix_hash in prefix_hashes:
            if prefix_hash not in hashes:
                break
            count += 1
        return count * TOKENS_PER_BLOCK
