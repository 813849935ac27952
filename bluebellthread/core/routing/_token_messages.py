"""Messages between VMs about tokens of accounts that they share.

Each class matches the struct of the same name in ``wire/peer.thrift``.
"""

import attrs


@attrs.frozen(kw_only=True)
class TokensAsk:
    """Ask the owner of an account for tokens; `TokensAnswer` is the answer.

    Parameters
    ----------
    account : str
        Name of the account, unique over all accounts.
    owner_key : str
        Key by which the VMs determine the owner.
    vm : str
        The VM that asks.
    rate_per_s : float
        Tokens that the account gains per second, as the VM knows it.
    rate_deadline_ms : int
        Order of rates: the one with the latest deadline holds.
    count : int
        Tokens that are asked for.
    """

    account: str
    owner_key: str
    vm: str
    rate_per_s: float
    rate_deadline_ms: int
    count: int


@attrs.frozen(kw_only=True)
class TokensAnswer:
    """Grant tokens of an account.

    Parameters
    ----------
    count : int
        Tokens that are granted, at most as many as were asked for.
    wait_ms : int
        Milliseconds before the VM asks again, if some were not granted.
    """

    count: int
    wait_ms: int = 0
