"""Hands requests on to VMs that have paths to the backend servers.

The other VM serves a request as if the caller had sent it there, at the time
at which it came here, and never hands it on again.
"""

import contextlib

import attrs

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _key_checks
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _server_exchange
from bluebellthread.entry import _state
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

CONNECT_TIMEOUT_S = 0.5
"""A dozen round trips between regions."""

SERVING_STATES = ('alive', 'leaving')
"""States of VMs that go on with the requests that they have taken."""

HELPERS_MAX = 4
"""VMs that a request is offered to before it is refused."""


class NotTakenError(Exception):
    """Raised when no VM takes a request; nothing has run there."""


@attrs.frozen
class HandedOn:
    """A request at another VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    call : OpenCall
        The call to it, whose answer's head has been read.
    """

    vm: str
    call: _server_calls.OpenCall

    @property
    def server(self):
        """What stands for the server in the log."""
        return _name_of(self.vm)

    async def read_answer(self, memory=None):
        """Return the whole `Answer`.

        Parameters
        ----------
        memory : AnswerMemory or None
            Holds the body; None if it is not passed on.

        Raises
        ------
        CallFailedError
            If it breaks off.
        """
        try:
            body = await self.call.exchange.read_all(memory)
        except _server_exchange.AnswerBrokenError as error:
            raise _server_calls.CallFailedError(
                str(error), may_have_run=True
            ) from error
        return _http_messages.Answer(head=self.call.head, body=body)

    @property
    def software_version(self):
        """Software version of the server that answers."""
        return self.call.head.header(_http_messages.SOFTWARE_HEADER)


