"""Decodes the chunked transfer coding (RFC 9112, 7.1)."""

import re

from bluebellthread.core import _errors

CHUNKS_MAX = 512
"""Chunks that are decoded at a time, so that other work goes on between short
ones."""

LINE_END = b'\r\n'
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,20})(?:;[^\r\n]*|[ \t]*)\r\n')


class ChunkedBodyError(_errors.BluebellthreadError):
    """Raised when a body is not in chunks as HTTP defines them.

    Parameters
    ----------
    problem : str
        What is wrong.
    is_too_long : bool
        Whether the line before a chunk is longer than its reader takes.
    """

    def __init__(self, problem, *, is_too_long=False):
        super().__init__(problem)
        self.is_too_long = is_too_long


class ChunkedDecoder:
    r"""Removes the framing of the chunks of one body.

    Chunk extensions are dropped. The trailer section is left to the reader.

    Attributes
    ----------
    is_at_trailers : bool
        Whether the last chunk has been decoded, so that the trailer section
        follows.
    rest_bytes : int
        Data of the chunk that has begun and is not decoded yet.

    Examples
    --------
    >>> decoder = ChunkedDecoder()
    >>> decoder.decode(bytearray(b'1;x=y\r\na\r\n2\r\nbc'))
    (b'abc', 15)
    >>> decoder.decode(bytearray(b'\r\n0\r\n\r\n'))
    (b'', 5)
    >>> decoder.is_at_trailers
    True
    """

    def __init__(self):
        self.is_at_trailers = False
        self.rest_bytes = 0
        self._is_within_chunk = False

    def decode(self, buffer, *, line_max_bytes=None):
        """Decode the next chunks, `CHUNKS_MAX` at the most.

        Parameters
        ----------
        buffer : bytearray
            The bytes that follow those decoded before.
        line_max_bytes : int or None
            Length of the longest line before a chunk; None for no limit.

        Returns
        -------
        data : bytes
            The data of the chunks.
        count : int
            How many bytes of the buffer were decoded; 0 if more bytes are
            needed.

        Raises
        ------
        ChunkedBodyError
            If the bytes are not chunks, or a line is too long.
        """
        pieces = []
        begin = 0
        for _ in range(CHUNKS_MAX):
            if not self._is_within_chunk:
                line = _SIZE_LINE.match(buffer, begin)
                if line is None:
                    _check_unfinished(buffer, begin, line_max_bytes)
                    break
                begin = line.end()
                self.rest_bytes = int(line[1], 16)
                if not self.rest_bytes:
                    self.is_at_trailers = True
                    break
                self._is_within_chunk = True
            if self.rest_bytes:
                piece = buffer[begin : begin + self.rest_bytes]
                pieces.append(piece)
                begin += len(piece)
                self.rest_bytes -= len(piece)
            end = buffer[begin : begin + len(LINE_END)]
            if not LINE_END.startswith(end):
                raise ChunkedBodyError('a chunk is longer than its size')
            if len(end) < len(LINE_END):
                break
            begin += len(LINE_END)
            self._is_within_chunk = False
        return b''.join(pieces), begin


def _check_unfinished(buffer, begin, line_max_bytes):
    """Raise if a line before a chunk is malformed or too long."""
    size_bytes = len(buffer) - begin
    # A line feed ends a line, also one that the pattern does not match.
    if buffer.find(b'\n', begin) >= 0:
        raise ChunkedBodyError('the size of a chunk is malformed')
    if line_max_bytes is not None and size_bytes > line_max_bytes:
        raise ChunkedBodyError(
            f'the line before a chunk is longer than {line_max_bytes} bytes',
            is_too_long=True,
        )
