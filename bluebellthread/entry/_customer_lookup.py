"""Finds the customer that sends a request, and tells servers about it."""

SCHEME = b'bearer'
"""Authentication scheme of keys (RFC 6750, 2.1), in lower case."""


def find_customer(customers, request, dialect):
    """Return the customer that holds a request's key, or None.

    Parameters
    ----------
    customers : Customers or None
        Those of the configuration in force.
    request : Request
        The caller's request.
    dialect : Dialect
        Header names of the platform.
    """
    if customers is None:
        return None
    key = read_key(request.headers, dialect.authorization)
    return None if key is None else customers.find(key)


def read_key(headers, name):
    """Return the key of a request; None unless it has exactly one.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and values.
    name : bytes
        Name of the header that holds the key.

    Examples
    --------
    >>> read_key([(b'authorization', b'Bearer k1')], b'authorization')
    'k1'
    >>> read_key([(b'authorization', b'Basic eDp5')], b'authorization')
    >>> read_key([(b'authorization', b'Bearer k1'),
    ...           (b'authorization', b'Bearer k2')], b'authorization')
    """
    values = [value for known, value in headers if known == name]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b' ')
    key = key.strip(b' ')
    if scheme.lower() != SCHEME or not key:
        return None
    return key.decode('utf-8', 'surrogateescape')


def list_withheld(work, dialect):
    """Return the names of the caller's headers that no server gets."""
    if not work.has_customers:
        return dialect.router_only
    return dialect.router_only | {dialect.authorization, dialect.customer}


def make_sender_headers(work, dialect):
    """Return the headers that tell servers who sends a request."""
    headers = []
    if work.customer is not None:
        headers.append((dialect.customer, work.customer.name.encode()))
    if work.sends_priority:
        headers.append((dialect.priority, str(work.priority).encode()))
    return headers
