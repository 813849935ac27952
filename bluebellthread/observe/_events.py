"""Catalogue of numbered log events.

docs/EVENTS.md lists the same events and what an operator should do about
each; a test compares the two.
"""

import sys

import attrs
from loguru import logger

TEXT_MAX_CHARACTERS = 2000
"""Longest text of a field: that of a traceback. Clients choose ids, hosts and
paths, which may fill a whole head."""

TEXT_CUT_MARK = '...'

_LOG_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}'


@attrs.frozen
class Event:
    """Type of a log event: its number, level and message template.

    Parameters
    ----------
    number : int
        Identifies the event; never reused for another event.
    level : str
        Name of a loguru level.
    template : str
        Message, with the names of its fields in braces.

    Examples
    --------
    >>> Event(9999, 'INFO', 'VM {vm} waits').format_line(vm='vm1')
    'E9999 VM vm1 waits'
    """

    number: int
    level: str
    template: str

    def format_line(self, **fields):
        """Return the number and the message with its fields filled in."""
        return f'E{self.number} ' + self.template.format(**fields)


VM_STARTED = Event(
    1001, 'INFO', 'VM {vm} started: callers at {callers}, peers at {peers}'
)
VM_STOPPING = Event(
    1002, 'INFO', 'VM {vm} is stopping: {requests} requests in progress'
)
VM_STOPPED = Event(1003, 'INFO', 'VM {vm} stopped')
BODY_WITHOUT_MEMORY = Event(
    7079,
    'WARNING',
    'request {request_id} is refused: there is no memory for it beside the '
    '{used_bytes} bytes that are held for clients',
)
TASK_FAILED = Event(
    1004,
    'ERROR',
    'the task {task} failed for {subject} with an internal error of the '
    'router: {error}',
)
PEER_BAD_FRAME = Event(
    2001, 'WARNING', 'peer at {address} sent an unreadable frame: {error}'
)
PEER_UNREACHABLE = Event(2002, 'WARNING', 'VM {peer} is unreachable: {error}')
MEMBER_CHANGED = Event(2003, 'INFO', 'VM {peer} went from {old} to {new}')
VIEW_UNCONFIRMED = Event(
    2004, 'WARNING', 'the membership view is unconfirmed; this VM owns no pool'
)
VIEW_CONFIRMED = Event(2005, 'INFO', 'the membership view is confirmed')
DATAGRAM_TOO_LONG = Event(
    2006,
    'ERROR',
    'a datagram of {size_bytes} bytes was not sent: it exceeds the size limit',
)
PEER_MESSAGE_CRASHED = Event(
    2007,
    'ERROR',
    'a {message_class} of VM {peer} failed with an internal error: {error}',
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
    'the platform serves revision {served}, older than revision {revision} '
    'in force',
)
REVISION_CONFLICT = Event(
    3005,
    'ERROR',
    'revision {revision} differs in content between {source} and this VM',
)
PLATFORM_WATCH_CHANGED = Event(3006, 'INFO', 'VM {vm} {state} the platform')
ORDER_ACCEPTED = Event(
    3007, 'INFO', 'order {number}: {action} {target} accepted by {server}'
)
ORDER_FAILED = Event(
    3008,
    'WARNING',
    'order {number}: {action} {target} failed at {server}: {error}',
)
ORDER_NOT_CONFIRMED = Event(
    3009,
    'WARNING',
    'order {number}: {action} {target} for {server} not sent: the lease or '
    'the configuration revision is not confirmed',
)
REQUEST_FAILED = Event(
    5001, 'WARNING', 'request {request_id} failed at {hop}: {error}'
)
REQUEST_REFUSED = Event(
    5002, 'INFO', 'request {request_id} of {caller} refused: {kind}'
)
REQUEST_CRASHED = Event(
    5003,
    'ERROR',
    'request {request_id} failed with an internal error of the router: '
    '{error}',
)
POOL_OWNED = Event(4001, 'INFO', 'VM {vm} now schedules pool {pool}')
POOL_RELEASED = Event(4002, 'INFO', 'VM {vm} no longer schedules pool {pool}')
ENGINE_CANCEL_FAILED = Event(
    4003,
    'WARNING',
    'cancelling permit {permit_id} at {server} failed: {error}',
)
SCHEDULER_UNREACHABLE = Event(
    4005,
    'WARNING',
    'the scheduler of pool {pool} is unreachable; this VM serves from its '
    'cautious share of the engines',
)
PERMIT_CANCELLED = Event(
    4006, 'INFO', 'permit {permit_id} was cancelled: {kind}'
)
LOAD_REPORT_MISSING = Event(
    4004, 'WARNING', 'no load report from {server}: {error}'
)

