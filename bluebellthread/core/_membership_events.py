"""What the membership takes in and what it asks for."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class DatagramReceived:
    """Another VM has sent a datagram.

    Parameters
    ----------
    sender, sender_incarnation : str, int
        The process that sent it.
    host, port : str, int
        Where it came from; the answer goes there.
    correlation : int
        Pairs an answer with its question.
    message : object
        One of the membership's messages.
    """

    sender: str
    sender_incarnation: int
    host: str
    port: int
    correlation: int
    message: object


@attrs.frozen(kw_only=True)
class PlatformListed:
    """The platform's list of VMs, which lags behind reality.

    The state of a listed VM is ``'alive'`` or ``'leaving'``.
    """

    members: tuple[_model.Member, ...]


@attrs.frozen(kw_only=True)
class SeedsTried:
    """No peer is known: try (host, port) pairs from the settings."""

    addresses: tuple[tuple[str, int], ...]


@attrs.frozen(kw_only=True)
class PauseNoticed:
    """Another task has noticed that the process was paused."""


@attrs.frozen(kw_only=True)
class LeaveStarted:
    """The own VM is about to stop; it keeps answering until then."""


@attrs.frozen(kw_only=True)
class Stopped:
    """The own process ends now."""


@attrs.frozen(kw_only=True)
class SendDatagram:
    """Command: send a message; losing it does no harm."""

    host: str
    port: int
    correlation: int
    message: object


@attrs.frozen(kw_only=True)
class ViewChanged:
    """Command: tell the other tasks of a new view."""

    view: _model.MembershipView
