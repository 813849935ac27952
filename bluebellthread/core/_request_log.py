"""Record of waiting and superseded attempts to get a permit.

Callers choose request ids, so two callers may use the same id. Attempts are
therefore stored by caller and request id.
"""

RETENTION_MS = 120000
"""How long a superseded attempt is remembered."""


class RequestLog:
    """Holds attempts by caller and request id.

    An attempt is one request for a permit by one gateway process.

    Examples
    --------
    >>> RequestLog().find_by_key('workshop-12 r1') is None
    True
    """

    def __init__(self):
        self._waiting = {}
        self._superseded = {}
        self._newly_superseded = {}

    def find_by_key(self, key):
        """Return the waiting attempt with this request key, or None."""
        return self._waiting.get(key)

    def find_waiting(self, attempt):
        """Return the waiting attempt of the same request, or None."""
        return self._waiting.get(request_key(attempt))

    def list_waiting(self):
        """Return all waiting attempts."""
        return list(self._waiting.values())

    def note_waiting(self, request):
        """Record that an attempt is waiting."""
        self._waiting[request_key(request)] = request

    def forget_waiting(self, request):
        """Delete a waiting attempt unless a newer one has replaced it."""
        if self._waiting.get(request_key(request)) is request:
            del self._waiting[request_key(request)]

    def note_superseded(self, attempt):
        """Record that an attempt must never be granted a permit."""
        self._waiting.pop(request_key(attempt), None)
        self._newly_superseded[_attempt_key(attempt)] = None

    def is_superseded(self, attempt):
        """Return whether an attempt must never be granted a permit."""
        key = _attempt_key(attempt)
        return key in self._superseded or key in self._newly_superseded

    def forget_old(self, now_ms):
        """Set the time of newly superseded attempts and delete old ones.

        `note_superseded` is called without a time, so the time is set here.
        """
        for key in self._newly_superseded:
            self._superseded[key] = now_ms
        self._newly_superseded = {}
        horizon_ms = now_ms - RETENTION_MS
        # The dictionary is ordered by time, oldest first.
        for key, noted_ms in list(self._superseded.items()):
            if noted_ms >= horizon_ms:
                break
            del self._superseded[key]


def _attempt_key(attempt):
    return (request_key(attempt), *process_of(attempt), attempt.attempt_number)


def request_key(item):
    """Return the key of an attempt's or a permit's request.

    The key is unique over all callers.
    """
    return f'{item.caller}\0{item.request_id}'


def process_of(item):
    """Return the gateway process of an attempt or a permit."""
    return (item.gateway, item.gateway_incarnation)


def is_same_attempt(one, other):
    """Return whether two items are one attempt of one gateway process."""
    return (
        process_of(one) == process_of(other)
        and one.attempt_number == other.attempt_number
    )


def is_older_attempt(request, waiting, entry):
    """Return whether a request's gateway process has made a later attempt.

    The later attempt is ``waiting``, or holds the permit of ``entry``.
    """
    for other in (waiting, entry.permit if entry else None):
        if other is None or process_of(other) != process_of(request):
            continue
        if other.attempt_number > request.attempt_number:
            return True
    return False
