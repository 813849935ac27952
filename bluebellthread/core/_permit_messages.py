"""Messages that ask for held permits or withdraw a permit request."""

import attrs

from bluebellthread.core import _model


@attrs.frozen(kw_only=True)
class RegistrationWanted:
    """Asks a gateway for its permits in a pool; sent by a new scheduler.

    The gateway answers with `PermitsRegistered`.
    """

    pool: _model.PoolKey
    scheduler: str
    scheduler_incarnation: int


@attrs.frozen(kw_only=True)
class PermitAbandoned:
    """Withdraws a permit request, granted or not; sent by a gateway."""

    caller: str
    request_id: str
    attempt_number: int
    gateway: str
    gateway_incarnation: int
    pool: _model.PoolKey