TICKET_CALL_SENT_LATE = Event(
    6001,
    'ERROR',
    'the call of ticket {ticket_id} was sent {late_ms} ms after its deadline',
)
TICKETS_HANDED_OVER = Event(
    6002,
    'INFO',
    '{count} ticket records issued by VM {issuer} were handed over to VM '
    '{holder}',
)
TICKETS_NOT_HANDED_OVER = Event(
    6003,
    'WARNING',
    '{count} ticket records were not handed over: no VM accepted them',
)


ENTRY_STARTED = Event(
    7001,
    'INFO',
    'entry {vm} started with incarnation {incarnation}: callers at port '
    '{caller_port}, readiness at {ready_port}, metrics at {metrics_port}, '
    'peers at {peer_port}',
)
ENTRY_STOPPING = Event(
    7002,
    'INFO',
    'entry {vm} is stopping with {connections} connections open; requests '
    'end in {left_ms} ms',
)
ENTRY_STOPPED = Event(
    7003, 'INFO', 'entry {vm} stopped with {connections} connections open'
)
STOP_DECISION = Event(
    7077,
    'INFO',
    'request {request_id}: {decision} ({stage}) {since_stop_ms} ms after the '
    'stop of this VM began, {left_ms} ms before its requests end; it may '
    'take {need_ms} ms',
)
VERSIONS_TAKEN_OVER = Event(
    7078,
    'INFO',
    'this VM knows by the word of others which software versions there were '
    'before it began: {count}',
)
SETTINGS_RELOADED = Event(
    7004, 'INFO', 'settings were reloaded; changed: {changed}'
)
SETTINGS_RELOAD_FAILED = Event(
    7005,
    'ERROR',
    'settings were not reloaded, the previous ones stay in use: {error}',
)
CONNECTION_CRASHED = Event(
    7006,
    'ERROR',
    'a connection failed with an internal error of the router: {error}',
)
PLATFORM_READ_FAILED = Event(
    7011, 'WARNING', 'the {what} cannot be read from the platform: {error}'
)
PLATFORM_READ_RECOVERED = Event(
    7012,
    'INFO',
    'the {what} can be read from the platform again after {lost_ms} ms',
)
PLATFORM_HISTORY_LOST = Event(
    7013, 'INFO', 'the {what} is read again in full: {error}'
)
CONFIGURATION_IN_FORCE = Event(
    7014,
    'INFO',
    'configuration version {version} from {source} is in force and replaces '
    'version {previous}: {routes} routes',
)
CONFIGURATION_UNUSABLE = Event(
    7015,
    'ERROR',
    'configuration of revision {revision} rejected, version {version} stays '
    'in force: {error}',
)
SERVER_LIST_READ = Event(
    7016, 'INFO', 'the list of backend servers was read: {count} usable'
)
SERVER_CHANGED = Event(
    7017, 'INFO', 'backend server {server} is {state}: {problem}'
)
PLATFORM_CALL_FAILED = Event(
    7018, 'INFO', 'a call for the {what} failed: {error}'
)
CONFIGURATION_READ = Event(
    7019,
    'INFO',
    'the configuration of revision {revision} was read: {size_bytes} bytes, '
    'the first after {wait_ms} ms, the rest within {transfer_ms} ms, decoded '
    'in {decode_ms} ms',
)
PLATFORM_RESTORED = Event(
    7020,
    'WARNING',
    'the platform was restored from a copy: its era went from {old} to {new}; '
    'the {what} is read again',
)
SERVICE_OWNED = Event(
    7021, 'INFO', 'this VM now schedules placements of service {service}'
)
SERVICE_RELEASED = Event(
    7025, 'INFO', 'this VM no longer schedules placements of service {service}'
)
SERVICE_OWNER_CHANGED = Event(
    7022,
    'INFO',
    'placements of service {service} are now requested from {owner} instead '
    'of {previous}; {places} placements are in use on this VM',
)
SERVICE_OWNER_UNREACHABLE = Event(
    7023,
    'WARNING',
    'owner {owner} of service {service} does not answer: {error}',
)
PLACEMENT_NOTICE_DROPPED = Event(
    7024,
    'WARNING',
    'a message to the owner of service {service} about placements was '
    'dropped: the queue is full',
)
REQUEST_NOT_ROUTED = Event(
    7031,
    'INFO',
    'request {request_id} for {host}{path} has no route in configuration '
    'version {version}: answered {status} {kind}',
)
PLACEMENT_GRANTED = Event(
    7032,
    'INFO',
    'request {request_id} with {prompt_tokens} prompt and {output_tokens} '
    'output tokens was granted a placement by {owner} on {prefill_server} '
    'and {decode_server} after {waited_ms} ms, {caller_age_ms} ms after the '
    'first attempt of its caller; versions {prefill_version} and '
    '{decode_version}, resumes {resumes} after event {resume_after}',
)
ATTEMPT_FAILED = Event(
    7033,
    'WARNING',
    'request {request_id}: {stage} at {server} failed after {took_ms} ms, '
    '{remaining_ms} ms before the deadline, may have run: {may_have_run}, '
    'reason: {reason}',
)
SERVER_FAILED_REQUEST = Event(
    7034,
    'WARNING',
    'request {request_id}: {server} answered with status {status} after '
    '{took_ms} ms',
)
STREAM_BROKEN = Event(
    7035,
    'WARNING',
    'request {request_id}: the stream from {server} broke off after event '
    '{last_event}: {reason}',
)
STREAM_END_UNMARKED = Event(
    7042,
    'INFO',
    'request {request_id}: the stream from {server}, framed by {framing}, '
    'ended {rest_bytes} bytes after event {last_event}',
)
STREAM_RETRIED = Event(
    7036,
    'INFO',
    'request {request_id} is retried without {failed_server} and resumes '
    'after event {resume_after}, {runs} runs so far',
)
KV_CACHE_NOT_FREED = Event(
    7037, 'INFO', 'the KV cache of a prompt at {server} was not freed: {error}'
)
KV_CACHE_NOT_FETCHED = Event(
    7038,
    'WARNING',
    'request {request_id}: {decode_server} could not fetch the KV cache from '
    '{prefill_server} and computes it itself',
)
PLACEMENT_REFUSED = Event(
    7040,
    'INFO',
    'request {request_id} was refused a placement by {owner} after {age_ms} '
    'ms, {caller_age_ms} ms after the first attempt of its caller: {kind}, '
    '{waiting} requests waiting, {places} placements in use, retry after '
    '{retry_after_ms} ms',
)
REQUEST_ENDED = Event(
    7039,
    'INFO',
    'request {request_id} of route {route} in configuration version '
    '{version} ended: {outcome} {status} in {took_ms} ms, {waited_ms} ms of '
    'them waiting, prefill in {prefill_ms} ms, first event after '
    '{first_event_ms} ms, {runs} runs, servers {servers} of service '
    '{service}',
)

