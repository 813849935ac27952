"""Collects the bytes of a body in blocks of one size."""

BLOCK_BYTES = 65536
"""Size of the blocks that hold a body. One buffer that grows is moved again
and again, and leaves gaps of ever new sizes: with several long bodies at a
time, more memory than the bodies."""


class BodyBlocks:
    """The bytes of a body as far as they have arrived.

    Examples
    --------
    >>> blocks = BodyBlocks()
    >>> blocks.append(b'a')
    >>> blocks.append(b'b')
    >>> blocks.size_bytes, blocks.join()
    (2, b'ab')
    """

    def __init__(self):
        self._full_blocks = []
        self._last_block = bytearray()

    @property
    def size_bytes(self):
        """Number of bytes added so far."""
        return len(self._full_blocks) * BLOCK_BYTES + len(self._last_block)

    def append(self, data):
        """Add the next bytes."""
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
        self._full_blocks.clear()
        self._last_block.clear()

    def join(self):
        """Return all bytes."""
        return b''.join((*self._full_blocks, self._last_block))
