"""Rules for single values, chosen by the name of their field."""

import ipaddress
import re

from bluebellthread.core import _model

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
PORT_MAX = 65535
NUMBER_MAX = 2**53
"""Largest absolute value of a number.

Every JSON library reads integers up to it exactly.
"""
METHODS = ('*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
ROLES = (_model.ROLE_PREFILL, _model.ROLE_DECODE, _model.ROLE_SERVICE)
LOG_LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR')
SECRET_LENGTH_MIN = 16

NAME_FIELDS = ('name', 'vm', 'data_centre', 'region', 'serves', 'key_id')
POSITIVE_SUFFIXES = (
    '_ms',
    '_tokens',
    '_bytes',
    '_per_s',
    '_per_min',
    '_concurrency',
)


def check_scalar(cls, field, value):
    """Return (message, remedy) if a value breaks a rule, otherwise None.

    Parameters
    ----------
    cls : type
        The attrs class that the field belongs to.
    field : str
        The field's name.
    value : object
        Value of the type that the field declares.

    Examples
    --------
    >>> check_scalar(_model.BackendServer, 'port', 0)
    ('0 is not a port', 'use a number from 1 to 65535')
    """
    if cls.__name__ == 'Scope':
        # An empty field matches everything. `core.check_configuration`
        # checks that the configuration lists the region, data centre and
        # model or plain service that a scope names.
        return None
    if field in NAME_FIELDS and not NAME_PATTERN.fullmatch(value):
        return (
            f'{value!r} is not a valid name',
            'use 1 to 63 letters, digits, dots, underscores and hyphens, '
            'starting with a letter or digit',
        )
    if isinstance(value, str):
        return _check_text(cls, field, value)
    return _check_number(cls, field, value)


def _check_text(cls, field, value):
    choices = {
        'role': ROLES,
        'method': METHODS,
        'log_level': LOG_LEVELS,
    }.get(field)
    if choices and value not in choices:
        return f'{value!r} is unknown', f'use one of: {", ".join(choices)}'
    if field == 'path_prefix' and not value.startswith('/'):
        return f'{value!r} is not a path', 'start it with a slash'
    if field == 'check_path' and value and not value.startswith('/'):
        return f'{value!r} is not a path', 'start it with a slash'
    if field == 'host' and cls.__name__ == 'Settings':
        return _check_ip_address(value)
    if field == 'host' and (not value or re.search(r'[\s/]', value)):
        return f'{value!r} is not a host', 'use an IP address'
    if field == 'secret' and len(value) < SECRET_LENGTH_MIN:
        return (
            'the secret is too short',
            f'use at least {SECRET_LENGTH_MIN} random characters',
        )
    return None


def _check_ip_address(value):
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return f'{value!r} is not an IP address', 'use one such as 10.0.0.7'
    return None


def _check_number(cls, field, value):
    if isinstance(value, bool):
        return None
    if field == 'port' or field.endswith('_port'):
        # 0 in the settings of a VM lets the operating system choose a port.
        lowest = 1 if field == 'port' else 0
        if not lowest <= value <= PORT_MAX:
            return (
                f'{value} is not a port',
                f'use a number from {lowest} to {PORT_MAX}',
            )
    if field.endswith('_percent') and not 0 <= value <= 100:
        return f'{value} is not a percentage', 'use a number from 0 to 100'
    if abs(value) > NUMBER_MAX:
        return f'{value} is too large', f'use {NUMBER_MAX} or less'
    if field.endswith(POSITIVE_SUFFIXES) and value <= 0:
        return f'{value} is too small', 'use a number above 0'
    return None