ENGINE_ROLE_ORDERED = Event(
    7041,
    'INFO',
    'engine {server} was ordered to the role {role}: {outcome}, status '
    '{status}',
)
STREAM_VERSION_DIFFERS = Event(
    7043,
    'WARNING',
    'request {request_id}: granted {server} of version {version}, but the '
    'stream began at version {begun_version}',
)
STREAM_TAKEN_UP = Event(
    7044,
    'INFO',
    'request {request_id} goes on with the stream that attempt {resumes} '
    'began at version {version} of service {service}, found after {took_ms} '
    'ms',
)
STREAM_ORIGIN_UNKNOWN = Event(
    7045,
    'WARNING',
    'request {request_id} is refused: after {took_ms} ms, no version is known '
    'at which the stream of attempt {resumes} may go on (service {service})',
)
STREAM_ORIGINS_NOT_SENT = Event(
    7046,
    'INFO',
    '{count} records of where streams began were not sent to VM {vm}: {error}',
)
STREAM_ORIGIN_NOT_ASKED = Event(
    7047,
    'INFO',
    'VM {vm} was not asked where the stream of attempt {resumes} began: '
    '{error}',
)
SERVER_SILENT = Event(
    7072,
    'INFO',
    'request {request_id}: {server} has sent nothing for {silent_ms} ms and '
    'is waited for; what keeps another attempt from following: {obstacle}',
)
SERVER_SILENCE_ENDED = Event(
    7073,
    'INFO',
    'request {request_id}: {server} goes on after {silent_ms} ms',
)
ATTEMPT_FOLLOWED = Event(
    7074,
    'INFO',
    'request {request_id}: another attempt is made beside the one at '
    '{server}, which has been silent for {silent_ms} ms, {runs} runs so far',
)
ATTEMPT_OVERTAKEN = Event(
    7075,
    'INFO',
    'request {request_id}: the attempt that waits for {server} since '
    '{silent_ms} ms ends for the one at {by_server}',
)
SILENT_ATTEMPT_ENDED = Event(
    7076,
    'WARNING',
    'request {request_id}: {server} was waited for in vain, for '
    '{silent_ms} ms, until {remaining_ms} ms before the deadline; what kept '
    'another attempt from following: {obstacle}',
)
REQUEST_NOT_RETRIED = Event(
    7071,
    'WARNING',
    'request {request_id}: no run follows the one at {server}: {reason}; '
    '{runs} of {runs_max} runs, {remaining_ms} ms before the deadline',
)

