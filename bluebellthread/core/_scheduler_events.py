"""What a scheduler takes in and what it asks for."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class Tick:
    """Time has passed; deadlines may be over."""


@attrs.frozen(kw_only=True)
class ServersChanged:
    """The configuration lists other backend servers for the pool."""

    servers: tuple[_model.BackendServer, ...]


@attrs.frozen(kw_only=True)
class ServerFailed:
    """A backend server could not be reached."""

    server: str


@attrs.frozen(kw_only=True)
class OptionsChanged:
    """The configuration names other policies for the pool."""

    options: object


@attrs.frozen(kw_only=True)
class GatewaysChanged:
    """The membership view has changed.

    Parameters
    ----------
    live : tuple of (str, int)
        Name and incarnation of each live gateway process. A permit of
        any other process belongs to a request that is gone.
    minority : bool
        Whether more VMs of the data centre look dead than alive: this VM
        may be the one that is cut off.
    """

    live: tuple[tuple[str, int], ...]
    minority: bool = False


@attrs.frozen(kw_only=True)
class CancelConfirmed:
    """An engine says that it holds nothing for a permit."""

    server: str
    permit_id: str


@attrs.frozen(kw_only=True)
class SendToGateway:
    """Command: send a grant, refusal or cancellation to a gateway."""

    gateway: str
    message: object


@attrs.frozen(kw_only=True)
class CancelAtEngine:
    """Command: tell an engine to drop whatever it holds for a permit."""

    server: str
    permit_id: str
