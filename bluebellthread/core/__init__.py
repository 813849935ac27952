"""Decisions without input or output: events in, commands out.

Nothing here reads a clock, opens a socket or draws from global
randomness; the time and a generator are passed in.
"""

from bluebellthread.core._acceptance import Accepted
from bluebellthread.core._acceptance import check_configuration
from bluebellthread.core._acceptance import decide_acceptance
from bluebellthread.core._acceptance import Invalid
from bluebellthread.core._acceptance import Stale
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
from bluebellthread.core._errors import BluebellthreadError
from bluebellthread.core._errors import DuplicateNameError
from bluebellthread.core._errors import UnknownNameError
from bluebellthread.core._exceptions import Decision
from bluebellthread.core._exceptions import explain
from bluebellthread.core._exceptions import resolve
from bluebellthread.core._exceptions import Resolver
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
from bluebellthread.core._ownership import choose_owner
from bluebellthread.core._ownership import rank_by_rendezvous
from bluebellthread.core._policies import decode_policies
from bluebellthread.core._policies import prefill_policies
from bluebellthread.core._policies import queue_policies
from bluebellthread.core._policies import spill_policies
from bluebellthread.core._problems import ConfigurationError
from bluebellthread.core._problems import Problem
from bluebellthread.core._registry import Registry
from bluebellthread.core._revision_events import AnswerPeer
from bluebellthread.core._revision_events import ApplyConfiguration
from bluebellthread.core._revision_events import AskPeer
from bluebellthread.core._revision_events import PeerAnswered
from bluebellthread.core._revision_events import PeerAsked
from bluebellthread.core._revision_events import PeerFailed
from bluebellthread.core._revision_events import PublishedInvalid
from bluebellthread.core._revision_events import ReportConflict
from bluebellthread.core._revision_events import ReportInvalid
from bluebellthread.core._revision_events import ReportStale
from bluebellthread.core._revision_events import RevisionPublished
from bluebellthread.core._revision_events import TellPeer
from bluebellthread.core._revision_events import WatchPlatform
from bluebellthread.core._revisions import RevisionOptions
from bluebellthread.core._revisions import Revisions
from bluebellthread.core._scheduler import Scheduler
from bluebellthread.core._scheduler import SchedulerOptions
from bluebellthread.core._scheduler_events import CancelAtEngine
from bluebellthread.core._scheduler_events import CancelConfirmed
from bluebellthread.core._scheduler_events import GatewaysChanged
from bluebellthread.core._scheduler_events import SendToGateway
from bluebellthread.core._scheduler_events import ServersChanged
from bluebellthread.core._scheduler_events import Tick
from bluebellthread.core._sections import join_value
from bluebellthread.core._sections import Manifest
from bluebellthread.core._sections import ManifestPart
from bluebellthread.core._sections import pack_sections
from bluebellthread.core._sections import split_value
from bluebellthread.core._sections import unpack_sections
from bluebellthread.core._spread import choose_watchers

__all__ = [
    'Accepted',
    'AnswerPeer',
    'ApplyConfiguration',
    'AskPeer',
    'BackendServer',
    'BluebellthreadError',
    'CancelAtEngine',
    'CancelConfirmed',
    'Configuration',
    'ConfigurationError',
    'Decision',
    'Done',
    'DuplicateNameError',
    'GatewaysChanged',
    'Invalid',
    'LoadReport',
    'Manifest',
    'ManifestAnswer',
    'ManifestPart',
    'ManifestRequest',
    'Member',
    'MembershipView',
    'Model',
    'PeerAnswered',
    'PeerAsked',
    'PeerFailed',
    'Permit',
    'PermitCancelled',
    'PermitGranted',
    'PermitProgressed',
    'PermitRefused',
    'PermitReleased',
    'PermitRequest',
    'PermitsRegistered',
    'PoolKey',
    'Problem',
    'PublishedInvalid',
    'ROLE_DECODE',
    'ROLE_PREFILL',
    'ROLE_SERVICE',
    'Region',
    'Registry',
    'Rejected',
    'ReportConflict',
    'ReportInvalid',
    'ReportStale',
    'RequestFound',
    'RequestLookup',
    'Resolver',
    'RevisionAnnounced',
    'RevisionOptions',
    'RevisionPublished',
    'Revisions',
    'Route',
    'Scheduler',
    'SchedulerOptions',
    'Scope',
    'ScopedException',
    'SectionsAnswer',
    'SectionsRequest',
    'SendToGateway',
    'ServersChanged',
    'Service',
    'Stale',
    'StatusAnswer',
    'StatusRequest',
    'TellPeer',
    'Tick',
    'UnknownNameError',
    'Values',
    'WatchPlatform',
    'check_configuration',
    'choose_owner',
    'choose_watchers',
    'count_pieces',
    'decide_acceptance',
    'decode_policies',
    'estimate_tokens',
    'explain',
    'join_value',
    'pack_sections',
    'prefill_policies',
    'queue_policies',
    'rank_by_rendezvous',
    'resolve',
    'spill_policies',
    'split_value',
    'unpack_sections',
]
