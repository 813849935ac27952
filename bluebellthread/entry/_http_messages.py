"""HTTP requests and answers, and the headers that are passed on."""

import attrs

from bluebellthread import core

CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    )
)
"""Headers that apply to one connection only, or that the router sets itself
when it frames a message; they are not passed on."""

TOKEN_SEPARATOR = b','

HEADER_BYTES = 200
"""What a header takes beside its name and value: the objects that hold it, and
its place in the request that a server is sent."""

HOST_HEADER = b'host'
"""Passed on even if a ``Connection`` header names it: no request is valid
without it."""


AGE_HEADER = b'bluebellthread-age-ms'
"""Age of a request that is handed on, in milliseconds."""

VERSION_HEADER = b'bluebellthread-config-version'
"""Version of the configuration by which it is routed."""

RUNS_HEADER = b'bluebellthread-runs'
"""Servers that may have run a request that is handed on."""

ADMITTED_HEADER = b'bluebellthread-customer-admitted'
"""Present if a VM has counted a request that it hands on towards the limit of
its customer."""

NOT_TAKEN_HEADER = b'bluebellthread-not-taken'
"""Why a VM does not take a request, in its answer; nothing has run then."""

LOOKS_UP_KEYS_HEADER = b'bluebellthread-looks-up-keys'
"""Beside `NOT_TAKEN_HEADER`, from VMs that look up the keys of customers."""

NO_PATH = 'no-path'
"""Value of it if that VM reaches no server either."""

SOFTWARE_HEADER = b'bluebellthread-software-version'
"""Software version of the server that answers."""

HOP_HEADERS = frozenset(
    (
        AGE_HEADER,
        VERSION_HEADER,
        RUNS_HEADER,
        ADMITTED_HEADER,
        NOT_TAKEN_HEADER,
        LOOKS_UP_KEYS_HEADER,
        SOFTWARE_HEADER,
    )
)


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request with its whole body.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line, as the caller sent them.
    headers : tuple of (bytes, bytes)
        Names in lower case, and values.
    body : bytes
        Whole body, with any transfer encoding removed.
    received_ms : int
        When the first byte of the request was read, on the boot-time clock.
    """

    method: bytes
    target: bytes
    headers: tuple
    body: bytes
    received_ms: int

    @property
    def head_bytes(self):
        """Memory that the head takes until the request is answered."""
        return len(self.target) + sum(
            HEADER_BYTES + len(name) + len(value)
            for name, value in self.headers
        )

    @property
    def path(self):
        """The target without its query, as text."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self):
        """The host without a port, in lower case."""
        text = find_header(self.headers, b'host').decode('latin-1')
        return text.partition(':')[0].lower()

    def header(self, name):
        """Return a header's text, or an empty string."""
        return find_header(self.headers, name).decode('latin-1')


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The status and the headers of a backend server's answer."""

    status: int
    headers: tuple

    def header(self, name):
        """Return a header's text, or an empty string."""
        return find_header(self.headers, name).decode('latin-1')


@attrs.frozen(kw_only=True)
class Answer:
    """A backend server's answer with its whole body."""

    head: AnswerHead
    body: bytes


def find_header(headers, name):
    """Return the value of the first header named ``name``, or empty bytes.

    Examples
    --------
    >>> find_header([(b'host', b'a')], b'host')
    b'a'
    """
    for known, value in headers:
        if known == name:
            return value
    return b''


def keep_end_to_end(headers, *, drop=frozenset()):
    """Return the headers that a proxy passes on.

    Headers that a ``Connection`` header names are dropped too, but for
    `HOST_HEADER`.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and values.
    drop : collection of bytes
        Further names that are not passed on.

    Examples
    --------
    >>> keep_end_to_end([(b'connection', b'x-a'), (b'x-a', b'1'),
    ...                  (b'x-b', b'2')])
    [(b'x-b', b'2')]
    """
    named = set()
    for name, value in headers:
        if name == b'connection':
            named.update(
                token.strip().lower() for token in value.split(TOKEN_SEPARATOR)
            )
    named.discard(HOST_HEADER)
    return [
        header
        for header in headers
        if header[0] not in CONNECTION_HEADERS
        and header[0] not in drop
        and header[0] not in named
    ]


@attrs.frozen(kw_only=True)
class Hop:
    """What another VM tells of a request that it hands on.

    Parameters
    ----------
    request : Request
        The request as its caller sent it, received when the other VM
        received it.
    config_version : int
        Version of the configuration by which that VM routes.
    run_count : int
        Servers that may have run the request.
    is_admitted : bool
        Whether it counts towards the limit of its customer already.
    """

    request: Request
    config_version: int
    run_count: int
    is_admitted: bool = False

    @classmethod
    def read(cls, request):
        """Return the hop of a request that another VM has handed on."""
        headers = tuple(
            (name, value)
            for name, value in request.headers
            if name not in HOP_HEADERS
        )
        age_ms = _read_number(request.header(AGE_HEADER))
        return cls(
            request=attrs.evolve(
                request,
                headers=headers,
                received_ms=request.received_ms - age_ms,
            ),
            config_version=_read_number(request.header(VERSION_HEADER)),
            run_count=_read_number(request.header(RUNS_HEADER)),
            is_admitted=bool(request.header(ADMITTED_HEADER)),
        )


def _read_number(text):
    return core.parse_count(text) or 0
