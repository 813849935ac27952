"""Opens TCP connections that fail soon after the other side goes silent."""

import trio

UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""How long sent bytes may stay unacknowledged: longer than the second
transmission of a lost packet takes, shorter than callers wait for a silent
stream."""

KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
"""TCP keep-alive probes that detect a silent connection in four seconds."""


def set_silence_timeouts(sock):
    """Have the kernel close a connection whose other side is silent."""
    sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    sock.setsockopt(
        trio.socket.IPPROTO_TCP,
        trio.socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )
    for level, name, value in keep_alive_options():
        sock.setsockopt(level, name, value)


def keep_alive_options():
    """Return the socket options that enable TCP keep-alive probes."""
    tcp = trio.socket.IPPROTO_TCP
    return (
        (trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1),
        (tcp, trio.socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (tcp, trio.socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (tcp, trio.socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT),
    )


async def connect(host, port):
    """Return a stream connected to an IP address and port.

    Raises
    ------
    OSError
        If the connection is refused or can't be made.
    """
    sock = trio.socket.socket()
    try:
        set_silence_timeouts(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def has_unread(stream):
    """Return whether a connection has unread bytes or has been closed."""
    return stream.socket.is_readable()
