"""Collects the bytes of a body."""

import mmap

BLOCK_BYTES = 65536
"""Longest body that is kept on the heap. A longer buffer there is copied as
it grows and again at its end, and leaves gaps of ever new sizes: with several
long bodies at a time, more memory than the bodies."""

_MAP_FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class BodyBlocks:
    """The bytes of a body as far as they have arrived.

    A long body is collected in memory that is mapped from the system. It
    takes only what is filled, grows without a copy, and is given back as a
    whole.

    Parameters
    ----------
    length_bytes : int
        Length that the body will have; 0 if it is not known.

    Examples
    --------
    >>> blocks = BodyBlocks()
    >>> blocks.append(b'a')
    >>> blocks.append(b'b')
    >>> blocks.size_bytes, blocks.join()
    (2, b'ab')
    """

    def __init__(self, length_bytes=0):
        self._buffer = None
        if length_bytes > BLOCK_BYTES:
            self._buffer = mmap.mmap(-1, length_bytes, flags=_MAP_FLAGS)
        self._filled_bytes = 0
        self._block = bytearray()

    @property
    def size_bytes(self):
        """Number of bytes added so far."""
        if self._buffer is not None:
            return self._filled_bytes
        return len(self._block)

    def append(self, data):
        """Add the next bytes."""
        size_bytes = self.size_bytes + len(data)
        if self._buffer is None and size_bytes <= BLOCK_BYTES:
            self._block += data
            return
        if self._buffer is None:
            self._buffer = mmap.mmap(-1, 2 * size_bytes, flags=_MAP_FLAGS)
            self._fill(self._block)
            self._block = bytearray()
        elif size_bytes > len(self._buffer):
            self._buffer.resize(2 * size_bytes)
        self._fill(data)

    def _fill(self, data):
        end = self._filled_bytes + len(data)
        self._buffer[self._filled_bytes : end] = data
        self._filled_bytes = end

    def clear(self):
        """Drop all bytes."""
        if self._buffer is not None:
            self._buffer.close()
            self._buffer = None
            self._filled_bytes = 0
        self._block.clear()

    def join(self):
        """Return all bytes."""
        if self._buffer is not None:
            return self._buffer[: self._filled_bytes]
        return bytes(self._block)
