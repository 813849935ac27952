"""Limits and shutdown state that all callers' connections share."""

import contextlib
import functools
import math

import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _client_stream
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _refusals
from bluebellthread.entry import _request_limits
from bluebellthread.observe import emit
from bluebellthread.observe import events

IDLE_MIN_MS = 1000
"""A stop closes no connection that was used more recently: its caller may be
about to send the next request."""


BODIES_DEFAULT_BYTES = 32 * 1024 * 1024

MEMORY_DEFAULT_BYTES = 32 * 1024 * 1024

ANNOUNCED_FACTOR = 2
"""How many times the memory for bodies may be announced: of bodies that come
evenly, half has arrived at a time."""

MEMORY_RETRY_MS = 1000
"""Retry delay sent to callers whose bodies find no memory: the time that a
long body takes to arrive."""


class ConnectionControl:
    """Supplies the limits in force, and ends connections at a stop.

    Parameters
    ----------
    read_limits : callable
        Returns the `CallerLimits` in force.
    admission : StopAdmission or None
        Knows what the process still begins once it is being stopped; None if
        stops do not concern the connections.
    bodies_max_bytes : int
        Memory that the long bodies of all requests share.
    dialect : Dialect or None
        Header names of the platform; None if connections carry no requests
        for servers.
    memory : ClientMemory or None
        Memory that is held for all clients; None for one of a default size.

    Attributes
    ----------
    admission : StopAdmission or None
        As the parameter.
    body_budget, length_budget : BodyBudget
        What bodies may take as far as they have arrived, and by the lengths
        that their requests announce.
    parsing : trio.StrictFIFOLock
        Held while a part of a request is parsed that may take long, so that
        other work goes on between two of them.
    schedule : StopSchedule
        The deadlines of the stop.
    open_count : int
        Connections that are open now.
    unacceptable_count : int
        Requests refused so far as malformed, late or oversized.
    """

    def __init__(
        self,
        read_limits,
        admission=None,
        *,
        bodies_max_bytes=BODIES_DEFAULT_BYTES,
        dialect=None,
        memory=None,
    ):
        self._read_limits = read_limits
        self._dialect = dialect
        self.memory = memory or core.ClientMemory(MEMORY_DEFAULT_BYTES)
        self.body_budget = core.BodyBudget(bodies_max_bytes)
        self.length_budget = core.BodyBudget(
            ANNOUNCED_FACTOR * bodies_max_bytes
        )
        self.parsing = trio.StrictFIFOLock()
        self._ends = {}
        self.admission = admission
        self.schedule = (
            routing.StopSchedule() if admission is None else admission.schedule
        )
        self.open_count = 0
        self.unacceptable_count = 0
        self._refusing_count = 0

    @property
    def limits(self):
        """The `CallerLimits` in force; a configuration may change them."""
        return self._read_limits()

    @property
    def is_stopping(self):
        """Whether the process is stopping, so that answers close."""
        return self.schedule.is_begun

    def idle_scope(self, idle_since_ms):
        """Cancel the ``with`` body at the idle timeout or at a stop.

        Parameters
        ----------
        idle_since_ms : int
            When the connection became idle.
        """
        deadline_ms = idle_since_ms + self.limits.idle_timeout_ms
        return self.scope(
            functools.partial(
                self._find_idle_end_ms, idle_since_ms + IDLE_MIN_MS
            ),
            timeout_s=_clock.read_remaining_s(deadline_ms),
        )

    def may_stay_idle(self, idle_since_ms):
        """Return whether a timeout has become longer since `idle_scope`."""
        deadline_ms = idle_since_ms + self.limits.idle_timeout_ms
        return not self.is_stopping and _clock.read_clock_ms() < deadline_ms

    def reading_scope(self, request=None, *, timeout_s):
        """Cancel the ``with`` body once it is too late to begin a request.

        Parameters
        ----------
        request : Request or None
            The request without its body, if its head has been read.
        timeout_s : float
            Longest duration of the body without a stop.
        """
        return self.scope(
            functools.partial(self._find_read_end_ms, request),
            timeout_s=timeout_s,
        )

    @contextlib.contextmanager
    def scope(self, find_end_ms, *, timeout_s=math.inf):
        """Cancel the ``with`` body when a stop no longer allows it.

        Parameters
        ----------
        find_end_ms : callable
            Returns when the body ends; called only during a stop.
        timeout_s : float
            Longest duration of the body without a stop.
        """
        with trio.move_on_after(timeout_s) as scope:
            self._ends[scope] = find_end_ms
            if self.is_stopping and find_end_ms() <= _clock.read_clock_ms():
                scope.cancel()
            try:
                yield scope
            finally:
                del self._ends[scope]

    def end_due(self, now_ms):
        """End what a stop no longer allows.

        The boot-time clock decides, which goes on while the VM is suspended.
        """
        for scope, find_end_ms in list(self._ends.items()):
            if find_end_ms() <= now_ms:
                scope.cancel()

    def open_share(self, stream):
        """Return the `ClientShare` of a connection; None if it is refused.

        Parameters
        ----------
        stream : trio.SocketStream
            The connection; closed at once if the client is cut off.
        """

        def cut(held_bytes):
            emit(events.CLIENT_CUT_OFF, held_bytes=held_bytes)
            stream.socket.close()

        share = self.memory.open(cut, now_ms=_clock.read_clock_ms())
        if share is None:
            emit(events.CONNECTION_REFUSED, count=self.memory.open_count)
        return share

    async def refuse_connection(self, stream, *, is_of_vm):
        """Refuse a connection without a share, and close it."""
        if self._refusing_count >= _client_stream.REFUSALS_MAX:
            stream.socket.close()
            return
        self._refusing_count += 1
        try:
            await _client_stream.refuse(stream, is_of_vm=is_of_vm)
        finally:
            self._refusing_count -= 1

    def note_unacceptable(self, request, *, status, remedy):
        """Log and count a request that is refused for what its caller sent.

        Parameters
        ----------
        request : Request or None
            The request without its body; None if its head is not read.
        status : int
            Status of the refusal.
        remedy : str
            What the caller can do.
        """
        self.unacceptable_count += 1
        emit(
            events.REQUEST_UNACCEPTABLE,
            request_id=self._read_request_id(request),
            status=status,
            remedy=remedy,
        )

    def _read_request_id(self, request):
        if self._dialect is None or request is None:
            return ''
        return request.header(self._dialect.request_id)

    def refuse_for_memory(self, request, *, is_of_vm=False):
        """Refuse a request whose body finds no memory; it has not run.

        Parameters
        ----------
        request : Request or None
            The request without its body; None if its head is not read.
        is_of_vm : bool
            Whether another VM hands it on.

        Returns
        -------
        status : int
            Status of the refusal.
        headers : list of (bytes, bytes)
            Its headers.
        body : bytes
            Its body.
        """
        patience_ms = None
        if self._dialect is not None and request is not None:
            patience_ms = _request_limits.read_patience_ms(
                request, self._dialect
            )
        emit(
            events.BODY_WITHOUT_MEMORY,
            request_id=self._read_request_id(request),
            used_bytes=self.memory.used_bytes,
        )
        if is_of_vm:
            return 503, [(_http_messages.NOT_TAKEN_HEADER, b'busy')], b''
        answer = _refusals.make_not_run_refusal(
            'no-memory',
            MEMORY_RETRY_MS,
            _request_limits.DEFAULT_TIMEOUT_MS
            if patience_ms is None
            else patience_ms,
        )
        return answer.status, *_refusals.encode_router_answer(answer)

    def find_deadline_ms(self, request):
        """Return when a request must have been answered; infinite if unknown.

        Parameters
        ----------
        request : Request
            The request, which may lack its body.
        """
        if self.admission is None:
            return math.inf
        return self.admission.find_deadline_ms(request)

    def _find_idle_end_ms(self, idle_deadline_ms):
        return min(
            max(idle_deadline_ms, self.schedule.leave_ms),
            self.schedule.exit_deadline_ms,
        )

    def _find_read_end_ms(self, request):
        if self.admission is None:
            return self.schedule.end_deadline_ms
        return self.admission.find_read_deadline_ms(request)
