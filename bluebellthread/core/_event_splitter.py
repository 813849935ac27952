"""Splits the bytes of a server-sent event stream into whole events."""

import re

from bluebellthread.core import _errors

EVENT_END = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
"""The end of an event's last line and the empty line after it. Lines may end
with CR, LF or both (WHATWG HTML, 9.2.5)."""

EVENT_END_BYTES = 4
"""Longest text that `EVENT_END` matches."""

EVENT_MAX_BYTES = 256 * 1024
"""Longest event that is buffered. An event with several tokens and their
probabilities has some KB."""

LINE_ENDS = b'\r\n'
CARRIAGE_RETURN = LINE_ENDS[0]
ID_FIELD = b'id:'
COMMENT = b':'


class EventTooLongError(_errors.BluebellthreadError):
    """An event is longer than `EVENT_MAX_BYTES`.

    Examples
    --------
    >>> str(EventTooLongError())
    'an event of the stream is longer than 262144 bytes'
    """

    def __init__(self):
        super().__init__(
            f'an event of the stream is longer than {EVENT_MAX_BYTES} bytes'
        )


class EventSplitter:
    r"""Buffers the bytes of an event until the event is complete.

    If a server fails in the middle of an event, the bytes passed on so far
    still end between two events.

    Attributes
    ----------
    last_id : str
        Id of the last whole event that had one; empty at first.
    has_events : bool
        Whether there was a whole event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.push(b'id: 1\ndata: a\n\nid: 2')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.rest, splitter.is_inside_event
    ('1', b'id: 2', True)
    """

    def __init__(self):
        self._buffer = bytearray()
        self._searched_bytes = 0
        self.last_id = ''
        self.has_events = False

    @property
    def rest(self):
        """The buffered bytes after the last whole event."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self):
        """Whether an event has begun and is not complete."""
        return bool(self._buffer.strip(LINE_ENDS))

    def push(self, data):
        """Add bytes and return the events that are complete by now."""
        self._buffer += data
        end = self._find_end()
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._searched_bytes = max(0, len(self._buffer) - EVENT_END_BYTES)
        if events and events.strip(LINE_ENDS):
            self.has_events = True
            self._note_last_id(events)
        return events

    @property
    def held_bytes(self):
        """Number of bytes that complete no event yet."""
        return len(self._buffer)

    def check_size(self, held_bytes=0):
        """Raise if the incomplete event is too long.

        Parameters
        ----------
        held_bytes : int
            Whole comments before it that are held back with it.

        Raises
        ------
        EventTooLongError
            If it is longer than `EVENT_MAX_BYTES`.
        """
        if len(self._buffer) + held_bytes > EVENT_MAX_BYTES:
            raise EventTooLongError

    def _find_end(self):
        """Return the number of buffered bytes up to the last event's end."""
        if CARRIAGE_RETURN not in self._buffer:
            # Nearly all streams; faster than the pattern.
            start = self._buffer.rfind(b'\n\n', self._searched_bytes)
            return 0 if start < 0 else start + len(b'\n\n')
        end = 0
        for match in EVENT_END.finditer(self._buffer, self._searched_bytes):
            end = match.end()
        return end

    def _note_last_id(self, events):
        for line in reversed(events.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                return


def holds_event(data):
    r"""Return whether bytes of whole events hold more than comments.

    Examples
    --------
    >>> holds_event(b': a\n\n'), holds_event(b': a\n\ndata: b\n\n')
    (False, True)
    """
    if data and data[0] not in COMMENT + LINE_ENDS:
        # Nearly all pieces; faster than a look at each line.
        return True
    return any(
        line and not line.startswith(COMMENT) for line in data.splitlines()
    )
