"""The catalogue of numbered log events.

docs/EVENTS.md lists the same events with what an operator does about each;
a test compares the two.
"""

import sys

import attrs
from loguru import logger

_LOG_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}'


@attrs.frozen
class Event:
    """One kind of log line.

    Parameters
    ----------
    number : int
        Never used again for another event.
    level : str
        A loguru level.
    template : str
        The line, with the names of its fields in braces.

    Examples
    --------
    >>> Event(9999, 'INFO', 'VM {vm} waits').format_line(vm='vm1')
    'E9999 VM vm1 waits'
    """

    number: int
    level: str
    template: str

    def format_line(self, **fields):
        """Return the line for some fields."""
        return f'E{self.number} ' + self.template.format(**fields)


VM_STARTED = Event(
    1001, 'INFO', 'VM {vm} started: callers {callers}, peers {peers}'
)
VM_STOPPING = Event(
    1002, 'INFO', 'VM {vm} is stopping: {requests} in progress'
)
VM_STOPPED = Event(1003, 'INFO', 'VM {vm} stopped')
PEER_BAD_FRAME = Event(
    2001, 'WARNING', 'peer at {address} sent an unreadable frame: {error}'
)
PEER_UNREACHABLE = Event(2002, 'WARNING', 'VM {peer} is unreachable: {error}')
MEMBER_CHANGED = Event(2003, 'INFO', 'VM {peer} went from {old} to {new}')
VIEW_UNCONFIRMED = Event(
    2004, 'WARNING', 'the membership view is unconfirmed; no pool is owned'
)
VIEW_CONFIRMED = Event(2005, 'INFO', 'the membership view is confirmed')
DATAGRAM_TOO_LONG = Event(
    2006, 'ERROR', 'a datagram of {size_bytes} bytes was not sent'
)
CONFIGURATION_ACCEPTED = Event(
    3001, 'INFO', 'configuration revision {revision} is in force'
)
CONFIGURATION_REJECTED = Event(
    3002, 'ERROR', 'configuration revision {revision} rejected: {error}'
)
PLATFORM_UNREACHABLE = Event(
    3003, 'WARNING', 'the platform is unreachable: {error}'
)
PLATFORM_STALE = Event(
    3004,
    'WARNING',
    'the platform serves revision {served}, older than {revision} in force',
)
REVISION_CONFLICT = Event(
    3005,
    'ERROR',
    'revision {revision} has other contents at {source} than here',
)
PLATFORM_WATCH_CHANGED = Event(3006, 'INFO', 'VM {vm} {state} the platform')
ORDER_GIVEN = Event(
    3007, 'INFO', 'order {number}: {action} {target} taken by {server}'
)
ORDER_FAILED = Event(
    3008,
    'WARNING',
    'order {number}: {action} {target} failed at {server}: {error}',
)
ORDER_NOT_CONFIRMED = Event(
    3009,
    'WARNING',
    'order {number}: {action} {target} for {server} held back: the lease or '
    'the revision is not confirmed',
)
REQUEST_FAILED = Event(
    5001, 'WARNING', 'request {request_id} failed at {hop}: {error}'
)
REQUEST_REFUSED = Event(
    5002, 'INFO', 'request {request_id} of {caller} refused: {kind}'
)
REQUEST_CRASHED = Event(
    5003, 'ERROR', 'request {request_id} met a fault of the router: {error}'
)
POOL_OWNED = Event(4001, 'INFO', 'VM {vm} now schedules pool {pool}')
POOL_LEFT = Event(4002, 'INFO', 'VM {vm} no longer schedules pool {pool}')
ENGINE_CANCEL_FAILED = Event(
    4003, 'WARNING', 'cancel of {permit_id} at {server} failed: {error}'
)
SCHEDULER_UNREACHABLE = Event(
    4005, 'WARNING', 'no scheduler for {pool}; serving from a cautious share'
)
PERMIT_CANCELLED = Event(
    4006, 'INFO', 'permit {permit_id} was cancelled: {kind}'
)
LOAD_UNREADABLE = Event(
    4004, 'WARNING', 'no load report from {server}: {error}'
)

TICKET_SENT_LATE = Event(
    6001,
    'ERROR',
    'the call of ticket {ticket_id} went out {late_ms} ms after its deadline',
)
TICKETS_HANDED_OVER = Event(
    6002, 'INFO', '{count} ticket records of VM {issuer} went to VM {holder}'
)
TICKETS_NOT_HANDED_OVER = Event(
    6003, 'WARNING', '{count} ticket records found no VM to take them'
)


def list_events():
    """Return every event of the catalogue in the order of its number."""
    found = [item for item in globals().values() if isinstance(item, Event)]
    return sorted(found, key=lambda event: event.number)


def emit(event, **fields):
    """Write one event to the log.

    Examples
    --------
    >>> emit(VM_STOPPED, vm='vm1')
    """
    logger.bind(event=event.number, **fields).log(
        event.level, '{}', event.format_line(**fields)
    )


def start_log(level='INFO'):
    """Send events of a level and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_LOG_FORMAT)
