"""Options of the membership."""

import attrs


@attrs.frozen(kw_only=True)
class MembershipOptions:
    """Periods, timeouts and counts of the membership.

    Parameters
    ----------
    tick_period_ms : int
        Interval between ticks, which process expired deadlines.
    probe_period_ms : int
        Interval between pings to peers of the data centre.
    direct_timeout_ms, indirect_timeout_ms : int
        Timeout of a direct ping and of the indirect pings that follow it.
    suspicion_timeout_ms : int
        Time in which a suspected VM can refute before it is declared dead.
    lease_timeout_ms : int
        A pause of the process longer than this makes the view unconfirmed.
        The value has to be shorter than the shortest time in which other
        VMs declare a silent VM dead.
    deadline_extension_pause_ms : int
        A pause of the process longer than this extends the deadlines of its
        pings and suspicions, since answers may be waiting unread.
    join_timeout_ms : int
        Time after which a new process stops waiting for first answers.
    recheck_period_ms, remote_period_ms, table_period_ms : int
        Intervals between pings to dead VMs, between comparisons with other
        data centres, and between repairs of a table that differs.
    forget_timeout_ms : int
        Time after which a dead VM that the platform does not list is
        removed from the table.
    indirect_count, fanout : int
        Number of VMs asked for an indirect ping, and number of VMs that new
        updates are sent to at once.
    detects_pauses, probes : bool
        Whether pauses are detected and peers are pinged; only tests turn
        these off.

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
    deadline_extension_pause_ms: int = 120
    join_timeout_ms: int = 1000
    recheck_period_ms: int = 1000
    remote_period_ms: int = 1000
    table_period_ms: int = 1000
    forget_timeout_ms: int = 60000
    indirect_count: int = 2
    fanout: int = 3
    detects_pauses: bool = True
    probes: bool = True
