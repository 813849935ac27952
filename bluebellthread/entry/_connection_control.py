"""Limits and shutdown state that all callers' connections share."""

import contextlib

import trio

from bluebellthread.daemon import _clock


class ConnectionControl:
    """Supplies the limits in force, and ends connections at a stop.

    Parameters
    ----------
    read_limits : callable
        Returns the `CallerLimits` in force.

    Attributes
    ----------
    is_stopping : bool
        Whether the process is stopping, so that each answer closes its
        connection.
    open_count : int
        Connections that are open now.
    stop_begun_ms, end_deadline_ms : int or None
        When the process began to stop, and when the requests under way are
        ended; None before that.
    """

    def __init__(self, read_limits):
        self._read_limits = read_limits
        self._idle_scopes = set()
        self._idle_ended = False
        self._request_scopes = set()
        self._requests_ended = False
        self.is_stopping = False
        self.open_count = 0
        self.stop_begun_ms = None
        self.end_deadline_ms = None

    @property
    def limits(self):
        """The `CallerLimits` in force."""
        return self._read_limits()

    @contextlib.contextmanager
    def idle_scope(self):
        """Cancel the ``with`` body at the idle timeout or on `end_idle`."""
        timeout_s = self.limits.idle_timeout_ms / _clock.MS_PER_S
        with trio.move_on_after(timeout_s) as scope:
            if self._idle_ended:
                scope.cancel()
            self._idle_scopes.add(scope)
            try:
                yield scope
            finally:
                self._idle_scopes.discard(scope)

    @contextlib.contextmanager
    def request_scope(self):
        """Cancel the ``with`` body on `end_requests`."""
        with trio.CancelScope() as scope:
            if self._requests_ended:
                scope.cancel()
            self._request_scopes.add(scope)
            try:
                yield scope
            finally:
                self._request_scopes.discard(scope)

    def end_idle(self):
        """Close idle connections, and others as soon as they become idle."""
        self._idle_ended = True
        for scope in list(self._idle_scopes):
            scope.cancel()

    def end_requests(self):
        """End the requests under way, and others as soon as they begin."""
        self._requests_ended = True
        for scope in list(self._request_scopes):
            scope.cancel()
