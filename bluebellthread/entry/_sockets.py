"""Opens TCP connections that fail soon after the other side goes silent."""

import trio

from bluebellthread.daemon import _socket_options


async def connect(host, port):
    """Return a stream connected to an IP address and port.

    Raises
    ------
    OSError
        If the connection is refused or can't be made, or if the address is
        none.
    """
    sock = trio.socket.socket()
    try:
        _socket_options.set_silence_timeouts(sock)
        with _socket_options.raising_os_errors():
            await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def has_unread(stream):
    """Return whether a connection has unread bytes or has been closed."""
    return stream.socket.is_readable()
