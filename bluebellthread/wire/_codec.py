"""Attrs messages to thrift bytes and back."""

import pathlib
import typing

import attrs
import thriftpy2
from thriftpy2.protocol import binary
from thriftpy2 import utils

from bluebellthread.core import _errors

IDL_PATH = pathlib.Path(__file__).with_name('peer.thrift')
DEADLINE_SUFFIX = '_deadline_ms'

_idl = thriftpy2.load(str(IDL_PATH), module_name='bluebellthread_peer_thrift')
_factory = binary.TBinaryProtocolFactory()
_classes = {}


class WireError(_errors.BluebellthreadError):
    """Bytes that are no message, or a message that has no struct.

    Examples
    --------
    >>> isinstance(WireError('x'), _errors.BluebellthreadError)
    True
    """


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with its sender and the number that pairs its answer.

    Parameters
    ----------
    message : object
        The attrs message.
    sender : str
        Name of the sending VM.
    sender_incarnation : int
        Incarnation of the sending process.
    correlation : int
        Same in a request and its answer; 0 where no answer is wanted.
    traceparent : str
        W3C trace context, or empty.
    """

    message: object
    sender: str
    sender_incarnation: int
    correlation: int = 0
    traceparent: str = ''


def register_message(cls):
    """Let a class travel; a struct of its name has to be in the IDL.

    Usable as a class decorator.
    """
    if not hasattr(_idl, cls.__name__):
        raise WireError(
            f'no struct {cls.__name__} in {IDL_PATH.name}; add one with the '
            'fields of the class'
        )
    _classes[cls.__name__] = cls
    return cls


def encode(envelope, *, now_ms):
    """Return the bytes of an envelope, without a length prefix."""
    message = envelope.message
    name = type(message).__name__
    if name not in _classes:
        raise WireError(f'{name} is no wire message; register its class')
    wire = _idl.Envelope(
        kind=name,
        correlation=envelope.correlation,
        sender=envelope.sender,
        sender_incarnation=envelope.sender_incarnation,
        traceparent=envelope.traceparent,
        body=utils.serialize(_to_struct(message, now_ms), _factory),
    )
    return utils.serialize(wire, _factory)


def decode(data, *, now_ms):
    """Return the envelope in some bytes, or raise `WireError`."""
    try:
        wire = utils.deserialize(_idl.Envelope(), data, _factory)
        cls = _classes[wire.kind]
        struct = getattr(_idl, wire.kind)()
        utils.deserialize(struct, wire.body, _factory)
        message = _from_struct(struct, cls, now_ms)
    except WireError:
        raise
    except Exception as error:
        raise WireError(
            f'undecodable message ({error!r}); check that both VMs run '
            'versions that understand each other'
        ) from error
    return Envelope(
        message=message,
        sender=wire.sender,
        sender_incarnation=wire.sender_incarnation,
        correlation=wire.correlation,
        traceparent=wire.traceparent or '',
    )


def _to_struct(value, now_ms):
    struct = getattr(_idl, type(value).__name__)()
    for field in attrs.fields(type(value)):
        raw = getattr(value, field.name)
        if field.name.endswith(DEADLINE_SUFFIX) or field.name == 'deadline_ms':
            raw = raw - now_ms
        setattr(struct, field.name, _to_wire(raw, now_ms))
    return struct


def _to_wire(value, now_ms):
    if attrs.has(type(value)):
        return _to_struct(value, now_ms)
    if isinstance(value, tuple):
        return [_to_wire(item, now_ms) for item in value]
    return value


def _from_struct(struct, cls, now_ms):
    values = {}
    for field in attrs.fields(cls):
        raw = getattr(struct, field.name, None)
        if raw is None:
            # Absent: sent by a VM of another version; the default holds.
            continue
        if field.name.endswith(DEADLINE_SUFFIX) or field.name == 'deadline_ms':
            raw = raw + now_ms
        values[field.name] = _from_wire(raw, field.type, now_ms)
    return cls(**values)


def _from_wire(value, kind, now_ms):
    if attrs.has(kind):
        return _from_struct(value, kind, now_ms)
    if typing.get_origin(kind) is tuple:
        item_kind = typing.get_args(kind)[0]
        return tuple(_from_wire(item, item_kind, now_ms) for item in value)
    return value
