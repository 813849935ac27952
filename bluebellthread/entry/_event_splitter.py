"""Splits the bytes of a server-sent event stream into whole events."""

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


class EventSplitter:
    r"""Buffers the bytes of an event until the event is complete.

    If a server fails in the middle of an event, the bytes passed on so far
    still end between two events.

    Attributes
    ----------
    last_id : str
        Id of the last whole event that had one; empty at first.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.push(b'id: 1\ndata: a\n\nid: 2')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.rest
    ('1', b'id: 2')
    """

    def __init__(self):
        self._buffer = bytearray()
        self.last_id = ''

    @property
    def rest(self):
        """The buffered bytes after the last whole event."""
        return bytes(self._buffer)

    def push(self, data):
        """Add bytes and return the events that are complete by now."""
        self._buffer += data
        end = self._buffer.rfind(EVENT_END)
        if end < 0:
            return b''
        end += len(EVENT_END)
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._note_last_id(events)
        return events

    def _note_last_id(self, events):
        for line in reversed(events.split(b'\n')):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
                return
