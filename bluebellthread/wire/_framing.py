"""Envelopes on a stream, each with its length in front.

A frame is a length of four bytes, most significant first, and an encoded
envelope.
"""

import struct

from bluebellthread.wire import _codec

LONGEST_FRAME_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 65536

_LENGTH = struct.Struct('>I')


class FrameReader:
    """Splits a stream into frames.

    Parameters
    ----------
    stream : object
        Has an ``async`` ``receive_some(count)``.
    """

    def __init__(self, stream):
        self._stream = stream
        self._buffer = bytearray()

    async def read(self):
        """Return the next frame's bytes, or None at the stream's end."""
        header = await self._read_exactly(_LENGTH.size)
        if header is None:
            return None
        (length,) = _LENGTH.unpack(header)
        if length > LONGEST_FRAME_BYTES:
            raise _codec.WireError(
                f'frame of {length} bytes; the longest is '
                f'{LONGEST_FRAME_BYTES}'
            )
        return await self._read_exactly(length)

    async def _read_exactly(self, count):
        while len(self._buffer) < count:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            self._buffer += data
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


def encode_frame(envelope, *, now_ms):
    """Return an envelope's bytes with their length in front."""
    body = _codec.encode(envelope, now_ms=now_ms)
    return _LENGTH.pack(len(body)) + body
