"""Times and counts of the membership."""

import attrs


@attrs.frozen(kw_only=True)
class MembershipOptions:
    """Times and counts of the membership.

    Parameters
    ----------
    tick_period_ms : int
        Time between two looks at what is due.
    probe_period_ms : int
        Time between two pings to peers of the data centre.
    direct_timeout_ms, indirect_timeout_ms : int
        How long a ping, and then one through other VMs, may take.
    suspicion_timeout_ms : int
        How long a suspected VM has to refute.
    lease_timeout_ms : int
        A pause longer than this makes the view unconfirmed. It has to be
        shorter than any way to be declared dead.
    late_timeout_ms : int
        A pause longer than this moves the VM's own deadlines.
    join_timeout_ms : int
        How long a new process waits for the first answers.
    recheck_period_ms, remote_period_ms, table_period_ms : int
        Time between pings to dead VMs, between comparisons with other
        data centres, and between repairs of a differing table.
    forget_timeout_ms : int
        How long a dead VM that is not listed is remembered.
    indirect_count, fanout : int
        VMs that are asked to ping, and that get news at once.
    detects_pauses, probes : bool
        Only tests turn these off.

    Examples
    --------
    >>> MembershipOptions().probe_period_ms
    250
    """

    tick_period_ms: int = 50
    probe_period_ms: int = 250
    direct_timeout_ms: int = 120
    indirect_timeout_ms: int = 130
    suspicion_timeout_ms: int = 300
    lease_timeout_ms: int = 450
    late_timeout_ms: int = 120
    join_timeout_ms: int = 1000
    recheck_period_ms: int = 1000
    remote_period_ms: int = 1000
    table_period_ms: int = 1000
    forget_timeout_ms: int = 60000
    indirect_count: int = 2
    fanout: int = 3
    detects_pauses: bool = True
    probes: bool = True
