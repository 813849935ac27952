"""How long the caller of a request waits for its answer."""

from bluebellthread import core

DEFAULT_TIMEOUT_MS = 30000
"""Timeout of requests without a deadline on routes without a timeout: as long
as callers commonly wait."""


def read_patience_ms(request, dialect):
    """Return how long the caller waits by its header, or None.

    None is returned also if the header has no usable number.
    """
    return core.parse_count(request.header(dialect.remaining_ms))


def find_deadline_ms(request, route, dialect):
    """Return when a request must have been answered.

    Parameters
    ----------
    request : Request
        The request, which may lack its body.
    route : Route
        Its route, which may have a timeout of its own.
    dialect : Dialect
        Header names of the platform.
    """
    patience_ms = read_patience_ms(request, dialect)
    bounds_ms = [] if patience_ms is None else [patience_ms]
    if route.timeout_ms:
        bounds_ms.append(route.timeout_ms)
    return request.received_ms + min(bounds_ms, default=DEFAULT_TIMEOUT_MS)
