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


ENTRY_STARTED = Event(
    7001,
    'INFO',
    'entry {vm} started as {incarnation}: callers at {caller_port}, ready at '
    '{ready_port}, metrics at {metrics_port}, peers at {peer_port}',
)
ENTRY_STOPPING = Event(
    7002, 'INFO', 'entry {vm} is stopping with {connections} connections'
)
ENTRY_STOPPED = Event(
    7003, 'INFO', 'entry {vm} stopped with {connections} connections open'
)
SETTINGS_RELOADED = Event(7004, 'INFO', 'settings read again: {changed}')
SETTINGS_UNUSABLE = Event(7005, 'ERROR', 'settings kept as they were: {error}')
CONNECTION_CRASHED = Event(
    7006, 'ERROR', 'a connection met a fault of the router: {error}'
)
PLATFORM_LOST = Event(7011, 'WARNING', 'the {what} is not to be had: {error}')
PLATFORM_REGAINED = Event(
    7012, 'INFO', 'the {what} is to be had again after {lost_ms} ms'
)
PLATFORM_HISTORY_LOST = Event(7013, 'INFO', 'the {what} is read anew: {error}')
CONFIGURATION_IN_FORCE = Event(
    7014,
    'INFO',
    'configuration {version} of revision {revision} is in force after '
    '{previous}: {routes} routes',
)
CONFIGURATION_UNUSABLE = Event(
    7015,
    'ERROR',
    'configuration of revision {revision} rejected, {version} stays in '
    'force: {error}',
)
SERVER_LIST_READ = Event(
    7016, 'INFO', 'the list of backend servers was read: {count} usable'
)
SERVER_CHANGED = Event(
    7017, 'INFO', 'backend server {server} is {state}: {problem}'
)
PLACEMENT_OWNED = Event(
    7021, 'INFO', 'this VM is asked for places of service {service}'
)
PLACEMENT_LEFT = Event(
    7025, 'INFO', 'this VM is no longer asked for places of {service}'
)
PLACEMENT_OWNER_CHANGED = Event(
    7022,
    'INFO',
    'places of {service} are asked of {owner} instead of {previous}; '
    '{places} are in use here',
)
PLACEMENT_OWNER_LOST = Event(
    7023, 'WARNING', 'owner {owner} of {service} does not answer: {error}'
)
PLACEMENT_NOTICE_DROPPED = Event(
    7024, 'WARNING', 'a notice about places of {service} was dropped'
)
REQUEST_NOT_ROUTED = Event(
    7031,
    'INFO',
    'request {request_id} for {host}{path} has no route in version '
    '{version}: {status} {kind}',
)
PLACE_GRANTED = Event(
    7032,
    'INFO',
    'request {request_id} of {prompt_tokens} and {output_tokens} tokens has '
    'a place of {owner} at {prefill_server} and {decode_server} after '
    '{waited_ms} ms, {caller_age_ms} ms after its caller first tried',
)
ATTEMPT_FAILED = Event(
    7033,
    'WARNING',
    'request {request_id}: {stage} at {server} failed after {took_ms} ms, '
    '{remaining_ms} ms left, may have run {may_have_run}: {reason}',
)
SERVER_FAILED_REQUEST = Event(
    7034,
    'WARNING',
    'request {request_id}: {server} answered {status} after {took_ms} ms',
)
STREAM_BROKEN = Event(
    7035,
    'WARNING',
    'request {request_id}: the stream of {server} broke after event '
    '{last_event}: {reason}',
)
STREAM_RETRIED = Event(
    7036,
    'INFO',
    'request {request_id} is tried again without {failed_server} after '
    'event {resume_after}, {runs} runs so far',
)
PROMPT_NOT_FREED = Event(
    7037, 'INFO', 'a read prompt at {server} was not freed: {error}'
)
PROMPT_LOST = Event(
    7038,
    'WARNING',
    'request {request_id}: {decode_server} could not fetch the prompt that '
    '{prefill_server} had read, and reads it itself',
)
PLACE_REFUSED = Event(
    7040,
    'INFO',
    'request {request_id} was refused a place by {owner} after {age_ms} ms, '
    '{caller_age_ms} ms after its caller first tried: {kind}, '
    '{waiting} waiting, {places} places in use, come back in '
    '{retry_after_ms} ms',
)
REQUEST_ENDED = Event(
    7039,
    'INFO',
    'request {request_id} of route {route} in version {version} ended: '
    '{outcome} {status} in {took_ms} ms, {waited_ms} of them waiting, '
    'prompt read in {prefill_ms} ms, first event after {first_event_ms} ms, '
    '{runs} runs, servers {servers} of {service}',
)

ENGINE_ROLE_ORDERED = Event(
    7041,
    'INFO',
    'engine {server} was ordered to {role}: {outcome}, status {status}',
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
