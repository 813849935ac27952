"""Length-prefixed framing of envelopes on a byte stream.

A frame is a four-byte big-endian length, followed by an encoded envelope.
"""

import struct

from bluebellthread.wire import _codec

MAX_FRAME_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 65536

_LENGTH = struct.Struct('>I')


class FrameReader:
    """Reads frames from a stream.

    Parameters
    ----------
    stream : object
        Has an ``async`` ``receive_some(count)`` that returns no bytes at the
        end of the stream.
    """

    def __init__(self, stream):
        self._stream = stream
        self._buffer = bytearray()

    async def read(self):
        """Return the next envelope's bytes, or None at the end of the stream.

        Raises
        ------
        WireError
            If the length of the frame exceeds the limit.
        """
        header = await self._read_exactly(_LENGTH.size)
        if header is None:
            return None
        (length,) = _LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise _codec.WireError(
                f'frame of {length} bytes exceeds the limit of '
                f'{MAX_FRAME_BYTES} bytes'
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
    """Encode an envelope as a frame: a length, then the encoded bytes."""
    body = _codec.encode(envelope, now_ms=now_ms)
    return _LENGTH.pack(len(body)) + body
