"""Pools connections to backend servers."""

import collections

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.entry import _sockets

IDLE_CONNECTIONS_MAX = 8
"""Maximum number of idle connections kept to one backend server: enough for a
burst of this VM's requests."""

IDLE_DEFAULT_MS = 2000
"""How long an idle connection is kept if its server announces no timeout.
The shortest timeout that servers may announce is one second longer."""

ANSWERS_MAX_BYTES = 16 * 1024 * 1024
"""Most memory that all long answers take together while they are read: a tenth
of the memory of the users' smallest VMs."""

CARRIED_REQUESTS_MAX = 128
"""Most requests of which a connection remembers the ids. It is not used again
after that many."""


class ServerUnreachableError(Exception):
    """Raised when no connection can be opened; nothing was sent."""


class ServerConnection:
    """A TCP connection to a backend server.

    A server may repeat an answer at the point where the next one is expected.
    The id of the request tells the two apart, so a connection carries each
    request once only.

    Parameters
    ----------
    stream : trio.SocketStream
        The open connection.
    address : (str, int)
        Host and port of the server.

    Attributes
    ----------
    is_new : bool
        Whether it has not been in the pool yet.
    looks_up_keys : bool
        Whether the other side is a VM that looks up the keys of customers.
    """

    def __init__(self, *, stream, address):
        self.stream = stream
        self.address = address
        self.is_new = True
        self.looks_up_keys = False
        self.idle_deadline_ms = 0
        # Hashes, since a caller may choose ids as long as a head.
        self._carried_hashes = set()

    def may_carry(self, request_id):
        """Return whether answers to a request can be told from others."""
        return (
            hash(request_id) not in self._carried_hashes
            and len(self._carried_hashes) < CARRIED_REQUESTS_MAX
        )

    def note_carried(self, request_id):
        """Note that a request is about to be sent."""
        self._carried_hashes.add(hash(request_id))

    def discard(self):
        """Close the connection without a checkpoint."""
        self.stream.socket.close()

    async def close(self):
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)


class ServerConnections:
    """Pools connections to backend servers.

    The connection that was released last is used first.

    Attributes
    ----------
    opened_count : int
        Attempts to open a connection since the start.
    body_budget : BodyBudget
        Memory that the answers on all connections share.
    """

    def __init__(self):
        self._idle = collections.defaultdict(list)
        self.opened_count = 0
        self.body_budget = core.BodyBudget(ANSWERS_MAX_BYTES)

    async def acquire(
        self, address, *, idle_max_ms, connect_timeout_s, request_id=''
    ):
        """Return an idle or a new connection to a backend server.

        Parameters
        ----------
        address : (str, int)
            Host and port of the server.
        idle_max_ms : int
            Longest time for which a pooled connection may have been idle.
        connect_timeout_s : float
            Longest time for opening a new connection.
        request_id : str
            The request that the connection is to carry.

        Raises
        ------
        ServerUnreachableError
            If no connection can be opened in time.
        """
        connection = self._take_idle(address, idle_max_ms, request_id)
        if connection is not None:
            return connection
        return await self.open(address, connect_timeout_s)

    def _take_idle(self, address, idle_max_ms, request_id):
        """Return the idle connection that was released last, or None."""
        now_ms = _clock.read_clock_ms()
        idle = self._idle[address]
        for index in reversed(range(len(idle))):
            connection, kept_ms = idle[index]
            if not connection.may_carry(request_id):
                continue
            del idle[index]
            if (
                now_ms < connection.idle_deadline_ms
                and now_ms - kept_ms <= idle_max_ms
                and not _sockets.has_unread(connection.stream)
            ):
                return connection
            connection.discard()
        return None

    async def open(self, address, connect_timeout_s):
        """Return a new connection to a backend server.

        Raises
        ------
        ServerUnreachableError
            If no connection can be opened in time.
        """
        self.opened_count += 1
        try:
            with trio.fail_after(connect_timeout_s):
                stream = await _sockets.connect(*address)
        except (OSError, trio.TooSlowError) as error:
            raise ServerUnreachableError(
                f'no connection to the server: {error or "timeout"}'
            ) from error
        return ServerConnection(stream=stream, address=address)

    async def release(self, connection, idle_ms):
        """Pool a connection for at most ``idle_ms``, or close it.

        It is closed if ``idle_ms`` is not above 0, the pool is full or the
        connection has carried as many requests as it may.
        """
        now_ms = _clock.read_clock_ms()
        idle = self._idle[connection.address]
        if (
            idle_ms <= 0
            or len(idle) >= IDLE_CONNECTIONS_MAX
            or not connection.may_carry('')
        ):
            await connection.close()
            return
        connection.is_new = False
        connection.idle_deadline_ms = now_ms + idle_ms
        idle.append((connection, now_ms))

    async def prune(self):
        """Close the connections that have been idle for too long."""
        now_ms = _clock.read_clock_ms()
        expired = []
        # Requests take connections while others are being closed, so the
        # pool is changed at once.
        for address, idle in list(self._idle.items()):
            kept = []
            for item in idle:
                is_expired = now_ms >= item[0].idle_deadline_ms
                (expired if is_expired else kept).append(item)
            idle[:] = kept
            if not kept:
                del self._idle[address]
        for connection, _ in expired:
            await connection.close()

    async def close(self):
        """Close every idle connection."""
        pooled = [item for idle in self._idle.values() for item in idle]
        self._idle.clear()
        for connection, _ in pooled:
            await connection.close()
