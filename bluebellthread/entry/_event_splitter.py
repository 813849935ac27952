"""Splits the bytes of an event stream into whole events."""

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


class EventSplitter:
    r"""Holds back what is not yet a whole event.

    A server may stop in the middle of an event; what has been passed on
    then still ends between two.

    Attributes
    ----------
    last_id : str
        Id of the last whole event, or empty.

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
        """The bytes after the last whole event."""
        return bytes(self._buffer)

    def push(self, data):
        """Take bytes in and return the whole events that they complete."""
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
