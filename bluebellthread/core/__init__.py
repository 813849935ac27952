"""The router's decision logic, as state machines without input or output.

Each state machine takes events and returns commands. Nothing here reads a
clock, opens a socket or uses a global random generator; the code
that uses a state machine passes the time and a generator in.
"""

from bluebellthread.core._acceptance import Accepted
from bluebellthread.core._acceptance import check_configuration
from bluebellthread.core._acceptance import decide_acceptance
from bluebellthread.core._acceptance import Invalid
from bluebellthread.core._acceptance import Stale
from bluebellthread.core._answer import AnswerMachine
from bluebellthread.core._answer_body import AnswerBody
from bluebellthread.core._answer_body import AnswerBodyError
from bluebellthread.core._answer_body import AnswerCutOffError
from bluebellthread.core._answer_body import AnswerTooLongError
from bluebellthread.core._answer_body import content_checks
from bluebellthread.core._answer_commands import AskPermit
from bluebellthread.core._answer_commands import CountRetry
from bluebellthread.core._answer_commands import CountWastedPrefill
from bluebellthread.core._answer_commands import EmitPiece
from bluebellthread.core._answer_commands import FinishAnswer
from bluebellthread.core._answer_commands import RefuseAnswer
from bluebellthread.core._answer_commands import StartDecode
from bluebellthread.core._answer_commands import StartPrefill
from bluebellthread.core._answer_commands import StopRun
from bluebellthread.core._answer_commands import TellScheduler
from bluebellthread.core._answer_commands import WithdrawPermitRequest
from bluebellthread.core._answer_events import AnswerAsked
from bluebellthread.core._answer_events import CallerGone
from bluebellthread.core._answer_events import ImportEnded
from bluebellthread.core._answer_events import PieceArrived
from bluebellthread.core._answer_events import PrefillEnded
from bluebellthread.core._answer_events import RunFailed
from bluebellthread.core._answer_events import SchedulerUnreachable
from bluebellthread.core._answer_events import StreamEnded
from bluebellthread.core._answer_events import Superseded
from bluebellthread.core._answer_options import AnswerOptions
from bluebellthread.core._assembler import AnswerPiece
from bluebellthread.core._assembler import Assembler
from bluebellthread.core._assembler import TooManyHeldPiecesError
from bluebellthread.core._body_budget import BodyBudget
from bluebellthread.core._configuration import Configuration
from bluebellthread.core._configuration import Model
from bluebellthread.core._configuration import Region
from bluebellthread.core._configuration import Route
from bluebellthread.core._configuration import Scope
from bluebellthread.core._configuration import ScopedException
from bluebellthread.core._configuration import Service
from bluebellthread.core._configuration import Values
from bluebellthread.core._configuration_messages import ManifestAnswer
from bluebellthread.core._configuration_messages import ManifestRequest
from bluebellthread.core._configuration_messages import RevisionAnnounced
from bluebellthread.core._configuration_messages import SectionsAnswer
from bluebellthread.core._configuration_messages import SectionsRequest
from bluebellthread.core._counts import parse_count
from bluebellthread.core._decode_policies import BestFit
from bluebellthread.core._decode_policies import FewestRunning
from bluebellthread.core._early_refusal import EarlyRefusalQueue
from bluebellthread.core._errors import BluebellthreadError
from bluebellthread.core._errors import DuplicateNameError
from bluebellthread.core._errors import UnknownNameError
from bluebellthread.core._event_splitter import EVENT_MAX_BYTES
from bluebellthread.core._event_splitter import EventSplitter
from bluebellthread.core._event_splitter import EventTooLongError
from bluebellthread.core._event_splitter import holds_event
from bluebellthread.core._exceptions import Decision
from bluebellthread.core._exceptions import explain
from bluebellthread.core._exceptions import resolve
from bluebellthread.core._exceptions import Resolver
from bluebellthread.core._fair_queue import FairQueue
from bluebellthread.core._first_come_queue import FirstComeQueue
from bluebellthread.core._framing import find_framing
from bluebellthread.core._framing import FRAMED_BY_CHUNKS
from bluebellthread.core._framing import FRAMED_BY_CONNECTION
from bluebellthread.core._framing import FRAMED_BY_LENGTH
from bluebellthread.core._framing import FRAMED_WITHOUT_BODY
from bluebellthread.core._limits import BoundedQueue
from bluebellthread.core._limits import CallerLimits
from bluebellthread.core._limits import ConnectionLimits
from bluebellthread.core._limits import LimitRefusal
from bluebellthread.core._membership import Membership
from bluebellthread.core._membership_events import DatagramReceived
from bluebellthread.core._membership_events import LeaveStarted
from bluebellthread.core._membership_events import PauseNoticed
from bluebellthread.core._membership_events import PlatformListed
from bluebellthread.core._membership_events import SeedsProvided
from bluebellthread.core._membership_events import SendDatagram
from bluebellthread.core._membership_events import Stopped
from bluebellthread.core._membership_events import ViewChanged
from bluebellthread.core._membership_messages import MEMBERSHIP_MESSAGES
from bluebellthread.core._membership_options import MembershipOptions
from bluebellthread.core._messages import Done
from bluebellthread.core._messages import PermitCancelled
from bluebellthread.core._messages import PermitGranted
from bluebellthread.core._messages import PermitProgressed
from bluebellthread.core._messages import PermitRefused
from bluebellthread.core._messages import PermitReleased
from bluebellthread.core._messages import PermitRequest
from bluebellthread.core._messages import PermitsRegistered
from bluebellthread.core._messages import Rejected
from bluebellthread.core._messages import RequestFound
from bluebellthread.core._messages import RequestLookup
from bluebellthread.core._messages import StatusAnswer
from bluebellthread.core._messages import StatusRequest
from bluebellthread.core._model import BackendServer
from bluebellthread.core._model import CHARACTERS_PER_TOKEN
from bluebellthread.core._model import count_pieces
from bluebellthread.core._model import estimate_tokens
from bluebellthread.core._model import LoadReport
from bluebellthread.core._model import Member
from bluebellthread.core._model import MembershipView
from bluebellthread.core._model import Permit
from bluebellthread.core._model import PoolKey
from bluebellthread.core._model import ROLE_DECODE
from bluebellthread.core._model import ROLE_PREFILL
from bluebellthread.core._model import ROLE_SERVICE
from bluebellthread.core._orders import EngineOrder
from bluebellthread.core._orders import list_targets
from bluebellthread.core._orders import OrderDone
from bluebellthread.core._orders import OrderFailed
from bluebellthread.core._orders import OrderOptions
from bluebellthread.core._orders import OrderPlanner
from bluebellthread.core._orders import OrdersConfigured
from bluebellthread.core._orders import SendOrder
from bluebellthread.core._orders import weight_loads_per_min_of_pool
from bluebellthread.core._orphan_watch import make_permit_id
from bluebellthread.core._ownership import choose_owner
from bluebellthread.core._ownership import rank_by_rendezvous
from bluebellthread.core._permit_messages import PermitAbandoned
from bluebellthread.core._permit_messages import RegistrationWanted
from bluebellthread.core._platform_health import Outage
from bluebellthread.core._platform_health import PlatformHealth
from bluebellthread.core._policies import decode_policies
from bluebellthread.core._policies import DecodeCandidate
from bluebellthread.core._policies import prefill_policies
from bluebellthread.core._policies import PrefillCandidate
from bluebellthread.core._policies import queue_policies
from bluebellthread.core._policies import QueueOptions
from bluebellthread.core._policies import QueueRefusal
from bluebellthread.core._policies import spill_policies
from bluebellthread.core._prefill_policies import BoundedLoadPrefix
from bluebellthread.core._prefix_index import PrefixIndex
from bluebellthread.core._problems import ConfigurationError
from bluebellthread.core._problems import Problem
from bluebellthread.core._registry import Registry
from bluebellthread.core._retry import backoff_ms
from bluebellthread.core._retry import RetryBudget
from bluebellthread.core._revision_events import AnswerPeer
from bluebellthread.core._revision_events import ApplyConfiguration
from bluebellthread.core._revision_events import AskPeer
from bluebellthread.core._revision_events import PeerAnswered
from bluebellthread.core._revision_events import PeerAsked
from bluebellthread.core._revision_events import PeerFailed
from bluebellthread.core._revision_events import PlatformAnswered
from bluebellthread.core._revision_events import PlatformFailed
from bluebellthread.core._revision_events import PublishedInvalid
from bluebellthread.core._revision_events import ReportConflict
from bluebellthread.core._revision_events import ReportInvalid
from bluebellthread.core._revision_events import ReportStale
from bluebellthread.core._revision_events import RevisionPublished
from bluebellthread.core._revision_events import TellPeer
from bluebellthread.core._revision_events import WatchPlatform
from bluebellthread.core._revision_options import RevisionOptions
from bluebellthread.core._revision_topology import choose_watchers
from bluebellthread.core._revisions import Revisions
from bluebellthread.core._scheduler import Scheduler
from bluebellthread.core._scheduler_events import CancelAtEngine
from bluebellthread.core._scheduler_events import CancelConfirmed
from bluebellthread.core._scheduler_events import GatewaysChanged
from bluebellthread.core._scheduler_events import OptionsChanged
from bluebellthread.core._scheduler_events import SendToGateway
from bluebellthread.core._scheduler_events import ServerFailed
from bluebellthread.core._scheduler_events import ServersChanged
from bluebellthread.core._scheduler_events import Tick
from bluebellthread.core._scheduler_options import SchedulerOptions
from bluebellthread.core._sections import join_value
from bluebellthread.core._sections import Manifest
from bluebellthread.core._sections import ManifestPart
from bluebellthread.core._sections import pack_sections
from bluebellthread.core._sections import REVISION_KEY
from bluebellthread.core._sections import split_value
from bluebellthread.core._sections import unpack_sections
from bluebellthread.core._spill_policies import PoolSummary
from bluebellthread.core._spill_policies import RegionSpill
from bluebellthread.core._spill_policies import SpillPolicy
from bluebellthread.core._ticket_events import AnswerArrived
from bluebellthread.core._ticket_events import AnswerLost
from bluebellthread.core._ticket_events import CallArrived
from bluebellthread.core._ticket_events import HandOver
from bluebellthread.core._ticket_events import HandOverFinished
from bluebellthread.core._ticket_events import LookupArrived
from bluebellthread.core._ticket_events import NothingSent
from bluebellthread.core._ticket_events import RecordsNotTaken
from bluebellthread.core._ticket_events import RecordsOffered
from bluebellthread.core._ticket_events import RecordsTaken
from bluebellthread.core._ticket_events import StartSend
from bluebellthread.core._ticket_events import StopRequested
from bluebellthread.core._ticket_events import TicketAsked
from bluebellthread.core._ticket_events import TicketReply
from bluebellthread.core._ticket_events import TicketTick
from bluebellthread.core._ticket_holders import TicketHolders
from bluebellthread.core._ticket_messages import TicketCall
from bluebellthread.core._ticket_messages import TicketCopy
from bluebellthread.core._ticket_messages import TicketLookup
from bluebellthread.core._ticket_messages import TicketRecords
from bluebellthread.core._ticket_messages import TicketRequest
from bluebellthread.core._ticket_messages import TicketResult
from bluebellthread.core._ticket_messages import TicketsMoved
from bluebellthread.core._ticket_outcomes import AttemptRejected
from bluebellthread.core._ticket_outcomes import Completed
from bluebellthread.core._ticket_outcomes import limit_forwarded_outcome
from bluebellthread.core._ticket_outcomes import NotRun
from bluebellthread.core._ticket_outcomes import OutcomeUnknown
from bluebellthread.core._ticket_outcomes import RefusedByServer
from bluebellthread.core._ticket_outcomes import ServerAnswer
from bluebellthread.core._ticket_outcomes import TicketIssued
from bluebellthread.core._ticket_outcomes import TicketPending
from bluebellthread.core._ticket_store import cost_bytes
from bluebellthread.core._ticket_store import TicketRecord
from bluebellthread.core._ticket_store import TicketStore
from bluebellthread.core._ticket_token import digest_call
from bluebellthread.core._ticket_token import InvalidTicketError
from bluebellthread.core._ticket_token import parse_issuer
from bluebellthread.core._ticket_token import parse_ticket_id
from bluebellthread.core._ticket_token import Ticket
from bluebellthread.core._ticket_token import TICKET_KEYS_MAX
from bluebellthread.core._ticket_token import TicketKey
from bluebellthread.core._ticket_token import TicketKeysError
from bluebellthread.core._ticket_token import TicketSigner
from bluebellthread.core._tickets import max_check_after_ms
from bluebellthread.core._tickets import TicketKeeper
from bluebellthread.core._tickets import TicketOptions
from bluebellthread.core._token_bucket import TokenBucket

