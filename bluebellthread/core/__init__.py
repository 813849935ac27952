"""The router's decision logic, as state machines without input or output.

Each state machine takes events and returns commands. Nothing here reads a
clock, opens a socket or uses a global random generator; the code
that uses a state machine passes the time and a generator in.

Its modules are imported when a name of theirs is first used: an entry process
uses half of them, and its callers wait for its start.
"""

import importlib

_NAMES_BY_MODULE = {
    '_acceptance': (
        'Accepted',
        'Invalid',
        'Stale',
        'check_configuration',
        'decide_acceptance',
    ),
    '_all_policies': (
        'decode_policies',
        'prefill_policies',
        'queue_policies',
        'spill_policies',
    ),
    '_answer': ('AnswerMachine',),
    '_answer_body': (
        'AnswerBody',
        'AnswerBodyError',
        'AnswerCutOffError',
        'AnswerTooLongError',
        'AnswerWithoutMemoryError',
        'content_checks',
    ),
    '_answer_commands': (
        'AskPermit',
        'CountRetry',
        'CountWastedPrefill',
        'EmitPiece',
        'FinishAnswer',
        'RefuseAnswer',
        'StartDecode',
        'StartPrefill',
        'StopRun',
        'TellScheduler',
        'WithdrawPermitRequest',
    ),
    '_answer_events': (
        'AnswerAsked',
        'CallerGone',
        'ImportEnded',
        'PieceArrived',
        'PrefillEnded',
        'RunFailed',
        'SchedulerUnreachable',
        'StopEnding',
        'StreamEnded',
        'Superseded',
    ),
    '_answer_options': ('AnswerOptions',),
    '_assembler': (
        'AnswerPiece',
        'Assembler',
        'TooManyHeldPiecesError',
    ),
    '_body_blocks': ('BodyBlocks',),
    '_chunked_body': ('ChunkedBodyError', 'ChunkedDecoder'),
    '_client_memory': (
        'KIND_AHEAD',
        'KIND_ANSWER',
        'KIND_BODY',
        'KIND_EVENTS',
        'REQUEST_KINDS',
        'ClientMemory',
    ),
    '_body_budget': ('BodyBudget', 'BodyReservation', 'NoMemoryLeftError'),
    '_configuration': (
        'Configuration',
        'Model',
        'Region',
        'Route',
        'Scope',
        'ScopedException',
        'Service',
        'Values',
    ),
    '_configuration_messages': (
        'ManifestAnswer',
        'ManifestRequest',
        'RevisionAnnounced',
        'SectionsAnswer',
        'SectionsRequest',
    ),
    '_counts': ('parse_count',),
    '_decode_policies': (
        'BestFit',
        'FewestRunning',
    ),
    '_early_refusal': ('EarlyRefusalQueue',),
    '_errors': (
        'BluebellthreadError',
        'DuplicateNameError',
        'UnknownNameError',
    ),
    '_event_splitter': (
        'EVENT_MAX_BYTES',
        'EventSplitter',
        'EventTooLongError',
        'holds_event',
    ),
    '_exceptions': (
        'Decision',
        'Resolver',
        'explain',
        'resolve',
    ),
    '_fair_queue': ('FairQueue',),
    '_first_come_queue': ('FirstComeQueue',),
    '_framing': (
        'FRAMED_BY_CHUNKS',
        'FRAMED_BY_CONNECTION',
        'FRAMED_BY_LENGTH',
        'FRAMED_WITHOUT_BODY',
        'find_framing',
    ),
    '_limits': (
        'BoundedQueue',
        'CallerLimits',
        'ConnectionLimits',
        'LimitRefusal',
    ),
    '_membership': ('Membership',),
    '_membership_events': (
        'DatagramReceived',
        'LeaveStarted',
        'PauseNoticed',
        'PlatformListed',
        'SeedsProvided',
        'SendDatagram',
        'Stopped',
        'ViewChanged',
    ),
    '_membership_messages': ('MEMBERSHIP_MESSAGES',),
    '_membership_options': ('MembershipOptions',),
    '_messages': (
        'Done',
        'PermitCancelled',
        'PermitGranted',
        'PermitProgressed',
        'PermitRefused',
        'PermitReleased',
        'PermitRequest',
        'PermitsRegistered',
        'Rejected',
        'RequestFound',
        'RequestLookup',
        'StatusAnswer',
        'StatusRequest',
    ),
    '_model': (
        'BackendServer',
        'CHARACTERS_PER_TOKEN',
        'LoadReport',
        'Member',
        'MembershipView',
        'Permit',
        'PoolKey',
        'ROLE_DECODE',
        'ROLE_PREFILL',
        'ROLE_SERVICE',
        'count_pieces',
        'estimate_tokens',
    ),
    '_orders': (
        'EngineOrder',
        'OrderDone',
        'OrderFailed',
        'OrderOptions',
        'OrderPlanner',
        'OrdersConfigured',
        'SendOrder',
        'list_targets',
        'weight_loads_per_min_of_pool',
    ),
    '_orphan_watch': ('make_permit_id',),
    '_ownership': (
        'choose_owner',
        'rank_by_rendezvous',
    ),
    '_permit_messages': (
        'PermitAbandoned',
        'RegistrationWanted',
    ),
    '_platform_health': (
        'Outage',
        'PlatformHealth',
    ),
    '_policies': (
        'DecodeCandidate',
        'PrefillCandidate',
        'QueueOptions',
        'QueueRefusal',
    ),
    '_prefill_policies': ('BoundedLoadPrefix',),
    '_prefix_index': ('PrefixIndex',),
    '_problems': (
        'ConfigurationError',
        'Problem',
    ),
    '_registry': ('Registry',),
    '_retry': (
        'RetryBudget',
        'backoff_ms',
    ),
    '_revision_events': (
        'AnswerPeer',
        'ApplyConfiguration',
        'AskPeer',
        'PeerAnswered',
        'PeerAsked',
        'PeerFailed',
        'PlatformAnswered',
        'PlatformFailed',
        'PublishedInvalid',
        'ReportConflict',
        'ReportInvalid',
        'ReportStale',
        'RevisionPublished',
        'TellPeer',
        'WatchPlatform',
    ),
    '_revision_options': ('RevisionOptions',),
    '_revision_topology': ('choose_watchers',),
    '_revisions': ('Revisions',),
    '_scheduler': ('Scheduler',),
    '_scheduler_events': (
        'CancelAtEngine',
        'CancelConfirmed',
        'GatewaysChanged',
        'OptionsChanged',
        'SendToGateway',
        'ServerFailed',
        'ServersChanged',
        'Tick',
    ),
    '_scheduler_options': ('SchedulerOptions',),
    '_sections': (
        'Manifest',
        'ManifestPart',
        'REVISION_KEY',
        'join_value',
        'pack_sections',
        'split_value',
        'unpack_sections',
    ),
    '_spill_policies': (
        'PoolSummary',
        'RegionSpill',
        'SpillPolicy',
    ),
    '_ticket_events': (
        'AnswerArrived',
        'AnswerLost',
        'CallArrived',
        'HandOver',
        'HandOverFinished',
        'LookupArrived',
        'NothingSent',
        'RecordsNotTaken',
        'RecordsOffered',
        'RecordsTaken',
        'StartSend',
        'StopRequested',
        'TicketAsked',
        'TicketReply',
        'TicketTick',
    ),
    '_ticket_holders': ('TicketHolders',),
    '_ticket_messages': (
        'TicketCall',
        'TicketCopy',
        'TicketLookup',
        'TicketRecords',
        'TicketRequest',
        'TicketResult',
        'TicketsMoved',
    ),
    '_ticket_outcomes': (
        'AttemptRejected',
        'Completed',
        'NotRun',
        'OutcomeUnknown',
        'RefusedByServer',
        'ServerAnswer',
        'TicketIssued',
        'TicketPending',
        'limit_forwarded_outcome',
    ),
    '_ticket_store': (
        'TicketRecord',
        'TicketStore',
        'cost_bytes',
    ),
    '_ticket_token': (
        'InvalidTicketError',
        'TICKET_KEYS_MAX',
        'Ticket',
        'TicketKey',
        'TicketKeysError',
        'TicketSigner',
        'digest_call',
        'parse_issuer',
        'parse_ticket_id',
    ),
    '_tickets': (
        'TicketKeeper',
        'TicketOptions',
        'max_check_after_ms',
    ),
    '_token_bucket': ('TokenBucket',),
}

_MODULES = {
    name: module
    for module, names in _NAMES_BY_MODULE.items()
    for name in names
}

__all__ = sorted([*_MODULES, 'routing'])


def __getattr__(name):
    if name == 'routing':
        return importlib.import_module(f'{__name__}.routing')
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = importlib.import_module(f'{__name__}.{_MODULES[name]}')
    value = globals()[name] = getattr(module, name)
    return value


def __dir__():
    return sorted({*globals(), *__all__})
