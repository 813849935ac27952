"""Finds the route of each request and serves it as the route's kind needs."""

import contextlib

import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _caller_exchange
from bluebellthread.entry import _customer_lookup
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _refusals
from bluebellthread.entry import _stop_admission
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import format_error


TAKEN_MAX = 256
"""Requests of other VMs that a VM serves at a time: with 16 KB each they take
a small part of its memory, and its own callers keep most of its time."""


class EntryGateway:
    """Serves callers' requests by the routes in force.

    Parameters
    ----------
    state : EntryState
        Supplies the routing table.
    control : ConnectionControl
        Ends requests that outlast a stop.
    paths : dict of str to object
        For each kind of route, an object with ``async`` ``serve(work)``.
    budgets : RetryBudgets
        Counts requests, since they raise the retry budget.
    dialect : Dialect
        Header names of the platform.
    stats : EntryStats
        Counts the requests and their outcomes.
    customer_limits : CustomerLimits
        Admits the requests of customers with a limit.
    """

    def __init__(
        self,
        *,
        state,
        control,
        paths,
        budgets,
        dialect,
        stats,
        customer_limits,
    ):
        self._taken_count = 0
        self._state = state
        self._control = control
        self._paths = paths
        self._budgets = budgets
        self._dialect = dialect
        self._stats = stats
        self._customer_limits = customer_limits

    async def serve(self, exchange):
        """Answer the request of one `CallerExchange`."""
        async with self._answering_crashes(exchange):
            await self._serve(exchange)

    async def serve_handed_on(self, exchange):
        """Answer a request that another VM has handed on, or refuse it."""
        async with self._answering_crashes(exchange):
            await self._serve_handed_on(exchange)

    async def _serve(self, exchange):
        if not (self._state.is_prepared or self._state.is_stopping):
            await self._wait_prepared(exchange.request)
        request = exchange.request
        table = self._state.table
        if not self._state.is_prepared:
            refusal = _refusals.make_unprepared_refusal(
                has_configuration=bool(table.version)
            )
            await self._refuse(exchange, refusal)
            return
        route = table.find(request.host, request.path)
        if route is None:
            await self._refuse(
                exchange, _refusals.make_unknown_route_refusal()
            )
            return
        await self._serve_route(exchange, route, table)

    async def _wait_prepared(self, request):
        """Wait for a while until this VM knows what it needs to serve."""
        wait = self._state.start_wait
        deadline_ms = wait.find_deadline_ms(
            now_ms=_clock.read_clock_ms(),
            patience_ms=core.parse_count(
                request.header(self._dialect.remaining_ms)
            ),
        )
        wait.waiting_count += 1
        try:
            with trio.move_on_after(_clock.read_remaining_s(deadline_ms)):
                await self._state.prepared.wait()
        finally:
            wait.waiting_count -= 1

    async def _serve_handed_on(self, exchange):
        hop = _http_messages.Hop.read(exchange.request)
        request = exchange.request = hop.request
        table = self._state.table
        route = table.find(request.host, request.path)
        reason = ''
        version_min = max(1, hop.config_version)
        if table.version < version_min or not self._state.has_servers:
            reason = 'older-configuration'
        elif route is None:
            reason = 'unknown-route'
        elif self._taken_count >= TAKEN_MAX:
            reason = 'busy'
        if reason:
            await self._refuse_hand_on(exchange, reason)
            return
        self._stats.count_taken()
        self._taken_count += 1
        try:
            await self._serve_route(exchange, route, table, hop)
        finally:
            self._taken_count -= 1

    @staticmethod
    async def _refuse_hand_on(exchange, reason):
        headers = [
            (_http_messages.NOT_TAKEN_HEADER, reason.encode()),
            (_http_messages.LOOKS_UP_KEYS_HEADER, b'1'),
        ]
        await exchange.respond(503, headers, b'')

    async def _serve_route(self, exchange, route, table, hop=None):
        customer = _customer_lookup.find_customer(
            table.customers, exchange.request, self._dialect
        )
        if (
            customer is None
            and table.customers is not None
            and route.needs_key
        ):
            if hop is not None and hop.run_count:
                # The VM that hands it on knows what has run.
                await self._refuse_hand_on(exchange, 'unknown-key')
                return
            await self._refuse_unknown_key(exchange, table)
            return
        service = route.choose_service(
            exchange.request.header(self._dialect.request_id)
        )
        work = _work.Work(
            exchange=exchange,
            route=route,
            service=service,
            table_version=table.version,
            dialect=self._dialect,
            stats=self._stats,
            admission=self._control.admission,
            is_handed_on=hop is not None,
            run_count=hop.run_count if hop is not None else 0,
            customer=customer,
            has_customers=table.customers is not None,
            sends_priority=table.has_priorities(service),
        )
        # A refusal of a request that may have run would not be true.
        work.is_admitted = work.may_have_run or (
            hop is not None and hop.is_admitted
        )
        self._budgets.note_request(work.service)
        try:
            async with self._answering_crashes(exchange, work):
                await self._serve_work(work)
        finally:
            work.log_end()

    async def _serve_work(self, work):
        if not work.may_begin():
            await work.end_at_stop(_stop_admission.STAGE_ARRIVAL)
            return
        work.log_stop_decision(
            _stop_admission.STAGE_ARRIVAL, _stop_admission.DECISION_TAKEN
        )
        if work.is_admitted:
            await self._serve_admitted(work)
            return
        retry_after_ms = await self._customer_limits.admit(work)
        if retry_after_ms is not None:
            # A request over a limit must not raise the retry budget.
            self._budgets.forget_request(work.service)
            await work.refuse_over_limit(retry_after_ms)
            return
        work.is_admitted = True
        try:
            await self._serve_admitted(work)
        finally:
            if work.has_not_run:
                self._customer_limits.refund(work)

    async def _serve_admitted(self, work):
        stage = ''
        with self._control.scope(work.find_stop_end_ms):
            try:
                await self._paths[work.route.kind].serve(work)
                return
            except _stop_admission.StopTooNearError:
                stage = _stop_admission.STAGE_ATTEMPT
        await work.end_at_stop(stage or self._control.admission.find_stage())

    @contextlib.asynccontextmanager
    async def _answering_crashes(self, exchange, work=None):
        """Answer a request that hits a bug, and log the bug.

        It must not end other requests.
        """
        try:
            yield
        except (_caller_exchange.CallerGoneError, *_tasks.FATAL_ERRORS):
            raise
        except Exception as error:
            emit(
                events.REQUEST_CRASHED,
                request_id=exchange.request.header(self._dialect.request_id),
                error=format_error(error),
            )
            if exchange.is_started:
                await exchange.abort()
            elif work is not None:
                await work.fail('internal')
            else:
                failure = _refusals.make_may_have_run_failure('internal')
                await _refusals.send_router_answer(exchange, failure)

    async def _refuse(self, exchange, answer):
        emit(
            events.REQUEST_NOT_ROUTED,
            request_id=exchange.request.header(self._dialect.request_id),
            host=exchange.request.host,
            path=exchange.request.path,
            version=self._state.table.version,
            status=answer.status,
            kind=answer.kind,
        )
        await _refusals.send_router_answer(exchange, answer)

    async def _refuse_unknown_key(self, exchange, table):
        request = exchange.request
        emit(
            events.REQUEST_KEY_UNKNOWN,
            request_id=request.header(self._dialect.request_id),
            host=request.host,
            path=request.path,
            version=table.version,
        )
        self._stats.count_unknown_key()
        await _refusals.send_router_answer(
            exchange, _refusals.make_unknown_key_refusal()
        )


def make_paths(*, plain, stream):
    """Return the object that serves each kind of route."""
    return {
        routing.KIND_IDEMPOTENT: plain,
        routing.KIND_ONCE: plain,
        routing.KIND_STREAM: stream,
    }
