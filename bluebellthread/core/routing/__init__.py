"""Decide routing, admission and placement on entry VMs, without I/O."""

from bluebellthread.core.routing._allocator import Allocator
from bluebellthread.core.routing._allocator import TOKEN_MS
from bluebellthread.core.routing._allocator_options import AllocatorOptions
from bluebellthread.core.routing._allocator_options import CONTENDED_OPTIONS
from bluebellthread.core.routing._caller_age import CallerAges
from bluebellthread.core.routing._crash_evidence import CrashEvidence
from bluebellthread.core.routing._crash_evidence import EVIDENCE_MS
from bluebellthread.core.routing._crash_evidence import SETTLE_MS
from bluebellthread.core.routing._crash_evidence import SHUT_OUT_MS
from bluebellthread.core.routing._crash_messages import EndedRun
from bluebellthread.core.routing._crash_messages import EngineEnded
from bluebellthread.core.routing._crash_messages import PartSurvived
from bluebellthread.core.routing._crash_messages import ShutOut
from bluebellthread.core.routing._crash_messages import ShutOutLift
from bluebellthread.core.routing._crash_messages import ShutOutsAnswer
from bluebellthread.core.routing._crash_messages import ShutOutsAsk
from bluebellthread.core.routing._customer_accounts import CustomerAccounts
from bluebellthread.core.routing._customer_messages import CustomerGrant
from bluebellthread.core.routing._customer_messages import CustomerUsage
from bluebellthread.core.routing._customer_messages import CustomerUsageNoted
from bluebellthread.core.routing._customer_messages import CustomerUse
from bluebellthread.core.routing._customer_usage import ASK
from bluebellthread.core.routing._customer_usage import CustomerCredits
from bluebellthread.core.routing._customers import Customer
from bluebellthread.core.routing._customers import CustomerLimit
from bluebellthread.core.routing._customers import Customers
from bluebellthread.core.routing._departures import Departure
from bluebellthread.core.routing._departures import Position
from bluebellthread.core.routing._directory import ListedServer
from bluebellthread.core.routing._directory import ServerDirectory
from bluebellthread.core.routing._engine_account import EngineServer
from bluebellthread.core.routing._estimated_choice import EstimatedChoice
from bluebellthread.core.routing._estimated_choice import PlainVerdict
from bluebellthread.core.routing._grant_review import find_dispute
from bluebellthread.core.routing._grant_review import GrantReview
from bluebellthread.core.routing._helper_choice import HelperChoice
from bluebellthread.core.routing._limit_messages import LimitInForce
from bluebellthread.core.routing._limit_messages import LimitsAnswer
from bluebellthread.core.routing._limit_messages import LimitsAsk
from bluebellthread.core.routing._limit_messages import ServerLimit
from bluebellthread.core.routing._load_report import LoadReport
from bluebellthread.core.routing._memory_models import memory_models
from bluebellthread.core.routing._news import choose_partners
from bluebellthread.core.routing._news import News
from bluebellthread.core.routing._news import NewsNoted
from bluebellthread.core.routing._owner_share import LIVE_STATES
from bluebellthread.core.routing._owner_share import OwnerShare
from bluebellthread.core.routing._ownership_epoch import OwnedAllocator
from bluebellthread.core.routing._placement_messages import HeldPlacement
from bluebellthread.core.routing._placement_messages import PlacementAsk
from bluebellthread.core.routing._placement_messages import PlacementEnded
from bluebellthread.core.routing._placement_messages import PlacementGranted
from bluebellthread.core.routing._placement_messages import PlacementPending
from bluebellthread.core.routing._placement_messages import PlacementRefused
from bluebellthread.core.routing._placement_messages import PlacementsHeld
from bluebellthread.core.routing._placement_messages import PromptRead
from bluebellthread.core.routing._request_identity import identify_request
from bluebellthread.core.routing._request_identity import is_request_id
from bluebellthread.core.routing._retry_budget import WindowedRetryBudget
from bluebellthread.core.routing._role_plan import plan_decode_switches
from bluebellthread.core.routing._routes import CallerLimits
from bluebellthread.core.routing._routes import EngineTraits
from bluebellthread.core.routing._routes import find_priority
from bluebellthread.core.routing._routes import KIND_IDEMPOTENT
from bluebellthread.core.routing._routes import KIND_ONCE
from bluebellthread.core.routing._routes import KIND_STREAM
from bluebellthread.core.routing._routes import PRIORITY_MAX
from bluebellthread.core.routing._routes import Route
from bluebellthread.core.routing._routes import RoutingTable
from bluebellthread.core.routing._routes import ServiceShare
from bluebellthread.core.routing._routes import ServiceTraits
from bluebellthread.core.routing._run_race import OvertakenError
from bluebellthread.core.routing._run_race import Run
from bluebellthread.core.routing._run_race import RunRace
from bluebellthread.core.routing._run_times import RunTimes
from bluebellthread.core.routing._server_choice import server_choices
from bluebellthread.core.routing._server_choice import ServerChoice
from bluebellthread.core.routing._server_limits import effective_rate_per_s
from bluebellthread.core.routing._server_limits import LIMIT_KEEP_MS
from bluebellthread.core.routing._server_limits import ServerLimits
from bluebellthread.core.routing._server_paths import ServerPaths
from bluebellthread.core.routing._server_pauses import ServerPauses
from bluebellthread.core.routing._start_wait import StartWait
from bluebellthread.core.routing._stop_schedule import find_stopping_share
from bluebellthread.core.routing._stop_schedule import StopSchedule
from bluebellthread.core.routing._stream_origins import OriginAnswer
from bluebellthread.core.routing._stream_origins import OriginAsk
from bluebellthread.core.routing._stream_origins import OriginRecords
from bluebellthread.core.routing._stream_origins import shorten_attempt_id
from bluebellthread.core.routing._stream_origins import STREAM_LIFE_MS
from bluebellthread.core.routing._stream_origins import StreamOrigin
from bluebellthread.core.routing._stream_origins import StreamsBegan
from bluebellthread.core.routing._stream_origins import VersionHistory
from bluebellthread.core.routing._token_accounts import TokenAccounts
from bluebellthread.core.routing._token_messages import TokensAnswer
from bluebellthread.core.routing._token_messages import TokensAsk
from bluebellthread.core.routing._waiting_orders import waiting_orders

