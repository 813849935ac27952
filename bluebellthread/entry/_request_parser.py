"""Parses the requests of a caller's connection in steps of bounded work.

h11 checks and frames the messages. It gets whole heads without the characters
that make its patterns take time by the square of a line's length, and bodies
without chunks, since it makes an event of each, however short.
"""

import re

import h11

from bluebellthread import core
from bluebellthread.entry import _last_answer

PIECE_BYTES = 65536
"""Longest piece of a body that is parsed at a time."""

TURN_BYTES = 2048
"""Bytes that are parsed without a turn: the heads of usual requests."""

LAST_CHUNK = b'0\r\n'

HEAD_END = re.compile(rb'\n\r?\n')

LINE_CHARACTERS_MIN = 0x21
"""First byte that may begin a request line."""

FORBIDDEN = re.compile(rb'[\x00\x0b\x0c]|\r(?!\n)')
"""What no header line has. h11 refuses it too, but after it has tried each
length of the blanks before it."""


class BadRequestError(Exception):
    """Raised when a caller sends a request that can't be served.

    Parameters
    ----------
    status : int
        HTTP status of the refusal, a key of `_last_answer.REMEDIES`.
    """

    def __init__(self, status):
        self.status = status
        super().__init__(f'{status}: {_last_answer.REMEDIES[status]}')


class RequestParser:
    """Parses the bytes that a caller sends on one connection.

    Parameters
    ----------
    conn : h11.Connection
        Checks the messages, and knows the state of both sides.

    """

    def __init__(self, conn):
        self._conn = conn
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._rest_bytes = 0
        self._decoder = None

    @property
    def ahead_bytes(self):
        """Number of bytes that have been received and are not parsed."""
        return len(self._buffer)

    @property
    def rest_bytes(self):
        """Number of bytes that the body, or its chunk, still announces."""
        if self._decoder is not None:
            return self._decoder.rest_bytes
        return self._rest_bytes

    @property
    def needs_turn(self):
        """Whether the next step may hold up others for long."""
        has_lines = self._decoder is not None or not self._rest_bytes
        return has_lines and len(self._buffer) > TURN_BYTES

    def receive(self, data):
        """Add received bytes."""
        self._buffer += data

    def clear(self):
        """Drop the bytes that are not parsed, since none will be."""
        self._buffer = bytearray()

    def next_event(self, head_max_bytes):
        """Return the next event, or ``h11.NEED_DATA``.

        Parameters
        ----------
        head_max_bytes : int
            Length of the longest request line, and of all headers, all
            trailers, or the line before a chunk.

        Raises
        ------
        BadRequestError
            If the request is malformed, or a part of it is too long.
        """
        try:
            if self._conn.their_state is h11.IDLE:
                return self._parse_head(head_max_bytes)
            if self._decoder is not None:
                return self._parse_chunks(head_max_bytes)
            return self._parse_piece()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(
                _known_status(error.error_status_hint)
            ) from error

    def _parse_head(self, max_bytes):
        if self._buffer and self._buffer[0] < LINE_CHARACTERS_MIN:
            raise BadRequestError(400)
        end = self._find_section_end()
        first_line_bytes = self._buffer.find(b'\n') + 1
        size_bytes = end or len(self._buffer)
        if max(first_line_bytes, size_bytes - first_line_bytes) > max_bytes:
            raise BadRequestError(431)
        if not end:
            return h11.NEED_DATA
        event = self._pass_lines(end)
        _check_framing(event)
        self._note_framing(event)
        return event

    def _find_section_end(self):
        """Return where the blank line after headers ends; 0 if it is not."""
        match = HEAD_END.search(self._buffer, self._searched_bytes)
        if match is not None:
            self._searched_bytes = 0
            return match.end()
        # The end may be cut within its three bytes.
        self._searched_bytes = max(0, len(self._buffer) - 2)
        return 0

    def _note_framing(self, head):
        self._decoder = None
        self._rest_bytes = 0
        for name, value in head.headers:
            if name == b'transfer-encoding':
                self._decoder = core.ChunkedDecoder()
            elif name == b'content-length':
                self._rest_bytes = int(value)

    def _parse_chunks(self, line_max_bytes):
        if self._decoder.is_at_trailers:
            return self._parse_trailers(line_max_bytes)
        try:
            data, count = self._decoder.decode(
                self._buffer, line_max_bytes=line_max_bytes
            )
        except core.ChunkedBodyError as error:
            status = 431 if error.is_too_long else 400
            raise BadRequestError(status) from error
        del self._buffer[:count]
        if data:
            return h11.Data(data=data)
        if self._decoder.is_at_trailers:
            return self._parse_trailers(line_max_bytes)
        return h11.NEED_DATA

    def _parse_trailers(self, max_bytes):
        end = 0
        for blank_line in (b'\r\n', b'\n'):
            if self._buffer.startswith(blank_line):
                end = len(blank_line)
        end = end or self._find_section_end()
        if (end or len(self._buffer)) > max_bytes:
            raise BadRequestError(431)
        if not end:
            return h11.NEED_DATA
        self._conn.receive_data(LAST_CHUNK)
        return self._pass_lines(end)

    def _parse_piece(self):
        count = min(len(self._buffer), self._rest_bytes, PIECE_BYTES)
        if self._rest_bytes and not count:
            return h11.NEED_DATA
        self._rest_bytes -= count
        return self._pass_on(count)

    def _pass_lines(self, count):
        """Have h11 parse the next bytes, which are whole lines."""
        if FORBIDDEN.search(self._buffer, 0, count):
            raise BadRequestError(400)
        return self._pass_on(count)

    def _pass_on(self, count):
        """Have h11 parse the next bytes, which are a whole part."""
        if count:
            # h11 takes empty data for the end of the connection.
            self._conn.receive_data(self._buffer[:count])
            del self._buffer[:count]
        return self._conn.next_event()


def _check_framing(head):
    """Raise if the length of the body or the host is ambiguous.

    Two HTTP parsers could interpret such a request differently.
    """
    names = [name for name, _ in head.headers]
    lengths = names.count(b'content-length')
    codings = names.count(b'transfer-encoding')
    if lengths + codings > 1 or names.count(b'host') != 1:
        raise BadRequestError(400)


def _known_status(hint):
    return hint if hint in _last_answer.REMEDIES else 400
