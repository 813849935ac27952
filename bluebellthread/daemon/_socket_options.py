"""Socket options that detect a TCP connection whose other side is silent."""

import contextlib

import trio

UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""How long sent bytes may stay unacknowledged: longer than the second
transmission of a lost packet takes, shorter than callers wait for a silent
stream.

Without this limit, a connection interrupted for minutes could wait as long
again before the kernel's next retransmission. A paused process is not detected
by it, because its kernel still acknowledges."""

KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
"""TCP keep-alive probes that detect a silent connection in four seconds."""


def set_silence_timeouts(sock):
    """Have the kernel close a connection whose other side is silent.

    Sent bytes also leave at once. All users gather what belongs together
    before they send it, so waiting for more would only delay it.

    Parameters
    ----------
    sock : trio.socket.SocketType
        TCP socket, connected or not.
    """
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


@contextlib.contextmanager
def raising_os_errors():
    """Raise an `OSError` where a socket says that an address is none.

    A host name that can't be encoded is a `ValueError` to the library, and a
    port out of range an `OverflowError`.
    """
    try:
        yield
    except (ValueError, OverflowError) as error:
        raise OSError(f'this is no address: {error}') from error


def find_peer(sock):
    """Return the host that a socket is connected to, empty if it has left.

    The kernel forgets the address of a connection that was reset.
    """
    try:
        return sock.getpeername()[0]
    except OSError:
        return ''
