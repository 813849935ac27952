"""TCP connections with the options that every link of an entry needs."""

import trio

UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""How long sent bytes may stay unacknowledged: longer than a lost packet's
second try, shorter than a caller's patience with a silent stream."""

KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
"""Probes that show a silent link within four seconds."""


def limit_silence(sock):
    """Let the kernel end a connection whose other side has gone silent."""
    sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    sock.setsockopt(
        trio.socket.IPPROTO_TCP,
        trio.socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )
    for level, name, value in keep_alive_options():
        sock.setsockopt(level, name, value)


def keep_alive_options():
    """Return the socket options that probe an idle connection."""
    tcp = trio.socket.IPPROTO_TCP
    return (
        (trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1),
        (tcp, trio.socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (tcp, trio.socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (tcp, trio.socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT),
    )


async def connect(host, port):
    """Return a stream to an IP number and port.

    Raises
    ------
    OSError
        If the connection is refused or can't be made.
    """
    sock = trio.socket.socket()
    try:
        limit_silence(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def has_unread(stream):
    """Return whether an idle connection has bytes or its end to read."""
    return stream.socket.is_readable()
