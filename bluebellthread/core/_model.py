"""Data classes that all parts of the router share.

Times are milliseconds on the boot-time clock of the VM that holds the
object. A field that ends in ``_deadline_ms`` is a point in time on that
clock.
"""

import attrs

TOKENS_PER_PIECE = 2000
"""Tokens of KV cache in one memory block of an engine."""

CHARACTERS_PER_TOKEN = 4
"""Characters per token in estimates made before an engine counts tokens."""

ROLE_PREFILL = 'prefill'
ROLE_DECODE = 'decode'
ROLE_SERVICE = 'service'


@attrs.frozen(kw_only=True, order=True)
class PoolKey:
    """Key of a pool: a set of backend servers scheduled by one VM.

    Parameters
    ----------
    serves : str
        Name of the model or plain service.
    data_centre : str
        Data centre of the backend servers.
    shard : int
        Number of the shard if the pool is split; otherwise 0.

    Examples
    --------
    >>> PoolKey(serves='atelier-llm', data_centre='cluj-a').text()
    'atelier-llm/cluj-a/0'
    """

    serves: str
    data_centre: str
    shard: int = 0

    def text(self):
        """Return the key as a string for hashes and logs."""
        return f'{self.serves}/{self.data_centre}/{self.shard}'


@attrs.frozen(kw_only=True)
class BackendServer:
    """An engine or a plain service's worker, as configured.

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
    """A backend server's report of its own load, which may be out of date.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation : int
        Number that the backend server chose when it started.
    sequence : int
        Number that rises with each report of one incarnation.
    total_pieces, free_pieces : int
        Total and free KV cache memory, in memory blocks (not pieces of an
        answer).
    running_ids : tuple of str
        Ids of the requests that hold memory or a slot.
    queued_count : int
        Requests in the backend server's queue.
    leaving : bool
        Whether the backend server is about to stop.
    received_ms : int
        Time at which this VM received the report.
    role : str
        Current role; empty if the report has none.
    targets : tuple of str or None
        Loaded model versions and adapters; None if the report has none.

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
    """A VM of the router, with the state that another VM believes it has.

    Parameters
    ----------
    name : str
        The VM's name.
    incarnation : int
        Random number that the process chose when it started; 0 if
        unknown.
    data_centre, region : str
        Data centre and region of the VM.
    host : str
        IP address.
    peer_port : int
        TCP and UDP port for other VMs.
    caller_port : int
        HTTP port for callers.
    relay_port : int
        HTTP port for requests that other VMs hand on; 0 if there is none.
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
    relay_port: int = 0


@attrs.frozen(kw_only=True)
class MembershipView:
    """The VMs known to one VM at a point in time.

    Parameters
    ----------
    members : tuple of Member
        All known VMs, including the VM itself, sorted by name.
    confirmed : bool
        False after the process started or was paused for long, until
        enough peers have answered. While it is False, the VM must not act
        as an owner.

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
        """Return the VM with a name, or None."""
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
        Id of the permit, which the engines receive as the request id.
    request_id : str
        Id of the caller's request.
    attempt_number : int
        Number that rises with each attempt at the same request.
    gateway, gateway_incarnation : str, int
        The gateway process that holds the permit.
    caller : str
        Caller that sent the request.
    pool : PoolKey
        Pool of the reserved engines.
    prefill_server, decode_server : str
        Names of the reserved backend servers.
    prompt_tokens : int
        Length of the prompt, counted or estimated.
    pieces : int
        KV cache memory blocks reserved on the decode server (not pieces of an
        answer).
    deadline_ms : int
        Time at which the permit expires.
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
    """Return the number of KV cache memory blocks that a request needs.

    Examples
    --------
    >>> count_pieces(1999, 1), count_pieces(1999, 2)
    (1, 2)
    """
    return -(-(prompt_tokens + output_tokens) // TOKENS_PER_PIECE)


def estimate_tokens(text):
    """Return an estimate of a text's length in tokens, at least 1.

    Examples
    --------
    >>> estimate_tokens('a porcelain arm')
    4
    """
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))
