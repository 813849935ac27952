"""Messages between VMs about the use of customers' rate limits.

Each class matches the struct of the same name in ``wire/peer.thrift``.
"""

import attrs


@attrs.frozen(kw_only=True)
class CustomerUse:
    """What one VM has admitted of one customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    used : int
        Units that the VM has admitted since its process began. A running
        total counts once, however often its message is lost or repeated.
    window_used : int
        Those of them in the last window, for an owner that has no record.
    wanted : int
        Units asked for since the process began, refused ones included.
    needed : int
        Units of requests that wait for the reply.
    """

    customer: str
    used: int
    window_used: int = 0
    wanted: int = 0
    needed: int = 0


@attrs.frozen(kw_only=True)
class CustomerUsage:
    """Report to the owner of customers; `CustomerUsageNoted` is the reply.

    The envelope tells which process of which VM reports.

    Parameters
    ----------
    uses : tuple of CustomerUse
        The customers of the owner that it has admitted requests of.
    """

    uses: tuple[CustomerUse, ...]


@attrs.frozen(kw_only=True)
class CustomerGrant:
    """What a VM may admit of a customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    used : int
        The running total that the grant is counted from.
    credit : int
        Units that may be admitted beyond that total.
    rate_per_s : float
        Units by which the credit grows per second.
    is_near : bool
        Whether the customer is near its limit: nothing beyond the grant may
        be admitted.
    report_ms : int
        Milliseconds until the next report is expected.
    ask_ms : int
        Milliseconds until the VM may ask for more; 0 if it may at once.
    """

    customer: str
    used: int
    credit: int
    rate_per_s: float = 0.0
    is_near: bool = False
    report_ms: int = 100
    ask_ms: int = 0


@attrs.frozen(kw_only=True)
class CustomerUsageNoted:
    """Reply to a `CustomerUsage`.

    Parameters
    ----------
    grants : tuple of CustomerGrant
        One for each customer whose limit the owner knows.
    """

    grants: tuple[CustomerGrant, ...]
