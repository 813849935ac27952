"""Memory of a process, as the kernel counts it."""

import pathlib

KIB_BYTES = 1024


def read_resident_bytes(pid='self'):
    """Return the resident memory of a process."""
    return _read_status_bytes(pid, 'VmRSS')


def read_peak_bytes(pid='self'):
    """Return the most resident memory that a process has had.

    The kernel keeps it, so that no moment between two looks is missed.
    """
    return _read_status_bytes(pid, 'VmHWM')


def _read_status_bytes(pid, field):
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    (line,) = [x for x in status.splitlines() if x.startswith(f'{field}:')]
    return int(line.split()[1]) * KIB_BYTES
