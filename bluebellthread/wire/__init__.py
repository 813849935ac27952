"""Thrift encoding and framing of the messages between VMs."""

from bluebellthread.wire._codec import decode
from bluebellthread.wire._codec import encode
from bluebellthread.wire._codec import Envelope
from bluebellthread.wire._codec import list_messages
from bluebellthread.wire._codec import register_message
from bluebellthread.wire._codec import register_module
from bluebellthread.wire._codec import WireError
from bluebellthread.wire._framing import encode_frame
from bluebellthread.wire._framing import FrameReader

__all__ = [
    'Envelope',
    'FrameReader',
    'WireError',
    'decode',
    'encode',
    'encode_frame',
    'list_messages',
    'register_message',
    'register_module',
]

_NAMES_BY_MODULE = {
    '_messages': (
        'PermitRequest',
        'PermitGranted',
        'PermitRefused',
        'PermitProgressed',
        'PermitReleased',
        'PermitsRegistered',
        'PermitCancelled',
        'Done',
        'Rejected',
        'StatusRequest',
        'StatusAnswer',
        'RequestLookup',
        'RequestFound',
    ),
    '_configuration_messages': (
        'RevisionAnnounced',
        'ManifestRequest',
        'ManifestAnswer',
        'SectionsRequest',
        'SectionsAnswer',
    ),
    '_permit_messages': (
        'PermitAbandoned',
        'RegistrationWanted',
    ),
    '_ticket_messages': (
        'TicketCall',
        'TicketLookup',
        'TicketResult',
        'TicketRecords',
        'TicketsMoved',
    ),
    '_membership_messages': (
        'Ping',
        'Ack',
        'IndirectPing',
        'Gossip',
        'TableDigests',
    ),
    'routing._placement_messages': (
        'PlacementAsk',
        'PlacementGranted',
        'PlacementRefused',
        'PlacementPending',
        'PromptRead',
        'PlacementEnded',
        'HeldPlacement',
        'PlacementsHeld',
    ),
    'routing._stream_origins': (
        'StreamOrigin',
        'StreamsBegan',
        'OriginAsk',
        'OriginAnswer',
    ),
    'routing._crash_messages': (
        'EndedRun',
        'EngineEnded',
        'PartSurvived',
        'ShutOut',
        'ShutOutsAsk',
        'ShutOutLift',
        'ShutOutsAnswer',
    ),
    'routing._departures': ('Departure',),
    '_platform_health': ('Outage',),
    'routing._news': (
        'News',
        'NewsNoted',
    ),
    'routing._limit_messages': (
        'ServerLimit',
        'LimitsAsk',
        'LimitInForce',
        'LimitsAnswer',
    ),
    'routing._token_messages': (
        'TokensAsk',
        'TokensAnswer',
    ),
    'routing._customer_messages': (
        'CustomerUse',
        'CustomerUsage',
        'CustomerGrant',
        'CustomerUsageNoted',
    ),
}
"""Message classes by their module in the core. A module is imported when one
of its messages is first sent or received."""

for _module, _names in _NAMES_BY_MODULE.items():
    register_module(f'bluebellthread.core.{_module}', _names)
