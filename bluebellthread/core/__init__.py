"""Decisions without input or output: events in, commands out.

Nothing here reads a clock, opens a socket or draws from global
randomness; the time and a generator are passed in.
"""

from bluebellthread.core._acceptance import Accepted
from bluebellthread.core._acceptance import check_configuration
from bluebellthread.core._acceptance import decide_acceptance
from bluebellthread.core._acceptance import Invalid
from bluebellthread.core._acceptance import Stale
from bluebellthread.core._answer import AnswerMachine
from bluebellthread.core._answer import AnswerOptions
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
from bluebellthread.core._answer_events import AnswerAsked
from bluebellthread.core._answer_events import CallerGone
from bluebellthread.core._answer_events import ImportEnded
from bluebellthread.core._answer_events import PieceArrived
from bluebellthread.core._answer_events import PrefillEnded
from bluebellthread.core._answer_events import RunFailed
from bluebellthread.core._answer_events import SchedulerUnreachable
from bluebellthread.core._answer_events import StreamEnded
from bluebellthread.core._answer_events import Superseded
from bluebellthread.core._assembler import AnswerPiece
from bluebellthread.core._assembler import Assembler
from bluebellthread.core._assembler import TooManyHeldPiecesError
from bluebellthread.core._configuration import Configuration
from bluebellthread.core._configuration import Model
from bluebellthread.core._configuration import Region
from bluebellthread.core._configuration import Route
from bluebellthread.core._configuration import Scope
from bluebellthread.core._configuration import ScopedException
from bluebellthread.core._configuration import Service
from bluebellthread.core._configuration import Values
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
from bluebellthread.core._scheduler import Scheduler
from bluebellthread.core._scheduler import SchedulerOptions
from bluebellthread.core._scheduler_events import CancelAtEngine
from bluebellthread.core._scheduler_events import CancelConfirmed
from bluebellthread.core._scheduler_events import GatewaysChanged
from bluebellthread.core._scheduler_events import SendToGateway
from bluebellthread.core._scheduler_events import ServersChanged
from bluebellthread.core._scheduler_events import Tick

__all__ = [
    'Accepted',
    'AnswerAsked',
    'AnswerMachine',
    'AnswerOptions',
    'AnswerPiece',
    'AskPermit',
    'Assembler',
    'BackendServer',
    'BluebellthreadError',
    'CallerGone',
    'CancelAtEngine',
    'CancelConfirmed',
    'Configuration',
    'ConfigurationError',
    'CountRetry',
    'CountWastedPrefill',
    'Decision',
    'Done',
    'DuplicateNameError',
    'EmitPiece',
    'FinishAnswer',
    'GatewaysChanged',
    'ImportEnded',
    'Invalid',
    'LoadReport',
    'Member',
    'MembershipView',
    'Model',
    'Permit',
    'PermitCancelled',
    'PermitGranted',
    'PermitProgressed',
    'PermitRefused',
    'PermitReleased',
    'PermitRequest',
    'PermitsRegistered',
    'PieceArrived',
    'PoolKey',
    'PrefillEnded',
    'Problem',
    'ROLE_DECODE',
    'ROLE_PREFILL',
    'ROLE_SERVICE',
    'RefuseAnswer',
    'Region',
    'Registry',
    'Rejected',
    'RequestFound',
    'RequestLookup',
    'Resolver',
    'Route',
    'RunFailed',
    'Scheduler',
    'SchedulerOptions',
    'SchedulerUnreachable',
    'Scope',
    'ScopedException',
    'SendToGateway',
    'ServersChanged',
    'Service',
    'Stale',
    'StartDecode',
    'StartPrefill',
    'StatusAnswer',
    'StatusRequest',
    'StopRun',
    'StreamEnded',
    'Superseded',
    'TellScheduler',
    'Tick',
    'TooManyHeldPiecesError',
    'UnknownNameError',
    'Values',
    'check_configuration',
    'choose_owner',
    'count_pieces',
    'decide_acceptance',
    'decode_policies',
    'estimate_tokens',
    'explain',
    'prefill_policies',
    'queue_policies',
    'rank_by_rendezvous',
    'resolve',
    'spill_policies',
]
