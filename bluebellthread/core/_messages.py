"""Messages that VMs send each other.

Each class has a struct of the same name and fields in
``wire/peer.thrift``. A field that ends in ``_deadline_ms`` travels as the
milliseconds that remain, since VMs share no clock; the receiver stores a
deadline on its own clock.
"""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class PermitRequest:
    """A gateway asks the scheduler of a pool for a permit.

    Only the request's metadata travel, never its prompt.
    ``avoid_servers`` names those that have failed it; others go first.

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


@attrs.frozen(kw_only=True)
class PermitGranted:
    """The scheduler's yes: a permit and the VM process that granted it."""

    permit: _model.Permit
    scheduler: str
    scheduler_incarnation: int


@attrs.frozen(kw_only=True)
class PermitRefused:
    """The scheduler's final no; the request has not run.

    Parameters
    ----------
    kind : str
        ``'overloaded'``, ``'deadline'``, ``'no-backend'``,
        ``'caller-limit'``, ``'not-owner'``, ``'superseded'`` or
        ``'stopping'``.
    retry_after_ms : int
        When the caller should come back.
    owner : str
        For ``'not-owner'``: the VM to ask, or empty.
    """

    request_id: str
    kind: str
    retry_after_ms: int
    attempt_number: int = 0
    owner: str = ''


@attrs.frozen(kw_only=True)
class PermitProgressed:
    """A gateway tells the scheduler that a permit is at another stage."""

    permit_id: str
    pool: _model.PoolKey
    stage: str


@attrs.frozen(kw_only=True)
class PermitReleased:
    """A gateway gives a permit back; its request has ended.

    Parameters
    ----------
    clean : bool
        True if the engines hold nothing any more; False if they have to
        be told to cancel.
    """

    permit_id: str
    pool: _model.PoolKey
    clean: bool


@attrs.frozen(kw_only=True)
class PermitsRegistered:
    """A gateway tells a new scheduler of all its live permits in a pool."""

    gateway: str
    gateway_incarnation: int
    pool: _model.PoolKey
    permits: tuple[_model.Permit, ...]


@attrs.frozen(kw_only=True)
class PermitCancelled:
    """The scheduler tells a gateway that a permit has no force any more.

    Parameters
    ----------
    kind : str
        ``'superseded'``, ``'deadline'`` or ``'backend-lost'``.
    """

    permit_id: str
    kind: str


@attrs.frozen(kw_only=True)
class Done:
    """A message has been taken in; there is nothing to say."""


@attrs.frozen(kw_only=True)
class Rejected:
    """A message could not be handled.

    Parameters
    ----------
    kind : str
        What was wrong, as a short fixed word.
    remedy : str
        What the sender can do.
    """

    kind: str
    remedy: str


@attrs.frozen(kw_only=True)
class StatusRequest:
    """The operators' tool asks a VM for its state."""


@attrs.frozen(kw_only=True)
class StatusAnswer:
    """A VM's state, for operators.

    Parameters
    ----------
    invalid_revision : int
        A newer revision that this VM does not accept; 0 for none.
    stale_revision : int
        The older revision that the platform served this VM; 0 for none.
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
    """The operators' tool asks where a request is or how it ended."""

    request_id: str


@attrs.frozen(kw_only=True)
class RequestFound:
    """Where a request is, or how it ended.

    Parameters
    ----------
    state : str
        ``'unknown'``, ``'in-progress'``, ``'done'``, ``'refused'`` or
        ``'gone'`` where the caller went away.
    """

    request_id: str
    state: str
    vm: str
    detail: str = ''
