"""Settings of one entry process, in the product's own terms."""

import attrs


@attrs.frozen(kw_only=True)
class EntrySettings:
    """What a process is told about itself and its surroundings.

    Parameters
    ----------
    vm, data_centre, region : str
        Name and place of the VM.
    host : str
        Its IP number.
    regions : dict of str to str
        The region of each data centre.
    caller_port, ready_port, peer_port, metrics_port : int
        Where it listens for callers, for the balancer's question, for
        other VMs and for metrics.
    seed_hosts : tuple of str
        IP numbers of some VMs, perhaps gone.
    is_first_start : bool
        Whether the whole system starts for the first time.
    platform_host, platform_port : str, int
        The platform's configuration service.
    stop_grace_ms : int
        Time between SIGTERM and SIGKILL.
    repeat_ratio, repeat_window_ms, repeat_slack : float, int, float
        The fleet's budget of repeats.
    """

    vm: str
    data_centre: str
    region: str
    host: str
    regions: dict
    caller_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    seed_hosts: tuple[str, ...]
    is_first_start: bool
    platform_host: str
    platform_port: int
    stop_grace_ms: int
    repeat_ratio: float
    repeat_window_ms: int
    repeat_slack: float
