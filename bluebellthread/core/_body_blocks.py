"""Collects the bytes of a body in blocks of one size."""

import mmap

BLOCK_BYTES = 65536
"""Size of the blocks that hold a body. One buffer that grows is moved again
and again, and leaves gaps of ever new sizes: with several long bodies at a
time, more memory than the bodies."""

LARGE_BYTES = 256 * 1024
"""Length from which a body gets a buffer of its own. It is mapped from the
system, since a ``bytearray`` takes all of its memory at once."""

_MAP_FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class BodyBlocks:
    """The bytes of a body as far as they have arrived.

    Parameters
    ----------
    length_bytes : int
        Length that the body will have; 0 if it is not known. A long body of
        known length is collected in one buffer, which is given back to the
        system as a whole.

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
        if length_bytes > LARGE_BYTES:
            self._buffer = mmap.mmap(-1, length_bytes, flags=_MAP_FLAGS)
        self._filled_bytes = 0
        self._full_blocks = []
        self._last_block = bytearray()

    @property
    def size_bytes(self):
        """Number of bytes added so far."""
        if self._buffer is not None:
            return self._filled_bytes
        return len(self._full_blocks) * BLOCK_BYTES + len(self._last_block)

    def append(self, data):
        """Add the next bytes."""
        if self._buffer is not None:
            end = self._filled_bytes + len(data)
            self._buffer[self._filled_bytes : end] = data
            self._filled_bytes = end
            return
        begin = 0
        while begin < len(data):
            end = begin + BLOCK_BYTES - len(self._last_block)
            self._last_block += data[begin:end]
            begin = end
            if len(self._last_block) == BLOCK_BYTES:
                # As bytes, a block has no room to grow.
                self._full_blocks.append(bytes(self._last_block))
                self._last_block.clear()

    def clear(self):
        """Drop all bytes."""
        if self._buffer is not None:
            self._buffer.close()
            self._buffer = None
            self._filled_bytes = 0
        self._full_blocks.clear()
        self._last_block.clear()

    def join(self):
        """Return all bytes."""
        if self._buffer is not None:
            return self._buffer[: self._filled_bytes]
        return b''.join((*self._full_blocks, self._last_block))
