"""News between VMs about the limits that backend servers name.

Each class matches the struct of the same name in ``wire/peer.thrift``.
"""

import attrs


@attrs.frozen(kw_only=True)
class ServerLimit:
    """Requests a second that a server takes from all VMs together.

    Parameters
    ----------
    server, incarnation : str, int
        The server, and the start of its process; 0 if unknown.
    serves : str
        Service of the server.
    rate_per_s : float
        The limit; of no meaning if it has ended.
    is_ended : bool
        Whether the server has stopped to name a limit.
    number : int
        Counts what is told about a server, at all VMs together. Of two words
        the one with the greater number is the later.
    first_keep_deadline_ms : int
        The first `keep_deadline_ms` since the server began to name limits.
    keep_deadline_ms : int
        When this is forgotten, `LIMIT_KEEP_MS` after the server's word.
    """

    server: str
    incarnation: int
    serves: str
    rate_per_s: float = 0.0
    is_ended: bool = False
    number: int = 0
    first_keep_deadline_ms: int = 0
    keep_deadline_ms: int


@attrs.frozen(kw_only=True)
class LimitsAsk:
    """Ask a VM which servers name limits; the answer is `LimitsAnswer`."""


@attrs.frozen(kw_only=True)
class LimitInForce:
    """A limit in force, and what it has cost at one VM.

    Parameters
    ----------
    limit : ServerLimit
        The limit.
    passed_count, turned_away_count : int
        Requests of this VM that the limit let through, and that it kept from
        the server, since the VM knows the limit.
    """

    limit: ServerLimit
    passed_count: int
    turned_away_count: int


@attrs.frozen(kw_only=True)
class LimitsAnswer:
    """Answer with the limits in force."""

    limits: tuple[LimitInForce, ...]
