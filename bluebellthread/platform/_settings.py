"""Load the platform's settings file into `EntrySettings`."""

import json

import attrs

from bluebellthread import core
from bluebellthread.entry import EntrySettings

SETTINGS_VARIABLE = 'BLUEBELLTHREAD_CONFIG'
METRICS_PORT = 9464
"""Port that serves metrics; `deploy/system.toml` names the same port."""


@attrs.frozen
class SettingsError(core.BluebellthreadError):
    """The settings file is missing, unreadable or invalid.

    Examples
    --------
    >>> str(SettingsError('/x', 'no field "ip"'))
    'cannot use settings file /x: no field "ip"; correct the file'
    """

    path: str
    problem: str

    def __str__(self):
        return (
            f'cannot use settings file {self.path}: {self.problem}; '
            'correct the file'
        )


def load_settings(path):
    """Load and decode a settings file.

    Raises
    ------
    SettingsError
        If the file is unreadable, lacks a field or has an invalid one.
    """
    try:
        with open(path, encoding='utf-8') as file:
            fields = json.load(file)
        return decode_settings(fields)
    except OSError as error:
        raise SettingsError(path, str(error)) from error
    except KeyError as error:
        raise SettingsError(path, f'no field {error}') from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(path, repr(error)) from error


def decode_settings(fields):
    """Decode the fields of the platform's settings file.

    Raises
    ------
    KeyError, ValueError, TypeError
        If a required field is missing or invalid.
    """
    bounds = fields['bounds']
    listen = fields['listen']
    first_port, last_port = map(int, fields['internalPorts'])
    platform_host, platform_port = split_address(fields['platform']['address'])
    return EntrySettings(
        vm=fields['nodeName'],
        data_centre=fields['zone'],
        region=fields['region'],
        host=fields['ip'],
        regions=dict(fields['zones']),
        caller_port=split_address(listen['front'])[1],
        ready_port=split_address(listen['ready'])[1],
        peer_port=first_port,
        relay_port=min(first_port + 1, last_port),
        metrics_port=METRICS_PORT,
        # Seed addresses have the port of another role; peers use
        # peer_port, which is the same on all VMs.
        seed_hosts=tuple(
            split_address(seed)[0] for seed in fields.get('seedNodes') or ()
        ),
        is_first_start=fields.get('bootstrap') is True,
        platform_host=platform_host,
        platform_port=platform_port,
        stop_grace_ms=int(float(bounds['graceS']) * 1000),
        repeat_ratio=float(bounds['retryBudgetRatio']),
        repeat_window_ms=int(float(bounds['budgetWindowS']) * 1000),
        repeat_slack=float(bounds['budgetSlack']),
        **_read_limits(fields.get('limits') or {}),
    )


def _read_limits(limits):
    """Return the settings of the limits that the platform names."""
    values = {
        'memory_max_mb': int(limits.get('memoryMb') or 0),
        'fd_limit': int(limits.get('fdLimit') or 0),
    }
    return {name: value for name, value in values.items() if value > 0}


def split_address(text):
    """Split ``HOST:PORT`` into the host and the port number.

    Examples
    --------
    >>> split_address('10.1.0.38:8149')
    ('10.1.0.38', 8149)
    """
    host, _, port = text.rpartition(':')
    return host, int(port)
