"""Limits the memory that is held for all clients together."""

import math

from bluebellthread.core import _body_budget

SMALL_BYTES = 64 * 1024
"""What one connection may hold of the part that is left to small requests, so
that these are served beside many large ones."""

LARGE_PART = 0.75
"""Part of the memory that connections with more than `SMALL_BYTES` share."""

AHEAD_PART = 0.25
"""Part of the memory up to which bytes beyond a request are read. They can
wait in the network, all else can't."""

STALL_MS = 1000
"""Time without progress after which a client may be cut off: several round
trips, and a retransmission."""

KIND_CONNECTION = 'connection'
KIND_AHEAD = 'ahead'
KIND_BODY = 'body'
KIND_ANSWER = 'answer'
KIND_EVENTS = 'events'
REQUEST_KINDS = (KIND_BODY, KIND_ANSWER, KIND_EVENTS)
"""What is held until a request has been answered."""


class ClientMemory:
    """Memory that the connections of all clients share.

    Parameters
    ----------
    size_max_bytes : int
        Most bytes that all connections hold.
    connection_max_bytes : int
        Most bytes that one connection holds.
    connections_max : int or float
        Most connections.
    connection_min_bytes : int
        What each connection holds as long as it is open.

    Attributes
    ----------
    used_bytes : int
        Bytes held now.
    cut_count, refused_count : int
        Connections that were cut off, and those that were not accepted.

    Examples
    --------
    >>> memory = ClientMemory(100)
    >>> share = memory.open(lambda: None, now_ms=0)
    >>> share.hold(KIND_BODY, 60, now_ms=0)
    >>> memory.used_bytes
    60
    """

    def __init__(
        self,
        size_max_bytes,
        *,
        connection_max_bytes=math.inf,
        connections_max=math.inf,
        connection_min_bytes=0,
    ):
        self.size_max_bytes = size_max_bytes
        self.connection_max_bytes = connection_max_bytes
        self.connections_max = connections_max
        self.connection_min_bytes = connection_min_bytes
        self.used_bytes = 0
        self.cut_count = 0
        self.refused_count = 0
        self._shares = set()

    @property
    def open_count(self):
        """Number of connections that hold a share."""
        return len(self._shares)

    def open(self, cut, *, now_ms):
        """Return the share of a new connection, or None if it is one too many.

        Parameters
        ----------
        cut : callable
            Closes the connection at once; called with the bytes that it held.
        now_ms : int
            The time.
        """
        if len(self._shares) >= self.connections_max:
            self._cut_stalled(now_ms)
        if len(self._shares) >= self.connections_max:
            self.refused_count += 1
            return None
        share = ClientShare(self, cut)
        try:
            share.hold(
                KIND_CONNECTION, self.connection_min_bytes, now_ms=now_ms
            )
        except _body_budget.NoMemoryLeftError:
            self.refused_count += 1
            return None
        self._shares.add(share)
        return share

    def find_room(self, share, more_bytes, *, part, now_ms):
        """Return whether a share may grow; cut off stalled clients if needed.

        Clients whose requests have run are cut off last, and of the others
        the one that has been stalled for longest first; none is if ``now_ms``
        is None.
        """
        if share.held_bytes + more_bytes > self.connection_max_bytes:
            return False
        fixed_bytes = self.connection_min_bytes * len(self._shares)
        max_bytes = fixed_bytes + part * (self.size_max_bytes - fixed_bytes)
        while self.used_bytes + more_bytes > max_bytes:
            if now_ms is None or not self._cut_stalled(
                now_ms, keep=share, holds=True
            ):
                return False
        return True

    def _cut_stalled(self, now_ms, *, keep=None, holds=False):
        stalled = [
            share
            for share in self._shares
            if share is not keep
            and share.stalled_since_ms is not None
            and now_ms - share.stalled_since_ms >= STALL_MS
            and (share.held_bytes > self.connection_min_bytes or not holds)
        ]
        if not stalled:
            return False
        first = min(
            stalled,
            key=lambda share: (share.holds_answer, share.stalled_since_ms),
        )
        first.cut()
        return True

    def forget(self, share):
        """Remove the share of a connection that ends."""
        self._shares.discard(share)


class ClientShare:
    """What one connection holds of a `ClientMemory`.

    Attributes
    ----------
    held_bytes : int
        Bytes held now.
    stalled_since_ms : int or None
        Since when nothing has moved while the client's side was to read or
        send; None while it is not waited for.
    is_open : bool
        Whether the connection has neither ended nor been cut off.
    """

    def __init__(self, memory, cut):
        self._memory = memory
        self._cut = cut
        self._sizes = {}
        self.held_bytes = 0
        self.stalled_since_ms = None
        self.is_open = True

    @property
    def holds_answer(self):
        """Whether it holds an answer, so that its request has run."""
        return bool(self._sizes.get(KIND_ANSWER))

    def hold(
        self, kind, size_bytes, *, now_ms, is_optional=False, may_cut=True
    ):
        """Hold a number of bytes of one kind in place of those held before.

        Parameters
        ----------
        kind : str
            A kind, such as `KIND_BODY`.
        size_bytes : int
            Number of bytes.
        now_ms : int
            The time.
        is_optional : bool
            Whether the bytes can wait in the network. No client is cut off
            for them.
        may_cut : bool
            Whether stalled clients may be cut off for them.

        Raises
        ------
        NoMemoryLeftError
            If there is no room for them.
        """
        more_bytes = size_bytes - self._sizes.get(kind, 0)
        if more_bytes > 0:
            is_large = self._find_request_bytes(kind) + more_bytes > (
                SMALL_BYTES
            )
            part = LARGE_PART if is_large else 1
            if not self.is_open or not self._memory.find_room(
                self,
                more_bytes,
                part=AHEAD_PART if is_optional else part,
                now_ms=now_ms if may_cut and not is_optional else None,
            ):
                raise _body_budget.NoMemoryLeftError
        if not self.is_open:
            return
        self._sizes[kind] = size_bytes
        self.held_bytes += more_bytes
        self._memory.used_bytes += more_bytes

    def _find_request_bytes(self, kind):
        """Return the bytes by which growth of a kind counts as large.

        A small answer, or event, to a large request is small: the request was
        let in, and what has run must be answered.
        """
        if kind in (KIND_ANSWER, KIND_EVENTS):
            return self._sizes.get(kind, 0)
        return self.held_bytes - self._sizes.get(KIND_CONNECTION, 0)

    def add(self, kind, more_bytes, *, now_ms, may_cut=True):
        """Hold more bytes of one kind; raises as `hold` does."""
        size_bytes = self._sizes.get(kind, 0) + more_bytes
        self.hold(kind, size_bytes, now_ms=now_ms, may_cut=may_cut)

    def release(self, *kinds):
        """Hold nothing of some kinds any more."""
        for kind in kinds:
            size_bytes = self._sizes.pop(kind, 0)
            self.held_bytes -= size_bytes
            self._memory.used_bytes -= size_bytes

    def cut(self):
        """Close the connection, since others need the memory."""
        if not self.is_open:
            return
        held_bytes = self.held_bytes
        self._memory.cut_count += 1
        self.close()
        self._cut(held_bytes)

    def close(self):
        """Hold nothing any more."""
        self.release(*tuple(self._sizes))
        self.is_open = False
        self._memory.forget(self)