SERVER_HEARD_LEAVING = Event(
    7048,
    'INFO',
    'backend server {server} of incarnation {incarnation} has left by the '
    'word of VM {vm}: said so itself: {has_drained}, revision {revision} of '
    'era {era}',
)
NEWS_NOT_SENT = Event(
    7049, 'INFO', '{count} items of news were not sent to VM {vm}: {error}'
)
GRANT_DISPUTED = Event(
    7050,
    'WARNING',
    'request {request_id}: owner {owner} granted {server}, which is {kind} '
    'by the list of this VM',
)
OWNER_PASSED_OVER = Event(
    7051,
    'WARNING',
    'request {request_id}: owner {owner} refused with {kind}, but this VM '
    'knows engines of service {service}; the next owner is asked',
)

ENGINE_ENDED = Event(
    7052,
    'WARNING',
    'server {server} of service {service} ended under {count} requests of '
    'this VM: {runs}',
)
PARTS_SHUT_OUT = Event(
    7053,
    'ERROR',
    'requests of service {service} with {parts} are refused by the word of '
    '{vm}: {attempts} attempts ended the servers {engines} of '
    'versions {versions}',
)
PARTS_LIFTED = Event(
    7054,
    'WARNING',
    'requests of service {service} with {parts} are served again by the word '
    'of {vm}',
)
PART_SURVIVED = Event(
    7055,
    'INFO',
    '{part} is not to blame for servers of service {service} that ended: '
    'version {version} has answered on it, told by {vm}',
)
ENGINE_NOT_CHECKED = Event(
    7057, 'INFO', 'whether server {server} has ended is not known: {error}'
)
SHUT_OUT_REFUSED = Event(
    7056,
    'WARNING',
    'request {request_id} of service {service} is refused: {parts} end '
    'servers',
)
SERVER_LIMIT_NAMED = Event(
    7058,
    'WARNING',
    'backend server {server} of service {service} takes {rate_per_s} requests '
    'a second from all VMs together, told by {vm}',
)
SERVER_LIMIT_ENDED = Event(
    7059,
    'INFO',
    'backend server {server} of service {service} names no limit any more, '
    'told by {vm}; of the requests of this VM {passed} were sent to it and '
    '{turned_away} were not',
)
SERVER_LIMIT_UNREADABLE = Event(
    7060,
    'WARNING',
    'backend server {server} names a limit that is not a decimal number: '
    '{text}',
)
GRANT_OVER_LIMIT = Event(
    7062,
    'INFO',
    'request {request_id}: owner {owner} granted {server}, whose limit leaves '
    'no place',
)
TOKEN_OWNER_UNREACHABLE = Event(
    7061,
    'INFO',
    'VM {owner}, which grants the tokens of {account}, is not reached: '
    '{error}; this VM uses its share',
)
PLATFORM_BACK = Event(
    7063,
    'INFO',
    'the platform answers again by the word of {source}, after {away_ms} ms '
    'at the most; {count} calls that may be lost are made again',
)
SERVER_SAID_LEAVING = Event(
    7064,
    'INFO',
    'backend server {server} says in its answers that it leaves',
)
SERVER_PAUSED = Event(
    7065,
    'INFO',
    'backend server {server} has refused a request and wants none of this VM '
    'for {pause_ms} ms',
)
SERVER_PATH_LOST = Event(
    7066,
    'WARNING',
    'this VM reaches no server of service {service}; other VMs serve for it',
)
SERVER_PATH_BACK = Event(
    7067,
    'INFO',
    'this VM reaches server {server} of service {service} again, after '
    '{lost_ms} ms',
)
REQUEST_HANDED_ON = Event(
    7068,
    'INFO',
    'request {request_id} of service {service} is handed on to VM {vm} after '
    '{age_ms} ms, after event {resume_after}',
)
REQUEST_NOT_TAKEN = Event(
    7069,
    'INFO',
    'request {request_id} was not taken by VM {vm}: {reason}',
)
HANDED_ON_BROKEN = Event(
    7070,
    'WARNING',
    'request {request_id} broke off at VM {vm}: {reason}',
)
REQUEST_KEY_UNKNOWN = Event(
    7080,
    'INFO',
    'request {request_id} for {host}{path} is refused: no customer of '
    'configuration version {version} has its key, or it has none',
)
CUSTOMERS_IN_FORCE = Event(
    7081,
    'INFO',
    'configuration version {version} has {customers} customers with {keys} '
    'keys',
)
CUSTOMER_OVER_LIMIT = Event(
    7082,
    'INFO',
    'requests of customer {customer} are refused, as it is over its limit; '
    'the next may be admitted in {wait_ms} ms',
)
CUSTOMER_OWNER_UNREACHED = Event(
    7083,
    'INFO',
    'VM {owner}, which adds up the use of {customers} customers, is not '
    'reached: {error}; this VM uses its share',
)
SPEED_REPORTED = Event(
    7085,
    'INFO',
    'backend server {server} reports how long work takes on it; requests of '
    'service {service} go to servers by their estimated time from now on',
)
SERVERS_FULL = Event(
    7086,
    'WARNING',
    'request {request_id} of service {service} is refused: no server has a '
    'place in the {remaining_ms} ms that its caller waits, at least for '
    '{retry_after_ms} ms',
)
CLIENT_CUT_OFF = Event(
    7087,
    'WARNING',
    'a client that had stalled was cut off, for which {held_bytes} bytes were '
    'held',
)
CONNECTION_REFUSED = Event(
    7088,
    'WARNING',
    'a connection of a client was refused, since {count} are open',
)
REQUEST_UNACCEPTABLE = Event(
    7089,
    'INFO',
    'request {request_id} is refused with {status} for its form: {remedy}',
)


def list_events():
    """Return all events of the catalogue, sorted by number."""
    found = [item for item in globals().values() if isinstance(item, Event)]
    return sorted(found, key=lambda event: event.number)


def emit(event, **fields):
    """Log an event with its fields.

    Examples
    --------
    >>> emit(VM_STOPPED, vm='vm1')
    """
    fields = {name: _shorten(value) for name, value in fields.items()}
    logger.bind(event=event.number, **fields).log(
        event.level, '{}', event.format_line(**fields)
    )


def _shorten(value):
    """Return a text that is not too long for a line, any other value as is."""
    if isinstance(value, str) and len(value) > TEXT_MAX_CHARACTERS:
        return value[:TEXT_MAX_CHARACTERS] + TEXT_CUT_MARK
    return value


def start_log(level='INFO'):
    """Log events of a level and above to standard error as text."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_LOG_FORMAT)
