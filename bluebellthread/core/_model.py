"""The data that every part of the router shares.

Times are milliseconds on the boot-time clock of the VM that holds the
object; a field that ends in ``_deadline_ms`` is a moment on that clock.
"""

import attrs

TOKENS_PER_PIECE = 2000
"""Tokens of KV cache in one piece of engine memory."""

CHARACTERS_PER_TOKEN = 4
"""Characters that count as one token before an engine has counted."""

ROLE_PREFILL = 'prefill'
ROLE_DECODE = 'decode'
ROLE_SERVICE = 'service'


@attrs.frozen(kw_only=True, order=True)
class PoolKey:
    """A set of backend servers that one VM schedules.

    Parameters
    ----------
    serves : str
        The model or plain service.
    data_centre : str
        Where the backend servers stand.
    shard : int
        Which part, where the pool is split.

    Examples
    --------
    >>> PoolKey(serves='atelier-llm', data_centre='cluj-a').text()
    'atelier-llm/cluj-a/0'
    """

    serves: str
    data_centre: str
    shard: int = 0

    def text(self):
        """Return the key as one string, for hashes and logs."""
        return f'{self.serves}/{self.data_centre}/{self.shard}'


@attrs.frozen(kw_only=True)
class BackendServer:
    """One engine or plain service worker, as the configuration lists it.

    Examples
    --------
    >>> BackendServer(name='p1', host='127.0.0.1', port=9000,
    ...               data_centre='cluj-a', serves='atelier-llm',
    ...               role=ROLE_PREFILL).checks_fencing
    False
    """

    name: str
    host: str
    port: int
    data_centre: str
    serves: str
    role: str
    checks_fencing: bool = False
    leaving: bool = False


@attrs.frozen(kw_only=True)
class LoadReport:
    """What a backend server says of its own load, late by some lag.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation : int
        Chosen by the backend server at its start.
    sequence : int
        Rises with each report of one incarnation.
    total_pieces, free_pieces : int
        Its memory, in pieces.
    running_ids : tuple of str
        Requests that hold memory or a slot there.
    queued_count : int
        Requests that wait there.
    leaving : bool
        Whether the backend server says that it is leaving.
    received_ms : int
        When the report arrived here.
    role : str
        The role that it has; empty if it does not say.
    targets : tuple of str or None
        Model versions and adapters that it holds; None if it does not
        say.

    Examples
    --------
    >>> LoadReport(server='d1', sequence=1, total_pieces=40,
    ...            free_pieces=38, received_ms=0).running_ids
    ()
    """

    server: str
    sequence: int
    total_pieces: int
    free_pieces: int
    received_ms: int
    incarnation: int = 0
    running_ids: tuple[str, ...] = ()
    queued_count: int = 0
    leaving: bool = False
    role: str = ''
    targets: tuple[str, ...] | None = None


@attrs.frozen(kw_only=True)
class Member:
    """One VM of the router, as another VM sees it.

    Parameters
    ----------
    name : str
        The VM's name.
    incarnation : int
        Random number that the process drew at its start; 0 if not yet
        known.
    data_centre, region : str
        Where it stands.
    host : str
        Its IP number.
    peer_port : int
        Where other VMs reach it, over TCP and UDP.
    caller_port : int
        Where callers reach it, over HTTP.
    state : str
        ``'alive'``, ``'suspect'``, ``'leaving'`` or ``'dead'``.

    Examples
    --------
    >>> Member(name='vm1', data_centre='cluj-a', region='transilvania',
    ...        host='127.0.0.1', peer_port=7000, caller_port=8000).state
    'alive'
    """

    name: str
    data_centre: str
    region: str
    host: str
    peer_port: int
    caller_port: int
    incarnation: int = 0
    state: str = 'alive'


@attrs.frozen(kw_only=True)
class MembershipView:
    """The VMs that one VM believes in at a moment.

    Parameters
    ----------
    members : tuple of Member
        All known VMs, the VM itself included, sorted by name.
    confirmed : bool
        False from a long pause of the process until peers have answered
        again; nothing may be owned while it is False.

    Examples
    --------
    >>> MembershipView(members=()).confirmed
    True
    """

    members: tuple[Member, ...]
    confirmed: bool = True

    def in_data_centre(self, data_centre, *, states=('alive', 'suspect')):
        """Return the VMs of a data centre in the given states."""
        return tuple(
            member
            for member in self.members
            if member.data_centre == data_centre and member.state in states
        )

    def find(self, name):
        """Return the VM of a name, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None


@attrs.frozen(kw_only=True)
class Permit:
    """The right of one gateway to use engine memory for one request.

    Parameters
    ----------
    permit_id : str
        Also the request id that the engines see.
    request_id : str
        The caller's request.
    attempt_number : int
        Rises when the same request is asked again.
    gateway, gateway_incarnation : str, int
        The VM process that holds the permit.
    caller : str
        Whose request it is.
    pool : PoolKey
        Where the memory is.
    prefill_server, decode_server : str
        The reserved backend servers.
    prompt_tokens : int
        Length of the prompt, or an estimate.
    pieces : int
        Reserved memory on the decode server.
    deadline_ms : int
        When the permit ends at the latest.
    stage : str
        ``'reserved'``, ``'prefilling'``, ``'transferring'`` or
        ``'decoding'``.

    Examples
    --------
    >>> Permit(permit_id='vm1-7-1', request_id='r1', gateway='vm1',
    ...        gateway_incarnation=7, caller='c',
    ...        pool=PoolKey(serves='m', data_centre='cluj-a'),
    ...        prefill_server='p1', decode_server='d1', prompt_tokens=10,
    ...        pieces=1, deadline_ms=5000).stage
    'reserved'
    """

    permit_id: str
    request_id: str
    gateway: str
    gateway_incarnation: int
    caller: str
    pool: PoolKey
    prefill_server: str
    decode_server: str
    prompt_tokens: int
    pieces: int
    deadline_ms: int
    attempt_number: int = 0
    stage: str = 'reserved'


def count_pieces(prompt_tokens, output_tokens):
    """Return the pieces of engine memory that a request needs.

    Examples
    --------
    >>> count_pieces(1999, 1), count_pieces(1999, 2)
    (1, 2)
    """
    return -(-(prompt_tokens + output_tokens) // TOKENS_PER_PIECE)


def estimate_tokens(text):
    """Return about how many tokens a text has, at least one.

    Examples
    --------
    >>> estimate_tokens('a porcelain arm')
    4
    """
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))
