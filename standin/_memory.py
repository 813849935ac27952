"""Memory, prefix cache and delayed load reports of a stand-in engine."""

import collections

import trio

from bluebellthread import core

from standin import _text


class Memory:
    """Memory blocks of an engine, which requests reserve by their ids."""

    def __init__(self, settings):
        self._settings = settings
        self.held = {}

    @property
    def total_pieces(self):
        """Number of the engine's memory blocks, free or held."""
        return self._settings.total_pieces

    @property
    def free_pieces(self):
        """Number of memory blocks that no request holds."""
        return self.total_pieces - sum(self.held.values())

    def reserve(self, request_id, tokens):
        """Reserve memory blocks for a request of `tokens` tokens.

        Returns False if too few are free, the request limit is reached, or
        the request holds memory already.
        """
        pieces = core.count_pieces(tokens, 0)
        full = len(self.held) >= self._settings.request_limit
        if full or pieces > self.free_pieces or request_id in self.held:
            return False
        self.held[request_id] = pieces
        return True

    def release(self, request_id):
        """Free the memory blocks of a request; return whether it held any."""
        return self.held.pop(request_id, None) is not None


class PrefixCache:
    """LRU cache of prompt prefix blocks.

    Its cache events become visible after a delay, and some are lost.
    """

    def __init__(self, settings):
        self._settings = settings
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=10000)
        self._sequence = 0

    def look_up_and_insert(self, prompt):
        """Insert a prompt's blocks; return the size of its cached prefix.

        The size is in tokens, as it was before the insertion.
        """
        hashes = _text.prefix_hashes(prompt)
        hits = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            hits += 1
        for block_hash in hashes:
            if block_hash not in self._blocks:
                self._record_event('stored', block_hash)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._settings.cache_blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._record_event('evicted', oldest)
        return hits * _text.TOKENS_PER_BLOCK

    def _record_event(self, kind, block_hash):
        self._sequence += 1
        gap_every = self._settings.cache_event_gap_every
        if gap_every and self._sequence % gap_every == 0:
            return
        event = {
            'sequence': self._sequence,
            'kind': kind,
            'prefix_hash': block_hash,
        }
        self._events.append((trio.current_time(), event))

    def events_after(self, sequence):
        """Return the events after a sequence number whose delay is over."""
        cutoff_s = (
            trio.current_time() - self._settings.cache_event_lag_ms / 1000
        )
        return [
            event
            for time_s, event in self._events
            if time_s <= cutoff_s and event['sequence'] > sequence
        ]


class LaggedReport:
    """Load report that shows the state as it was `load_lag_ms` ago."""

    def __init__(self, settings, take_snapshot):
        self._settings = settings
        self._take_snapshot = take_snapshot
        self._snapshots = collections.deque()
        self._sequence = 0

    def record_change(self):
        """Record a snapshot of the state after a change."""
        self._snapshots.append((trio.current_time(), self._take_snapshot()))

    def read(self):
        """Return the newest snapshot that is older than `load_lag_ms`."""
        cutoff_s = trio.current_time() - self._settings.load_lag_ms / 1000
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= cutoff_s:
            self._snapshots.popleft()
        self._sequence += 1
        return self._snapshots[0][1] | {'sequence': self._sequence}
