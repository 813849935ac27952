"""Messages of the membership, which VMs send each other as datagrams."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """A membership update: what one VM knows about another or itself.

    Parameters
    ----------
    member : Member
        The VM, its incarnation and its state.
    counter : int
        Raised by the VM itself to refute a suspicion; the update with the
        higher counter takes precedence.
    replaced_incarnation : int
        Incarnation of the VM's previous process, which this one replaced;
        0 if none is known.
    """

    member: _model.Member
    counter: int = 0
    replaced_incarnation: int = 0


@attrs.frozen(kw_only=True)
class Ping:
    """Request an `Ack` from a VM, to check that it is alive.

    Parameters
    ----------
    digest : int
        Checksum of the sender's table.
    updates : tuple of MemberUpdate
        Recent membership updates.
    wants_table : bool
        Whether the answer has to hold all VMs of the data centre.
    """

    digest: int
    updates: tuple[MemberUpdate, ...] = ()
    wants_table: bool = False


@attrs.frozen(kw_only=True)
class Ack:
    """Answer a `Ping`, directly or through the VM that relayed it.

    Parameters
    ----------
    digest : int
        Checksum of the sender's table.
    updates : tuple of MemberUpdate
        Recent membership updates.
    subject : str
        In a relayed answer, the VM that answered; otherwise empty.
    """

    digest: int
    updates: tuple[MemberUpdate, ...] = ()
    subject: str = ''


@attrs.frozen(kw_only=True)
class IndirectPing:
    """Request that the receiver ping a third VM that does not answer.

    ``subject`` is the name of that VM.
    """

    subject: str


@attrs.frozen(kw_only=True)
class Gossip:
    """Carry membership updates or a part of a table; never answered."""

    updates: tuple[MemberUpdate, ...]


@attrs.frozen(kw_only=True)
class PlaceDigest:
    """Checksum of the sender's records of one data centre."""

    data_centre: str
    digest: int


@attrs.frozen(kw_only=True)
class TableDigests:
    """Checksums of a table by data centre, to find where tables differ.

    Parameters
    ----------
    digests : tuple of PlaceDigest
        One checksum for each data centre.
    is_answer : bool
        Whether the message answers a `TableDigests`; if so, it is not
        answered itself.
    """

    digests: tuple[PlaceDigest, ...]
    is_answer: bool = False


MEMBERSHIP_MESSAGES = (Ping, Ack, IndirectPing, Gossip, TableDigests)
"""Every message class that is sent as a datagram."""
