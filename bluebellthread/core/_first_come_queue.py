"""Baseline queue that serves requests in the order of arrival."""

from bluebellthread.core import _policies


@_policies.queue_policies.register('first-come')
class FirstComeQueue(_policies.QueuePolicy):
    """Bounded queue that serves requests in the order of arrival.

    Examples
    --------
    >>> queue = FirstComeQueue()
    >>> len(queue)
    0
    """

    def __init__(self, options=None):
        self._options = options or _policies.QueueOptions()
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def push(self, request, *, now_ms):
        """Add a request, or refuse it if the queue is full."""
        if len(self._waiting) >= self._options.maximum_count:
            refusal = _policies.QueueRefusal(
                request=request, kind='overloaded'
            )
            return (refusal,)
        self._waiting[request.request_id] = request
        return ()

    def pop_next(self, fits, *, now_ms):
        """Remove and return the oldest request, or None if it does not fit."""
        if not self._waiting:
            return None
        request_id, request = next(iter(self._waiting.items()))
        if not fits(request):
            return None
        del self._waiting[request_id]
        return request

    def remove(self, request_id):
        """Remove and return a request, or None if it is not queued."""
        return self._waiting.pop(request_id, None)

    def pop_expired(self, *, now_ms):
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for request in self._waiting.values()
            if request.deadline_ms <= now_ms
        ]
        for request in expired:
            del self._waiting[request.request_id]
        return tuple(
            _policies.QueueRefusal(request=request, kind='deadline')
            for request in expired
        )
