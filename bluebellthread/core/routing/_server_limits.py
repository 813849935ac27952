"""Track the limits that backend servers name in their answers.

A server in need names its limit in each answer, and VMs tell each other. An
answer without a limit ends it if the server gave that answer later than the
last one that named the limit.

What VMs tell is ordered by numbers. Deadlines, which become later on each way
between VMs, only tell what this VM itself has read after it heard something.
"""

import attrs

from bluebellthread.core.routing import _limit_messages as messages

LIMIT_KEEP_MS = 600_000
"""How long the word of a server holds without another one."""

UNLISTED_KEEP_MS = 60_000
"""The same for a server that the platform does not list."""

CHANGE_PERIOD_MS = 1000
"""Least time between two messages about one server's changing limit."""

RATE_MIN_PER_S = 0.5
"""Least rate at which a server is asked. Its answers have to tell when it is
no longer in need."""


class ServerLimits:
    """Hold the latest word of each server about its limit.

    The words that VMs tell each other are kept apart from what this VM has
    read itself; the more recent of both holds here.

    Examples
    --------
    >>> limits = ServerLimits()
    >>> limits.note_named('s1', 1, 'service', 3.5, now_ms=10).rate_per_s
    3.5
    >>> limits.note_unnamed('s1', 1, sent_ms=5) is None
    True
    >>> limits.note_unnamed('s1', 1, sent_ms=10).is_ended
    True
    """

    def __init__(self):
        self._words = {}
        self._read = {}
        self._told = {}

    def note_named(self, server, incarnation, service, rate_per_s, *, now_ms):
        """Note that an answer names a limit.

        Parameters
        ----------
        server, incarnation, service : str, int, str
            The server that answered.
        rate_per_s : float
            The limit.
        now_ms : int
            When the answer was read.

        Returns
        -------
        ServerLimit or None
            What other VMs have to know.
        """
        known = self._find_latest(server)
        if _is_replaced(incarnation, known):
            return None
        is_first = (
            known is None
            or known.is_ended
            or known.incarnation < incarnation
            or known.keep_deadline_ms <= now_ms
        )
        keep_deadline_ms = now_ms + LIMIT_KEEP_MS
        known_incarnation = known.incarnation if known is not None else 0
        item = messages.ServerLimit(
            server=server,
            incarnation=max(incarnation, known_incarnation),
            serves=service,
            rate_per_s=rate_per_s,
            first_keep_deadline_ms=keep_deadline_ms
            if is_first
            else known.first_keep_deadline_ms,
            keep_deadline_ms=keep_deadline_ms,
        )
        self._read[server] = item
        told_rate_per_s, told_ms = self._told.get(server, (None, 0))
        if not is_first and (
            rate_per_s == told_rate_per_s
            or now_ms - told_ms < CHANGE_PERIOD_MS
        ):
            return None
        self._told[server] = (rate_per_s, now_ms)
        return self._add_word(item, self._words.get(server))

    def note_unnamed(self, server, incarnation, *, sent_ms):
        """Note that an answer names no limit.

        Parameters
        ----------
        sent_ms : int
            When the request of the answer was sent, before which the server
            can't have answered.

        Returns
        -------
        ServerLimit or None
            What other VMs have to know, if this ends the server's limit.
        """
        known = self._find_latest(server)
        keep_deadline_ms = sent_ms + LIMIT_KEEP_MS
        if (
            known is None
            or known.is_ended
            or _is_replaced(incarnation, known)
            or known.keep_deadline_ms > keep_deadline_ms
        ):
            return None
        item = attrs.evolve(
            known,
            incarnation=max(incarnation, known.incarnation),
            is_ended=True,
            keep_deadline_ms=keep_deadline_ms,
        )
        self._read[server] = item
        return self._add_word(item, self._words.get(server))

    def hear(self, item):
        """Add what another VM tells; return whether it is to be passed on.

        If it is later than the last word but contradicts what this VM has
        read after it, a new word follows it; `find_contrary` returns that.
        """
        word = self._words.get(item.server)
        if word is not None and _order_of(item) <= _order_of(word):
            return False
        read = self._read.get(item.server)
        if read is not None and _contradicts(read, item):
            self._add_word(read, item)
            return False
        self._words[item.server] = item
        self._told[item.server] = (
            item.rate_per_s,
            item.keep_deadline_ms - LIMIT_KEEP_MS,
        )
        return True

    def find_contrary(self, item):
        """Return the later word that contradicts an item, or None."""
        word = self._words.get(item.server)
        if word is None or word.is_ended == item.is_ended:
            return None
        return word if _order_of(word) > _order_of(item) else None

    def find(self, server, incarnation, now_ms):
        """Return the `ServerLimit` in force for a process, or None."""
        item = self._find_latest(server)
        if item is None or item.is_ended or item.keep_deadline_ms <= now_ms:
            return None
        if incarnation and 0 < item.incarnation < incarnation:
            # The process that named the limit has been replaced.
            return None
        return item

    def __len__(self):
        return len(self._words)

    def list_words(self, now_ms):
        """Return the latest word of each server, also of limits that ended."""
        found = []
        for server, word in self._words.items():
            # What this VM has read since keeps the word alive.
            latest = self._find_latest(server)
            if latest.is_ended == word.is_ended:
                word = attrs.evolve(
                    word, keep_deadline_ms=latest.keep_deadline_ms
                )
            if word.keep_deadline_ms > now_ms:
                found.append(word)
        return found

    def expire(self, now_ms, listed):
        """Forget what is old, or is about servers that are not listed."""
        for server in list(self._words):
            latest = self._find_latest(server)
            age_ms = now_ms - latest.keep_deadline_ms + LIMIT_KEEP_MS
            if age_ms >= LIMIT_KEEP_MS or (
                server not in listed and age_ms >= UNLISTED_KEEP_MS
            ):
                del self._words[server]
                self._read.pop(server, None)
                self._told.pop(server, None)

    def _find_latest(self, server):
        """Return what was told or read last about a server, or None."""
        word = self._words.get(server)
        read = self._read.get(server)
        if read is None or word is None:
            return word
        return max((word, read), key=_recency_of)

    def _add_word(self, item, earlier):
        """Add a word that is later than an earlier one; return it."""
        number = earlier.number + 1 if earlier is not None else 1
        word = attrs.evolve(item, number=number)
        self._words[item.server] = word
        return word


def effective_rate_per_s(limit):
    """Return the rate at which requests are sent under a limit."""
    return max(limit.rate_per_s, RATE_MIN_PER_S)


def _order_of(word):
    """Return the sort key of what VMs tell each other.

    VMs may choose the same number; then the stricter word holds.
    """
    return (
        word.incarnation,
        word.number,
        not word.is_ended,
        -word.rate_per_s,
    )


def _recency_of(item):
    return (item.incarnation, item.keep_deadline_ms)


def _contradicts(read, item):
    """Return whether what was read is later than a word and contrary to it.

    A word can only seem later than it is, as its way took time.
    """
    return read.is_ended != item.is_ended and _recency_of(read) > _recency_of(
        item
    )


def _is_replaced(incarnation, known):
    """Return whether a process is known to have been replaced."""
    return known is not None and 0 < incarnation < known.incarnation
