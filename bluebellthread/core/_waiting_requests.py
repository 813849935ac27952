"""The requests of one pool that wait for a permit."""

import attrs

from bluebellthread.core import _all_policies
from bluebellthread.core import _request_log


class WaitingRequests:
    """Holds waiting requests in a queue policy, by caller and request id.

    Queue policies identify a request by its request id alone, but two
    callers may use the same one. The queue therefore gets a copy whose
    request id is the unique request key.

    Parameters
    ----------
    options : SchedulerOptions
        Name of the queue policy, and the limits of the queue.
    """

    def __init__(self, options):
        self._options = options
        self._log = _request_log.RequestLog()
        self._queue = self._make_queue()

    def __len__(self):
        return len(self._queue)

    def set_options(self, options, *, now_ms):
        """Move all requests to a new queue and return the list of refusals."""
        self._options = options
        waiting = self._queue
        self._queue = self._make_queue()
        refused = []
        while (
            keyed_request := waiting.pop_next(_accept_any, now_ms=now_ms)
        ) is not None:
            refused += self._queue.push(keyed_request, now_ms=now_ms)
        return self._restore(refused)

    def find(self, attempt):
        """Return the waiting attempt of the same request, or None."""
        return self._log.find_waiting(attempt)

    def list_all(self):
        """Return all waiting attempts."""
        return self._log.list_waiting()

    def push(self, request, *, now_ms):
        """Add a request and return a list of `QueueRefusal`."""
        self._log.note_waiting(request)
        key = _request_log.request_key(request)
        keyed_request = attrs.evolve(request, request_id=key)
        return self._restore(self._queue.push(keyed_request, now_ms=now_ms))

    def pop_next(self, fits, *, now_ms):
        """Remove and return the next request if it fits, else None."""
        keyed_request = self._queue.pop_next(fits, now_ms=now_ms)
        if keyed_request is None:
            return None
        request = self._log.find_by_key(keyed_request.request_id)
        self._log.forget_waiting(request)
        self._queue.note_granted(keyed_request, now_ms=now_ms)
        return request

    def pop_expired(self, *, now_ms):
        """Remove requests that cannot start in time; return their refusals."""
        return self._restore(self._queue.pop_expired(now_ms=now_ms))

    def remove(self, attempt):
        """Remove a waiting request."""
        self._queue.remove(_request_log.request_key(attempt))
        self._log.forget_waiting(attempt)

    def note_first_output(self, permit, *, now_ms):
        """Record that a granted request has started to decode."""
        key = _request_log.request_key(permit)
        self._queue.note_first_output(key, now_ms=now_ms)

    def note_superseded(self, attempt):
        """Record that an attempt must never be granted a permit."""
        self._log.note_superseded(attempt)

    def is_superseded(self, attempt):
        """Return whether an attempt must never be granted a permit."""
        return self._log.is_superseded(attempt)

    def forget_old(self, now_ms):
        """Delete old records of superseded attempts."""
        self._log.forget_old(now_ms)

    def _make_queue(self):
        queue_class = _all_policies.queue_policies.get(
            self._options.queue_policy
        )
        return queue_class(self._options.queue)

    def _restore(self, refusals):
        restored = []
        for refusal in refusals:
            request = self._log.find_by_key(refusal.request.request_id)
            self._log.forget_waiting(request)
            restored.append(attrs.evolve(refusal, request=request))
        return restored


def _accept_any(request):
    return True
