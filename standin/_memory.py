"""What a stand-in engine holds: pieces, a prefix cache, late reports."""

import collections

import trio

from bluebellthread import core

from standin import _text


class Memory:
    """Engine memory, handed out in exact pieces to ids."""

    def __init__(self, settings):
        self._settings = settings
        self.held = {}

    @property
    def total_pieces(self):
        """All pieces."""
        return self._settings.total_pieces

    @property
    def free_pieces(self):
        """Pieces that no id holds."""
        return self.total_pieces - sum(self.held.values())

    def take(self, request_id, tokens):
        """Hold the pieces for so many tokens; False if there is no room."""
        pieces = core.count_pieces(tokens, 0)
        full = len(self.held) >= self._settings.request_limit
        if full or pieces > self.free_pieces or request_id in self.held:
            return False
        self.held[request_id] = pieces
        return True

    def release(self, request_id):
        """Free an id's pieces; whether it held any."""
        return self.held.pop(request_id, None) is not None


class PrefixCache:
    """Least recently used blocks of prompts, with late, lossy events."""

    def __init__(self, settings):
        self._settings = settings
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=10000)
        self._sequence = 0

    def use(self, prompt):
        """Return how many tokens of a prompt were cached; cache it all."""
        hashes = _text.prefix_hashes(prompt)
        hits = 0
        for number in hashes:
            if number not in self._blocks:
                break
            hits += 1
        for number in hashes:
            if number not in self._blocks:
                self._note('stored', number)
            self._blocks[number] = None
            self._blocks.move_to_end(number)
        while len(self._blocks) > self._settings.cache_blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._note('evicted', oldest)
        return hits * _text.TOKENS_PER_BLOCK

    def _note(self, kind, number):
        self._sequence += 1
        every = self._settings.cache_event_gap_every
        if every and self._sequence % every == 0:
            return
        event = {
            'sequence': self._sequence,
            'kind': kind,
            'prefix_hash': number,
        }
        self._events.append((trio.current_time(), event))

    def events_after(self, sequence):
        """Return the events that are old enough to be seen."""
        latest_s = (
            trio.current_time() - self._settings.cache_event_lag_ms / 1000
        )
        return [
            event
            for time_s, event in self._events
            if time_s <= latest_s and event['sequence'] > sequence
        ]


class LaggedReport:
    """Shows a state as it was some time ago."""

    def __init__(self, settings, take_snapshot):
        self._settings = settings
        self._take_snapshot = take_snapshot
        self._past = collections.deque()
        self._sequence = 0

    def changed(self):
        """Note the state after a change."""
        self._past.append((trio.current_time(), self._take_snapshot()))

    def read(self):
        """Return the newest state that is older than the lag."""
        latest_s = trio.current_time() - self._settings.load_lag_ms / 1000
        while len(self._past) > 1 and self._past[1][0] <= latest_s:
            self._past.popleft()
        self._sequence += 1
        return self._past[0][1] | {'sequence': self._sequence}
