"""Checks that the sizes in thrift bytes fit the bytes that there are.

A damaged message may claim two thousand million elements. thriftpy2 skips
those of a type that it doesn't know one by one, without reading anything, and
the process does nothing else for minutes.
"""

import struct

from thriftpy2 import thrift

DEPTH_MAX = 8
"""Deepest nesting of structs and lists: twice that of ``peer.thrift``."""

_SIZES = {
    thrift.TType.BOOL: 1,
    thrift.TType.BYTE: 1,
    thrift.TType.I16: 2,
    thrift.TType.I32: 4,
    thrift.TType.I64: 8,
    thrift.TType.DOUBLE: 8,
}
_LENGTH = struct.Struct('>i')
_LIST_HEAD = struct.Struct('>bi')
_MAP_HEAD = struct.Struct('>bbi')
FIELD_HEAD_BYTES = 3


class BoundsError(Exception):
    """Raised when bytes are no thrift struct of the binary protocol.

    Parameters
    ----------
    offset : int
        Where the bytes stop making sense.
    """

    def __init__(self, offset):
        super().__init__(f'the bytes make no sense from offset {offset} on')


def check_struct(data):
    """Check that bytes begin with one whole struct.

    Raises
    ------
    BoundsError
        If a size doesn't fit the bytes, a type is unknown or structs are
        nested too deeply.

    Examples
    --------
    >>> check_struct(bytes([2, 0, 1, 1, 0]))
    """
    try:
        _skip_struct(data, 0, DEPTH_MAX)
    except (IndexError, struct.error):
        raise BoundsError(len(data)) from None


def _skip_struct(data, offset, depth):
    """Return the offset after the struct that begins at an offset."""
    if not depth:
        raise BoundsError(offset)
    while data[offset] != thrift.TType.STOP:
        offset = _skip(
            data, data[offset], offset + FIELD_HEAD_BYTES, depth - 1
        )
    return offset + 1


def _skip(data, kind, offset, depth):
    """Return the offset after the value that begins at an offset."""
    size = _SIZES.get(kind)
    if size is not None:
        return _advance(data, offset, size)
    if kind == thrift.TType.STRING:
        (size,) = _LENGTH.unpack_from(data, offset)
        return _advance(data, offset + _LENGTH.size, size)
    if kind == thrift.TType.STRUCT:
        return _skip_struct(data, offset, depth)
    if kind in (thrift.TType.LIST, thrift.TType.SET):
        item_kind, count = _LIST_HEAD.unpack_from(data, offset)
        return _skip_items(
            data, (item_kind,), count, offset + _LIST_HEAD.size, depth
        )
    if kind == thrift.TType.MAP:
        *kinds, count = _MAP_HEAD.unpack_from(data, offset)
        return _skip_items(data, kinds, count, offset + _MAP_HEAD.size, depth)
    raise BoundsError(offset)


def _skip_items(data, kinds, count, offset, depth):
    # Each item takes a byte at least, so that the loop ends with the bytes.
    if not depth or not 0 <= count <= len(data) - offset:
        raise BoundsError(offset)
    if len(kinds) == 1 and kinds[0] in _SIZES:
        return _advance(data, offset, count * _SIZES[kinds[0]])
    for _ in range(count):
        for kind in kinds:
            offset = _skip(data, kind, offset, depth - 1)
    return offset


def _advance(data, offset, size):
    end = offset + size
    if size < 0 or end > len(data):
        raise BoundsError(offset)
    return end
