"""Settings of one process, as its settings file gives them."""

import attrs


@attrs.frozen(kw_only=True)
class TicketKey:
    """Secret key that signs and verifies tickets.

    Parameters
    ----------
    key_id : str
        Identifies the key; each ticket carries it.
    secret : str
        Key of the signature, shared by all VMs of the fleet.
    issuing : bool
        True for the one key that signs new tickets. Tickets signed with the
        other keys are still accepted, so that keys can be rotated.
    """

    key_id: str
    secret: str = attrs.field(repr=False)
    issuing: bool = False


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one `bluebellthreadd` process.

    Parameters
    ----------
    vm : str
        Name of the VM, unique in the fleet.
    data_centre, region : str
        Data centre and region of the VM.
    host : str
        IP address that the process listens on and that peers connect to.
    peer_port : int
        TCP and UDP port for other VMs and operators; 0 lets the operating
        system choose.
    peer_address : str
        ``host:port`` that other VMs connect to, if address translation makes
        it differ from `host` and `peer_port`.
    caller_port : int
        HTTP port for callers; 0 lets the operating system choose.
    platform_addresses : tuple of str
        ``host:port`` of the platform's servers that publish the configuration
        and the VM list, tried in turn.
    seed_addresses : tuple of str
        ``host:port`` of peers to contact while the platform is unreachable.
    ticket_keys : tuple of TicketKey
        Keys of tickets, exactly one of them issuing. Required if the fleet
        serves at-most-once calls.
    ticket_lifetime_timeout_ms : int
        Longest time from a ticket's issue to the start of its call.
    ticket_memory_max_bytes : int
        Largest memory for the records of tickets.
    engine_adapter : str
        Name of the engine adapter in its registry.
    statsd_host, statsd_port : str, int
        Address of the statsd server; an empty host sends no metrics.
    trace_path : str
        File that trace spans are appended to; empty disables tracing.
    log_level : str
        Lowest level of events that are logged.
    request_body_max_bytes : int
        Largest body of a caller's request.
    request_header_max_bytes : int
        Largest header section of a caller's request.
    caller_connections_max : int
        Maximum number of connections that callers may have open at a time.
    drain_timeout_ms : int
        Longest time that a planned stop waits for streams to finish.
    balancer_lag_ms : int
        How long the load balancer may still send new requests to a VM that
        has reported not ready. A planned stop accepts requests for that time.
    disabled_mechanisms : tuple of str
        For tests only: mechanisms turned off to show which fault each guards
        against. The names are ``'probes'``,
        ``'pause-detection'``, ``'gateway-cancel'``, ``'stray-cancel'``,
        ``'registrations'``, ``'cautious-share'``, ``'release-resend'``,
        ``'minority-wait'``, ``'balancer-lag'``, ``'start-hold'``,
        ``'revision-order'``, ``'digest-exchange'``, ``'shared-watch'``,
        ``'order-confirmation'``; for answers ``'answer-order'``,
        ``'answer-resume'``, ``'answer-retry'``, ``'supersede'`` or
        ``'caller-release'``.

    Examples
    --------
    >>> Settings(vm='vm1', data_centre='cluj-a', region='transilvania',
    ...          host='127.0.0.1', peer_port=0, caller_port=0,
    ...          platform_addresses=('127.0.0.1:9',)).log_level
    'INFO'
    """

    vm: str
    data_centre: str
    region: str
    host: str
    peer_port: int
    caller_port: int
    platform_addresses: tuple[str, ...]
    seed_addresses: tuple[str, ...] = ()
    peer_address: str = ''
    ticket_keys: tuple[TicketKey, ...] = ()
    ticket_lifetime_timeout_ms: int = 30000
    ticket_memory_max_bytes: int = 8 * 1024 * 1024
    engine_adapter: str = 'completions'
    statsd_host: str = ''
    statsd_port: int = 8125
    trace_path: str = ''
    log_level: str = 'INFO'
    request_body_max_bytes: int = 4 * 1024 * 1024
    request_header_max_bytes: int = 16 * 1024
    caller_connections_max: int = 1024
    drain_timeout_ms: int = 120000
    balancer_lag_ms: int = 3000
    disabled_mechanisms: tuple[str, ...] = ()
