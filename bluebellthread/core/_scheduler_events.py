"""Input events and output commands of a scheduler."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class Tick:
    """Reports that time has passed; deadlines and timeouts must be checked."""


@attrs.frozen(kw_only=True)
class ServersChanged:
    """Reports that the configuration changed the pool's servers."""

    servers: tuple[_model.BackendServer, ...]


@attrs.frozen(kw_only=True)
class ServerFailed:
    """Reports that a backend server could not be reached."""

    server: str


@attrs.frozen(kw_only=True)
class OptionsChanged:
    """Reports that the configuration changed the pool's options."""

    options: object


@attrs.frozen(kw_only=True)
class GatewaysChanged:
    """Reports a change of the membership view.

    Parameters
    ----------
    live : tuple of (str, int)
        Name and incarnation of each live gateway process. The requests
        of any other process have ended, so its permits are cancelled.
    minority : bool
        Whether more VMs of the data centre look dead than alive, so that
        this VM itself may be partitioned from the rest.
    """

    live: tuple[tuple[str, int], ...]
    minority: bool = False


@attrs.frozen(kw_only=True)
class CancelConfirmed:
    """Reports that an engine holds no resources for a cancelled permit."""

    server: str
    permit_id: str


@attrs.frozen(kw_only=True)
class SendToGateway:
    """Command: send a message about permits to a gateway."""

    gateway: str
    message: object


@attrs.frozen(kw_only=True)
class CancelAtEngine:
    """Command: cancel a permit's work at an engine and free its resources."""

    server: str
    permit_id: str
