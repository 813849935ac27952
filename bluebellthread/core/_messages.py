"""Messages that VMs send each other.

Each class has a struct of the same name and fields in
``wire/peer.thrift``. A field that ends in ``_deadline_ms`` is sent as the
remaining milliseconds, since VMs share no clock; the receiver converts it
to a deadline on its own clock.
"""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class PermitRequest:
    """Asks the scheduler of a pool for a permit; sent by a gateway.

    The message holds the request's metadata, never its prompt.
    ``avoid_servers`` names backend servers that failed this request; the
    scheduler chooses them only if there is no other. If ``replaces_silent``
    is true, the permit that the request holds stays in force until this one
    is granted, since its run may still go on.

    Examples
    --------
    >>> PermitRequest(request_id='r1', gateway='vm1',
    ...     gateway_incarnation=7, caller='workshop-12',
    ...     pool=_model.PoolKey(serves='m', data_centre='cluj-a'),
    ...     prompt_tokens=1200, output_tokens=100,
    ...     deadline_ms=9000, first_output_deadline_ms=780).priority
    0
    """

    request_id: str
    gateway: str
    gateway_incarnation: int
    caller: str
    pool: _model.PoolKey
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int
    first_output_deadline_ms: int
    attempt_number: int = 0
    priority: int = 0
    prefix_hashes: tuple[int, ...] = ()
    avoid_servers: tuple[str, ...] = ()
    replaces_silent: bool = False


@attrs.frozen(kw_only=True)
class PermitGranted:
    """Grants a permit and names the VM process of the scheduler."""

    permit: _model.Permit
    scheduler: str
    scheduler_incarnation: int


@attrs.frozen(kw_only=True)
class PermitRefused:
    """Refuses a permit request finally; the request has not run.

    Parameters
    ----------
    kind : str
        ``'overloaded'``, ``'deadline'``, ``'no-backend'``,
        ``'caller-limit'``, ``'not-owner'``, ``'superseded'`` or
        ``'stopping'``.
    retry_after_ms : int
        Milliseconds after which the caller should retry.
    owner : str
        For ``'not-owner'``: the VM that owns the pool, or empty.
    """

    request_id: str
    kind: str
    retry_after_ms: int
    attempt_number: int = 0
    owner: str = ''


@attrs.frozen(kw_only=True)
class PermitProgressed:
    """Reports that a permit reached a later stage; sent by a gateway."""

    permit_id: str
    pool: _model.PoolKey
    stage: str


@attrs.frozen(kw_only=True)
class PermitReleased:
    """Releases a permit whose request has ended; sent by a gateway.

    Parameters
    ----------
    clean : bool
        True if the engines hold nothing for the permit any more; False
        if the scheduler has to cancel it at the engines.
    """

    permit_id: str
    pool: _model.PoolKey
    clean: bool


@attrs.frozen(kw_only=True)
class PermitsRegistered:
    """Lists all permits that a gateway holds in a pool.

    The gateway sends it to a new scheduler of the pool.
    """

    gateway: str
    gateway_incarnation: int
    pool: _model.PoolKey
    permits: tuple[_model.Permit, ...]


@attrs.frozen(kw_only=True)
class PermitCancelled:
    """Tells a gateway that the scheduler has ended one of its permits.

    Parameters
    ----------
    kind : str
        ``'superseded'``, ``'deadline'`` or ``'backend-lost'``.
    """

    permit_id: str
    kind: str


@attrs.frozen(kw_only=True)
class Done:
    """Acknowledges a message that needs no other answer."""


@attrs.frozen(kw_only=True)
class Rejected:
    """Reports that a message could not be handled.

    Parameters
    ----------
    kind : str
        The kind of error, as a short fixed word.
    remedy : str
        What the sender can do about it.
    """

    kind: str
    remedy: str


@attrs.frozen(kw_only=True)
class StatusRequest:
    """Asks a VM for its state; sent by the operators' tool."""


@attrs.frozen(kw_only=True)
class StatusAnswer:
    """Describes the state of a VM for operators.

    Parameters
    ----------
    invalid_revision : int
        A newer configuration revision that this VM rejected; 0 for none.
    stale_revision : int
        A configuration revision, older than the one in force, that the
        platform served to this VM; 0 for none.
    """

    vm: str
    data_centre: str
    incarnation: int
    revision: int
    draining: bool
    confirmed: bool
    pools_owned: tuple[str, ...]
    permits_held: int
    permits_granted: int
    members: tuple[_model.Member, ...]
    invalid_revision: int = 0
    stale_revision: int = 0


@attrs.frozen(kw_only=True)
class RequestLookup:
    """Asks for the state of a request; sent by the operators' tool."""

    request_id: str


@attrs.frozen(kw_only=True)
class RequestFound:
    """Tells where a request is or how it ended.

    Parameters
    ----------
    state : str
        ``'unknown'``, ``'in-progress'``, ``'done'``, ``'refused'``, or
        ``'gone'`` if the caller closed its connection.
    """

    request_id: str
    state: str
    vm: str
    detail: str = ''
