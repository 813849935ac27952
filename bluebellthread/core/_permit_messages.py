"""Messages between gateways and schedulers about permits after failures."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class RegistrationWanted:
    """A new scheduler asks a gateway for its live permits in a pool.

    The gateway answers with `PermitsRegistered`.
    """

    pool: _model.PoolKey
    scheduler: str
    scheduler_incarnation: int


@attrs.frozen(kw_only=True)
class PermitAbandoned:
    """A gateway no longer wants the permit that it asked for."""

    caller: str
    request_id: str
    attempt_number: int
    gateway: str
    gateway_incarnation: int
    pool: _model.PoolKey