class HandOn:
    """Hands requests of this VM on to others.

    Parameters
    ----------
    state : EntryState
        Supplies the membership view.
    budgets : RetryBudgets
        Does not count requests that another VM counts.
    dialect : Dialect
        Header names of the platform.
    stats : EntryStats
        Counts the requests.
    rng : random.Random
        Spreads the requests over the VMs.
    """

    def __init__(self, *, state, budgets, dialect, stats, rng):
        self._state = state
        self._budgets = budgets
        self._dialect = dialect
        self._stats = stats
        self._connections = _server_connection.ServerConnections()
        settings = state.settings
        self._choice = routing.HelperChoice(
            vm=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            relay_port=settings.relay_port,
            rng=rng,
        )

    async def prune(self):
        """Close the connections that have been idle for too long."""
        await self._connections.prune()

    async def close(self):
        """Close every idle connection."""
        await self._connections.close()

    @contextlib.asynccontextmanager
    async def opened(
        self,
        work,
        *,
        attempt,
        silence_s,
        repeat_count=1,
        extra=(),
        resume_after='',
    ):
        """Hand a request on; yield it as `HandedOn`.

        Parameters
        ----------
        work : Work
            The request.
        attempt : Attempt
            The attempt to hand it on.
        silence_s : float
            Time without an answer after which a VM counts as silent.
        repeat_count : int
            Retries that an attempt beside another one takes from the retry
            budget, once there is a VM to send the request to.
        extra : iterable of (bytes, bytes)
            Further headers; they replace the caller's of the same name.
        resume_after : str
            Id of the last event that the caller has, for the log.

        Raises
        ------
        NotTakenError
            If no VM takes it, or the retry budget is spent.
        CallFailedError
            If a VM that may have taken it does not answer.
        OvertakenError
            If another attempt goes on.
        """
        silent_vms = {other.last_server for other in attempt.others}
        tried = set()
        while len(tried) < HELPERS_MAX:
            member = self._choice.choose(
                [
                    member
                    for member in self._list_alive()
                    if _name_of(member.name) not in silent_vms
                ],
                work.service,
                _clock.read_clock_ms(),
                avoid=tried,
            )
            if member is None:
                break
            tried.add(member.name)
            emit(
                events.REQUEST_HANDED_ON,
                request_id=work.request_id,
                service=work.service,
                vm=member.name,
                age_ms=work.age_ms,
                resume_after=resume_after,
            )
            self._choice.begin(member.name)
            try:
                call = await self._open(
                    member, work, attempt, silence_s, repeat_count, extra
                )
                if call is None:
                    continue
                try:
                    yield HandedOn(member.name, call)
                finally:
                    await call.close()
                return
            finally:
                self._choice.end(member.name)
        raise NotTakenError

    def is_served(self, server):
        """Return whether a request is with another VM that is alive.

        That VM makes as many runs as the route allows, if its servers are
        silent.

        Parameters
        ----------
        server : str
            What the request waits for: a server, or what stands for the VM.
        """
        return any(
            _name_of(member.name) == server and member.state in SERVING_STATES
            for member in self._state.view.members
        )

    def _list_alive(self):
        return [
            member
            for member in self._state.view.members
            if member.state in _state.OWNER_STATES
        ]

    async def _open(
        self, member, work, attempt, silence_s, repeat_count, extra
    ):
        """Return the open call to a VM, or None if it does not take it."""
        started_ms = _clock.read_clock_ms()
        try:
            connection = await self._connections.acquire(
                (member.host, member.relay_port),
                idle_max_ms=_server_calls.IDLE_RETRYABLE_MS
                if work.route.is_retryable
                else _server_calls.IDLE_ONCE_MS,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                request_id=work.request_id,
            )
            if work.has_customers:
                await _key_checks.check_looks_up_keys(
                    self._connections, connection, self._dialect
                )
        except _server_connection.ServerUnreachableError as error:
            self._choice.note_unreached(member.name, _clock.read_clock_ms())
            self._log_not_taken(work, member, error)
            return None
        exchange = _server_exchange.ServerExchange(
            connections=self._connections,
            connection=connection,
            request_id=work.request_id,
            request_id_header=self._dialect.request_id,
            is_to_vm=True,
        )
        request = work.request
        try:
            self._pay(work, attempt, repeat_count)
            attempt.send(begins_work=False)
            with (
                work.sending(_name_of(member.name)),
                attempt.waiting(_name_of(member.name), silence_s),
            ):
                head = await exchange.open(
                    request.method,
                    request.target,
                    self._make_headers(work, extra),
                    request.body,
                )
            reason = head.header(_http_messages.NOT_TAKEN_HEADER)
            if reason:
                await exchange.read_all()
        except _server_exchange.AnswerBrokenError as error:
            await _server_calls.close(exchange)
            failure = _server_calls.CallFailedError(
                str(error), may_have_run=exchange.sent, is_cut=True
            )
            work.note_failed(
                _name_of(member.name),
                _work.STAGE_RUN,
                failure,
                started_ms=started_ms,
            )
            raise failure from error
        except BaseException:
            await _server_calls.close(exchange)
            raise
        if reason:
            await _server_calls.close(exchange)
            work.note_not_taken()
            note = (
                self._choice.note_lost
                if reason == _http_messages.NO_PATH
                else self._choice.note_busy
            )
            note(member, work.service, _clock.read_clock_ms())
            self._log_not_taken(work, member, reason)
            return None
        work.note_run()
        self._stats.count_handed_on()
        if not work.is_counted_elsewhere:
            work.is_counted_elsewhere = True
            self._budgets.forget_request(work.service)
        return _server_calls.OpenCall(head=head, exchange=exchange)

    def _pay(self, work, attempt, repeat_count):
        """Take what an attempt beside another one repeats from the budget.

        Raises
        ------
        NotTakenError
            If the budget is spent.
        """
        if not attempt.is_follower or attempt.is_paid:
            return
        if not self._budgets.spend(work.service, repeat_count):
            raise NotTakenError
        attempt.is_paid = True

    def _log_not_taken(self, work, member, reason):
        emit(
            events.REQUEST_NOT_TAKEN,
            request_id=work.request_id,
            vm=member.name,
            reason=reason,
        )

    def _make_headers(self, work, extra):
        request = work.request
        replaced = {name for name, _ in extra} | _http_messages.HOP_HEADERS
        kept = ()
        if work.has_customers:
            # The other VM looks the key up by itself, even if the caller
            # declares its header to be one of the connection.
            kept = [
                item
                for item in request.headers
                if item[0] == self._dialect.authorization
            ]
            replaced.add(self._dialect.authorization)
        headers = _http_messages.keep_end_to_end(
            request.headers, drop=replaced
        )
        headers.extend(kept)
        headers.extend(extra)
        headers.append((_http_messages.AGE_HEADER, str(work.age_ms).encode()))
        headers.append(
            (_http_messages.VERSION_HEADER, str(work.table_version).encode())
        )
        earlier_count = work.run_count + work.in_flight_count - 1
        headers.append(
            (_http_messages.RUNS_HEADER, str(earlier_count).encode())
        )
        if work.is_admitted:
            headers.append((_http_messages.ADMITTED_HEADER, b'1'))
        if (
            request.body
            or request.method not in _server_calls.BODYLESS_METHODS
        ):
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        return headers


def _name_of(vm):
    return f'VM {vm}'
