"""Find out how the end of an HTTP answer's body is marked (RFC 9112, 6.3)."""

FRAMED_BY_CHUNKS = 'chunks'
FRAMED_BY_LENGTH = 'length'
FRAMED_BY_CONNECTION = 'connection'
"""The body ends where the server closes the connection. A server that dies
closes it too, so the end of such a body doesn't show that it is complete."""

FRAMED_WITHOUT_BODY = 'none'

BODYLESS_STATUSES = frozenset((204, 304))


def find_framing(status, headers, *, method=b'GET'):
    """Return what marks the end of an answer's body.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : iterable of (bytes, bytes)
        Headers of the answer.
    method : bytes
        Method of the request.

    Returns
    -------
    str
        `FRAMED_BY_CHUNKS`, `FRAMED_BY_LENGTH`, `FRAMED_BY_CONNECTION` or
        `FRAMED_WITHOUT_BODY`.

    Examples
    --------
    >>> find_framing(200, [(b'Content-Length', b'3')])
    'length'
    >>> find_framing(200, [])
    'connection'
    """
    if method == b'HEAD' or status in BODYLESS_STATUSES or status < 200:
        return FRAMED_WITHOUT_BODY
    names = {name.lower() for name, _ in headers}
    if b'transfer-encoding' in names:
        return FRAMED_BY_CHUNKS
    if b'content-length' in names:
        return FRAMED_BY_LENGTH
    return FRAMED_BY_CONNECTION
