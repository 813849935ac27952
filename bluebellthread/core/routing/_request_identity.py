"""Tell whether two requests are the same, without keeping what they hold."""

import hashlib
import itertools

REQUEST_MARK = '='
"""First character of the id of a whole request. Ids of parts of prompts, which
callers choose, are alphanumeric."""

DIGEST_BYTES = 16


def identify_request(*, method, host, target, headers, body):
    """Return the id of a request, the same at every VM.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line, with the query.
    host : str
        Host that the request is for.
    headers : iterable of (bytes, bytes)
        Headers that tell requests apart, such as those that say who asks.
    body : bytes
        Whole body, without transfer encoding.

    Examples
    --------
    >>> first, again, other = (identify_request(method=b'GET', host='h',
    ...     target=b'/a', headers=(), body=body) for body in
    ...     (b'x', b'x', b'y'))
    >>> first == again, first == other, len(first)
    (True, False, 33)
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    fields = itertools.chain.from_iterable(headers)
    for item in (method, host.encode(), target, *fields, body):
        # The length keeps items apart that would join to the same bytes.
        digest.update(b'%d:' % len(item))
        digest.update(item)
    return REQUEST_MARK + digest.hexdigest()


def is_request_id(part):
    """Return whether a part is the id of a whole request.

    Examples
    --------
    >>> is_request_id('=0f'), is_request_id('0f')
    (True, False)
    """
    return part.startswith(REQUEST_MARK)
