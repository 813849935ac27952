"""Which asks wait in a queue, and which have been superseded.

A request id is the caller's own: two callers may use the same.
"""

REMEMBER_MS = 120000
"""How long a superseded ask is remembered."""


class RequestLog:
    """Asks by caller and request id; an ask is an attempt of a gateway.

    Examples
    --------
    >>> RequestLog().find_key('workshop-12 r1') is None
    True
    """

    def __init__(self):
        self._waiting = {}
        self._superseded = {}
        self._fresh = {}

    def find_key(self, key):
        """Return the ask that waits under a key, or None."""
        return self._waiting.get(key)

    def find_waiting(self, ask):
        """Return the ask of the same request that waits, or None."""
        return self._waiting.get(request_key(ask))

    def list_waiting(self):
        """Return all asks that wait."""
        return list(self._waiting.values())

    def note_waiting(self, request):
        """Remember an ask that now waits."""
        self._waiting[request_key(request)] = request

    def forget_waiting(self, request):
        """Forget an ask that waits no more, unless a newer one does."""
        if self._waiting.get(request_key(request)) is request:
            del self._waiting[request_key(request)]

    def note_superseded(self, ask):
        """Remember that an ask is never to be granted."""
        self._waiting.pop(request_key(ask), None)
        self._fresh[_key_of(ask)] = None

    def is_superseded(self, ask):
        """Return whether an ask is never to be granted."""
        key = _key_of(ask)
        return key in self._superseded or key in self._fresh

    def forget_old(self, now_ms):
        """Stamp what is new and forget what is old."""
        for key in self._fresh:
            self._superseded[key] = now_ms
        self._fresh = {}
        horizon_ms = now_ms - REMEMBER_MS
        # The oldest come first.
        for key, noted_ms in list(self._superseded.items()):
            if noted_ms >= horizon_ms:
                break
            del self._superseded[key]


def _key_of(ask):
    return (request_key(ask), *process_of(ask), ask.attempt_number)


def request_key(item):
    """Return what tells the request of an ask or a permit from others."""
    return f'{item.caller}\0{item.request_id}'


def process_of(item):
    """Return the gateway process of an ask or a permit."""
    return (item.gateway, item.gateway_incarnation)


def is_same_ask(one, other):
    """Return whether two are the same attempt of the same process."""
    return (
        process_of(one) == process_of(other)
        and one.attempt_number == other.attempt_number
    )


def is_older_ask(request, waiting, entry):
    """Return whether a later attempt of the same process is known."""
    for other in (waiting, entry.permit if entry else None):
        if other is None or process_of(other) != process_of(request):
            continue
        if other.attempt_number > request.attempt_number:
            return True
    return False
