"""Parsing of backend servers' load reports."""

import math

from bluebellthread import core


def to_load_report(fields, *, server, now_ms):
    """Return a `LoadReport` from a backend server's decoded JSON answer.

    Raises
    ------
    ValueError
        If a field is missing, of the wrong type or out of range.
    """
    try:
        total_pieces = int(fields['total_pieces'])
        free_pieces = int(fields['free_pieces'])
        if not 0 <= free_pieces <= total_pieces or math.isinf(total_pieces):
            raise ValueError('free_pieces is not between 0 and total_pieces')
        return core.LoadReport(
            server=server,
            incarnation=int(fields.get('incarnation', 0)),
            sequence=int(fields['sequence']),
            total_pieces=total_pieces,
            free_pieces=free_pieces,
            running_ids=tuple(map(str, fields.get('running_ids', ()))),
            queued_count=int(fields.get('queued_count', 0)),
            leaving=bool(fields.get('leaving', False)),
            received_ms=now_ms,
            role=str(fields.get('role', '')),
            targets=_read_targets(fields),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(
            f'the load report has a missing field or a wrong type: {error}'
        ) from error


def _read_targets(fields):
    if 'targets' not in fields:
        return None
    return tuple(map(str, fields['targets']))
