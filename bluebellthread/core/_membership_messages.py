"""Datagrams that VMs send each other about who is alive."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """What one VM knows of another.

    Parameters
    ----------
    member : Member
        The VM, its incarnation and its state.
    counter : int
        Raised by the VM itself to refute a suspicion; the higher wins.
    replaced_incarnation : int
        The earlier process of that VM that this one replaced; 0 if none
        is known.
    """

    member: _model.Member
    counter: int = 0
    replaced_incarnation: int = 0


@attrs.frozen(kw_only=True)
class Ping:
    """A VM asks another for a sign of life.

    Parameters
    ----------
    digest : int
        Checksum of the sender's table.
    updates : tuple of MemberUpdate
        Recent news.
    wants_table : bool
        Whether the answer has to hold all of the data centre's VMs.
    """

    digest: int
    updates: tuple[MemberUpdate, ...] = ()
    wants_table: bool = False


@attrs.frozen(kw_only=True)
class Ack:
    """The answer to a `Ping`, from the VM itself or through another.

    Parameters
    ----------
    subject : str
        The VM that has answered, where another passes the answer on;
        else empty.
    """

    digest: int
    updates: tuple[MemberUpdate, ...] = ()
    subject: str = ''


@attrs.frozen(kw_only=True)
class IndirectPing:
    """A VM asks another to ping a third that does not answer."""

    subject: str


@attrs.frozen(kw_only=True)
class Gossip:
    """News or a part of a table; wants no answer."""

    updates: tuple[MemberUpdate, ...]


@attrs.frozen(kw_only=True)
class PlaceDigest:
    """Checksum of the known VMs of one data centre."""

    data_centre: str
    digest: int


@attrs.frozen(kw_only=True)
class TableDigests:
    """Checksums of a whole table, to find what differs.

    Parameters
    ----------
    is_answer : bool
        True where it answers another; it wants no answer itself.
    """

    digests: tuple[PlaceDigest, ...]
    is_answer: bool = False


MEMBERSHIP_MESSAGES = (Ping, Ack, IndirectPing, Gossip, TableDigests)
"""Every message that travels as a datagram."""
