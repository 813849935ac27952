"""Conversion between attrs messages and thrift bytes.

Deadlines and other times of a VM's clock are sent as milliseconds from now on,
since each VM has its own clock.
"""

import functools
import importlib
import typing

import attrs
from thriftpy2 import protocol
from thriftpy2 import utils

from bluebellthread.core import _errors
from bluebellthread.wire import _bounds
from bluebellthread.wire import _peer_generated
from bluebellthread.wire import _structs

TIME_SUFFIXES = ('_deadline_ms', '_clock_ms')

_idl = _structs.Structs(_peer_generated.FIELDS_BY_STRUCT)
_factory = protocol.TBinaryProtocolFactory(strict_decode=True)
"""Factory of the compiled protocol. It allocates any length that damaged bytes
claim, so the bytes are checked before they are read."""

_classes = {}
_modules = {}


class WireError(_errors.BluebellthreadError):
    """Bytes can't be decoded, or a message class can't be encoded.

    Examples
    --------
    >>> isinstance(WireError('x'), _errors.BluebellthreadError)
    True
    """


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with its sender and correlation number.

    Parameters
    ----------
    message : object
        Instance of a registered attrs class.
    sender : str
        Name of the sending VM.
    sender_incarnation : int
        Incarnation of the sending process.
    correlation : int
        Number shared by a request and its answer; 0 if no answer is
        expected.
    traceparent : str
        W3C trace context; empty if the message is not traced.
    """

    message: object
    sender: str
    sender_incarnation: int
    correlation: int = 0
    traceparent: str = ''


def register_message(cls):
    """Register an attrs class as a message class; usable as a decorator.

    Raises
    ------
    WireError
        If ``peer.thrift`` has no struct with the name of the class.
    """
    if not hasattr(_idl, cls.__name__):
        raise WireError(
            f'no struct {cls.__name__} in {_structs.IDL_PATH.name}; add one '
            'with the fields of the class and run '
            '`python -m bluebellthread.wire`'
        )
    _classes[cls.__name__] = cls
    return cls


def register_module(module, names):
    """Register message classes of a module that is imported when needed.

    Parameters
    ----------
    module : str
        Full name of the module.
    names : iterable of str
        Names of the attrs classes in it.
    """
    _modules.update(dict.fromkeys(names, module))


def list_messages():
    """Return the registered message classes, in the order of their names."""
    return [_find_class(name) for name in sorted({*_classes, *_modules})]


def _find_class(name):
    """Return the registered message class of a name, or None."""
    if name not in _classes and name in _modules:
        module = importlib.import_module(_modules[name])
        register_message(getattr(module, name))
    return _classes.get(name)


def encode(envelope, *, now_ms):
    """Encode an envelope as bytes, without a length prefix.

    Raises
    ------
    WireError
        If the class of the message is not registered.
    """
    message = envelope.message
    name = type(message).__name__
    if _find_class(name) is None:
        raise WireError(
            f'{name} is not a registered message; register its class'
        )
    envelope_struct = _idl.Envelope(
        kind=name,
        correlation=envelope.correlation,
        sender=envelope.sender,
        sender_incarnation=envelope.sender_incarnation,
        traceparent=envelope.traceparent,
        body=utils.serialize(_to_struct(message, now_ms), _factory),
    )
    return utils.serialize(envelope_struct, _factory)


def decode(data, *, now_ms):
    """Decode the bytes of an envelope.

    Raises
    ------
    WireError
        If the bytes are damaged or their message class is not registered.
    """
    try:
        envelope_struct = _read(_idl.Envelope(), data)
        cls = _find_class(envelope_struct.kind)
        if cls is None:
            raise KeyError(envelope_struct.kind)
        if not envelope_struct.sender:
            raise ValueError('no sender')
        struct = getattr(_idl, envelope_struct.kind)()
        _read(struct, envelope_struct.body)
        message = _from_struct(cls, struct, now_ms)
    except WireError:
        raise
    except Exception as error:
        raise WireError(
            f'undecodable message ({error!r}); check that both VMs run '
            'compatible versions'
        ) from error
    return Envelope(
        message=message,
        sender=envelope_struct.sender,
        sender_incarnation=envelope_struct.sender_incarnation or 0,
        correlation=envelope_struct.correlation or 0,
        traceparent=envelope_struct.traceparent or '',
    )


def _read(struct, data):
    _bounds.check_struct(data)
    return utils.deserialize(struct, data, _factory)


@attrs.frozen(kw_only=True)
class _FieldConverter:
    """Converters of one attrs field to and from thrift.

    Parameters
    ----------
    pack, unpack : callable or None
        Convert a value to its thrift form and back; both take the value
        and the current time in milliseconds. None if thrift takes the
        value unchanged.
    """

    name: str
    pack: object
    unpack: object


@functools.cache
def _field_converters_of(cls):
    return tuple(_make_field_converter(field) for field in attrs.fields(cls))


def _make_field_converter(field):
    name = field.name
    if name.endswith(TIME_SUFFIXES) or name == 'deadline_ms':
        return _FieldConverter(
            name=name,
            pack=lambda value, now_ms: value - now_ms,
            unpack=lambda value, now_ms: value + now_ms,
        )
    pack, unpack = _converters_of(field.type)
    return _FieldConverter(name=name, pack=pack, unpack=unpack)


def _converters_of(value_type):
    if attrs.has(value_type):
        return _to_struct, functools.partial(_from_struct, value_type)
    if typing.get_origin(value_type) is tuple:
        return _item_converters_of(typing.get_args(value_type)[0])
    return None, None


def _item_converters_of(item_type):
    pack, unpack = _converters_of(item_type)
    if pack is None:
        return (
            lambda items, now_ms: list(items),
            lambda items, now_ms: tuple(items),
        )
    return (
        lambda items, now_ms: [pack(item, now_ms) for item in items],
        lambda items, now_ms: tuple(unpack(item, now_ms) for item in items),
    )


def _to_struct(value, now_ms):
    cls = type(value)
    struct = getattr(_idl, cls.__name__)()
    for field in _field_converters_of(cls):
        raw = getattr(value, field.name)
        if field.pack is not None and raw is not None:
            raw = field.pack(raw, now_ms)
        setattr(struct, field.name, raw)
    return struct


def _from_struct(cls, struct, now_ms):
    values = {}
    for field in _field_converters_of(cls):
        raw = getattr(struct, field.name, None)
        if raw is None:
            # The sender runs a version without this field, so the default
            # of the attrs class applies.
            continue
        if field.unpack is not None:
            raw = field.unpack(raw, now_ms)
        values[field.name] = raw
    return cls(**values)
