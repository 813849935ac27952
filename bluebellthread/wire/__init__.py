"""Messages between VMs as thrift bytes."""

from bluebellthread.core import _configuration_messages
from bluebellthread.core import _messages
from bluebellthread.wire._codec import decode
from bluebellthread.wire._codec import encode
from bluebellthread.wire._codec import Envelope
from bluebellthread.wire._codec import register_message
from bluebellthread.wire._codec import WireError

__all__ = ['Envelope', 'WireError', 'decode', 'encode', 'register_message']

for _cls in (
    _messages.PermitRequest,
    _messages.PermitGranted,
    _messages.PermitRefused,
    _messages.PermitProgressed,
    _messages.PermitReleased,
    _messages.PermitsRegistered,
    _messages.PermitCancelled,
    _messages.Done,
    _messages.Rejected,
    _messages.StatusRequest,
    _messages.StatusAnswer,
    _messages.RequestLookup,
    _messages.RequestFound,
    _configuration_messages.RevisionAnnounced,
    _configuration_messages.ManifestRequest,
    _configuration_messages.ManifestAnswer,
    _configuration_messages.SectionsRequest,
    _configuration_messages.SectionsAnswer,
):
    register_message(_cls)
