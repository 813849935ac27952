"""Input events and output commands of the membership state machine."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class DatagramReceived:
    """Event: a datagram from another VM has arrived.

    Parameters
    ----------
    sender, sender_incarnation : str, int
        The process that sent it.
    host, port : str, int
        Its source address.
    correlation : int
        Number that an answer repeats from the message it answers.
    message : object
        An instance of a class in `MEMBERSHIP_MESSAGES`.
    """

    sender: str
    sender_incarnation: int
    host: str
    port: int
    correlation: int
    message: object


@attrs.frozen(kw_only=True)
class PlatformListed:
    """Event: the platform's list of VMs was read; it may be out of date.

    The state of a listed VM is ``'alive'`` or ``'leaving'``.
    """

    members: tuple[_model.Member, ...]


@attrs.frozen(kw_only=True)
class SeedsProvided:
    """Event: no live peer of this data centre is known; ping the seeds.

    Parameters
    ----------
    addresses : tuple of (str, int)
        Host and port of each seed in the settings.
    """

    addresses: tuple[tuple[str, int], ...]


@attrs.frozen(kw_only=True)
class PauseNoticed:
    """Event: another task has detected that the process was paused."""


@attrs.frozen(kw_only=True)
class LeaveStarted:
    """Event: this VM is about to stop; it answers peers until `Stopped`."""


@attrs.frozen(kw_only=True)
class Stopped:
    """Event: this process ends now."""


@attrs.frozen(kw_only=True)
class SendDatagram:
    """Command: send a datagram, which may be lost without harm."""

    host: str
    port: int
    correlation: int
    message: object


@attrs.frozen(kw_only=True)
class ViewChanged:
    """Command: publish a new membership view to the other tasks."""

    view: _model.MembershipView
