"""The settings of one process."""

import attrs


@attrs.frozen(kw_only=True)
class TicketKey:
    """A key that signs tickets.

    Parameters
    ----------
    key_id : str
        Travels in each ticket.
    secret : str
        Shared by all VMs of the fleet.
    issuing : bool
        True for the one key that signs new tickets; the others are still
        accepted, for a rotation.
    """

    key_id: str
    secret: str = attrs.field(repr=False)
    issuing: bool = False


@attrs.frozen(kw_only=True)
class Settings:
    """What one `bluebellthreadd` process learns from its settings file.

    Parameters
    ----------
    vm : str
        The VM's name, unique in the fleet.
    data_centre, region : str
        Where it stands.
    host : str
        IP number that it listens on and that others reach it by.
    peer_port : int
        For other VMs and operators, over TCP and UDP; 0 lets the
        operating system choose.
    peer_address : str
        ``host:port`` that other VMs reach it by, where an address
        translation makes this differ from `host` and `peer_port`.
    caller_port : int
        For callers, over HTTP; 0 lets the operating system choose.
    platform_addresses : tuple of str
        ``host:port`` of the platform's configuration service and VM list,
        tried in turn.
    seed_addresses : tuple of str
        ``host:port`` of peers to try while the platform can't be reached.
    ticket_keys : tuple of TicketKey
        At least one, with exactly one issuing, where the fleet has calls
        that may not be repeated.
    ticket_lifetime_timeout_ms : int
        From a ticket's issue to the last moment that its call may start.
    ticket_memory_max_bytes : int
        Memory for the records of tickets.
    engine_adapter : str
        Name in the registry of engine adapters.
    statsd_host, statsd_port : str, int
        Where metrics go; an empty host sends none.
    trace_path : str
        File that spans are appended to; empty for none.
    log_level : str
        Least level that is logged.
    request_body_max_bytes : int
        Longest body of a caller's request.
    request_header_max_bytes : int
        Longest head of a caller's request.
    caller_connections_max : int
        Connections from callers at a time.
    drain_timeout_ms : int
        Longest wait for streams to finish at a planned stop.
    balancer_lag_ms : int
        How long the balancer may still send new requests to a VM that
        is not ready any more; at a planned stop they are still taken.
    disabled_mechanisms : tuple of str
        For tests only, to show what a mechanism is for: ``'probes'``,
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