__all__ = [
    'Accepted',
    'AnswerArrived',
    'AnswerAsked',
    'AnswerBody',
    'AnswerBodyError',
    'AnswerCutOffError',
    'AnswerLost',
    'AnswerMachine',
    'AnswerOptions',
    'AnswerPeer',
    'AnswerPiece',
    'AnswerTooLongError',
    'ApplyConfiguration',
    'AskPeer',
    'AskPermit',
    'Assembler',
    'AttemptRejected',
    'BackendServer',
    'BestFit',
    'BluebellthreadError',
    'BodyBudget',
    'BoundedLoadPrefix',
    'BoundedQueue',
    'CHARACTERS_PER_TOKEN',
    'CallArrived',
    'CallerGone',
    'CallerLimits',
    'CancelAtEngine',
    'CancelConfirmed',
    'Completed',
    'Configuration',
    'ConfigurationError',
    'ConnectionLimits',
    'CountRetry',
    'CountWastedPrefill',
    'DatagramReceived',
    'Decision',
    'DecodeCandidate',
    'Done',
    'DuplicateNameError',
    'EVENT_MAX_BYTES',
    'EarlyRefusalQueue',
    'EmitPiece',
    'EngineOrder',
    'EventSplitter',
    'EventTooLongError',
    'FRAMED_BY_CHUNKS',
    'FRAMED_BY_CONNECTION',
    'FRAMED_BY_LENGTH',
    'FRAMED_WITHOUT_BODY',
    'FairQueue',
    'FewestRunning',
    'FinishAnswer',
    'FirstComeQueue',
    'GatewaysChanged',
    'HandOver',
    'HandOverFinished',
    'ImportEnded',
    'Invalid',
    'InvalidTicketError',
    'LeaveStarted',
    'LimitRefusal',
    'LoadReport',
    'LookupArrived',
    'MEMBERSHIP_MESSAGES',
    'Manifest',
    'ManifestAnswer',
    'ManifestPart',
    'ManifestRequest',
    'Member',
    'Membership',
    'MembershipOptions',
    'MembershipView',
    'Model',
    'NotRun',
    'NothingSent',
    'OptionsChanged',
    'OrderDone',
    'OrderFailed',
    'OrderOptions',
    'OrderPlanner',
    'OrdersConfigured',
    'Outage',
    'OutcomeUnknown',
    'PauseNoticed',
    'PeerAnswered',
    'PeerAsked',
    'PeerFailed',
    'Permit',
    'PermitAbandoned',
    'PermitCancelled',
    'PermitGranted',
    'PermitProgressed',
    'PermitRefused',
    'PermitReleased',
    'PermitRequest',
    'PermitsRegistered',
    'PieceArrived',
    'PlatformAnswered',
    'PlatformFailed',
    'PlatformHealth',
    'PlatformListed',
    'PoolKey',
    'PoolSummary',
    'PrefillCandidate',
    'PrefillEnded',
    'PrefixIndex',
    'Problem',
    'PublishedInvalid',
    'QueueOptions',
    'QueueRefusal',
    'REVISION_KEY',
    'ROLE_DECODE',
    'ROLE_PREFILL',
    'ROLE_SERVICE',
    'RecordsNotTaken',
    'RecordsOffered',
    'RecordsTaken',
    'RefuseAnswer',
    'RefusedByServer',
    'Region',
    'RegionSpill',
    'RegistrationWanted',
    'Registry',
    'Rejected',
    'ReportConflict',
    'ReportInvalid',
    'ReportStale',
    'RequestFound',
    'RequestLookup',
    'Resolver',
    'RetryBudget',
    'RevisionAnnounced',
    'RevisionOptions',
    'RevisionPublished',
    'Revisions',
    'Route',
    'RunFailed',
    'Scheduler',
    'SchedulerOptions',
    'SchedulerUnreachable',
    'Scope',
    'ScopedException',
    'SectionsAnswer',
    'SectionsRequest',
    'SeedsProvided',
    'SendDatagram',
    'SendOrder',
    'SendToGateway',
    'ServerAnswer',
    'ServerFailed',
    'ServersChanged',
    'Service',
    'SpillPolicy',
    'Stale',
    'StartDecode',
    'StartPrefill',
    'StartSend',
    'StatusAnswer',
    'StatusRequest',
    'StopRequested',
    'StopRun',
    'Stopped',
    'StreamEnded',
    'Superseded',
    'TICKET_KEYS_MAX',
    'TellPeer',
    'TellScheduler',
    'Tick',
    'Ticket',
    'TicketAsked',
    'TicketCall',
    'TicketCopy',
    'TicketHolders',
    'TicketIssued',
    'TicketKeeper',
    'TicketKey',
    'TicketKeysError',
    'TicketLookup',
    'TicketOptions',
    'TicketPending',
    'TicketRecord',
    'TicketRecords',
    'TicketReply',
    'TicketRequest',
    'TicketResult',
    'TicketSigner',
    'TicketStore',
    'TicketTick',
    'TicketsMoved',
    'TokenBucket',
    'TooManyHeldPiecesError',
    'UnknownNameError',
    'Values',
    'ViewChanged',
    'WatchPlatform',
    'WithdrawPermitRequest',
    'backoff_ms',
    'check_configuration',
    'choose_owner',
    'choose_watchers',
    'content_checks',
    'cost_bytes',
    'count_pieces',
    'decide_acceptance',
    'decode_policies',
    'digest_call',
    'estimate_tokens',
    'explain',
    'find_framing',
    'holds_event',
    'join_value',
    'limit_forwarded_outcome',
    'list_targets',
    'make_permit_id',
    'max_check_after_ms',
    'pack_sections',
    'parse_count',
    'parse_issuer',
    'parse_ticket_id',
    'prefill_policies',
    'queue_policies',
    'rank_by_rendezvous',
    'resolve',
    'spill_policies',
    'split_value',
    'unpack_sections',
    'weight_loads_per_min_of_pool',
]