__all__ = [
    'ASK',
    'Allocator',
    'AllocatorOptions',
    'CONTENDED_OPTIONS',
    'CallerAges',
    'CallerLimits',
    'CrashEvidence',
    'Customer',
    'CustomerAccounts',
    'CustomerCredits',
    'CustomerGrant',
    'CustomerLimit',
    'CustomerUsage',
    'CustomerUsageNoted',
    'CustomerUse',
    'Customers',
    'Departure',
    'EVIDENCE_MS',
    'EndedRun',
    'EngineEnded',
    'EngineServer',
    'EstimatedChoice',
    'GrantReview',
    'EngineTraits',
    'HeldPlacement',
    'HelperChoice',
    'KIND_IDEMPOTENT',
    'KIND_ONCE',
    'KIND_STREAM',
    'LIMIT_KEEP_MS',
    'LIVE_STATES',
    'LimitInForce',
    'LimitsAnswer',
    'LimitsAsk',
    'ListedServer',
    'LoadReport',
    'News',
    'NewsNoted',
    'OriginAnswer',
    'OriginAsk',
    'OriginRecords',
    'OvertakenError',
    'OwnedAllocator',
    'OwnerShare',
    'PRIORITY_MAX',
    'PartSurvived',
    'PlainVerdict',
    'PlacementAsk',
    'PlacementEnded',
    'PlacementGranted',
    'PlacementPending',
    'PlacementRefused',
    'PlacementsHeld',
    'Position',
    'PromptRead',
    'Route',
    'RoutingTable',
    'Run',
    'RunRace',
    'RunTimes',
    'SETTLE_MS',
    'SHUT_OUT_MS',
    'STREAM_LIFE_MS',
    'ServerChoice',
    'ServerDirectory',
    'ServerLimit',
    'ServerLimits',
    'ServerPaths',
    'ServerPauses',
    'ServiceShare',
    'ServiceTraits',
    'ShutOut',
    'ShutOutLift',
    'ShutOutsAnswer',
    'ShutOutsAsk',
    'StartWait',
    'StopSchedule',
    'StreamOrigin',
    'StreamsBegan',
    'TOKEN_MS',
    'TokenAccounts',
    'TokensAnswer',
    'TokensAsk',
    'VersionHistory',
    'WindowedRetryBudget',
    'choose_partners',
    'effective_rate_per_s',
    'find_dispute',
    'find_priority',
    'find_stopping_share',
    'identify_request',
    'is_request_id',
    'memory_models',
    'plan_decode_switches',
    'server_choices',
    'shorten_attempt_id',
    'waiting_orders',
]
