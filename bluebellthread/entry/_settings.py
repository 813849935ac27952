"""Settings of one entry process, independent of the platform's file format."""

import attrs


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Holds the settings of one entry process.

    Parameters
    ----------
    vm, data_centre, region : str
        Names of the VM, and of the data centre and region that it runs in.
    host : str
        IP address of the VM.
    regions : dict of str to str
        The region of each data centre.
    caller_port, ready_port, peer_port, metrics_port : int
        The ports for callers, for the load balancer's readiness probes, for
        other VMs and for metrics.
    relay_port : int
        The port for requests that other VMs hand on.
    seed_hosts : tuple of str
        IP addresses of some VMs; they may no longer exist.
    is_first_start : bool
        Whether the whole system starts for the first time.
    platform_host, platform_port : str, int
        Address of the platform's configuration service.
    stop_grace_ms : int
        Time between SIGTERM and SIGKILL.
    repeat_ratio, repeat_window_ms, repeat_slack : float, int, float
        The fleet's retry budget for each service: retries allowed for each
        request of a sliding window, the length of the window, and further
        retries allowed in a window.
    memory_max_mb : int
        Memory in MB that the process may take.
    fd_limit : int
        File descriptors that the process may have open.
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
    relay_port: int = 0
    memory_max_mb: int = 150
    fd_limit: int = 4096
