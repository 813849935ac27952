"""Finds the route of each request and serves it as the route's kind needs."""

import traceback

import trio

from bluebellthread.core import routing
from bluebellthread.entry import _refusals
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events


class EntryGateway:
    """Serves callers' requests by the routes in force.

    Parameters
    ----------
    state : EntryState
        Supplies the routing table.
    paths : dict of str to object
        For each kind of route, an object with ``async`` ``serve(work)``.
    budgets : RetryBudgets
        Counts requests, since they raise the retry budget.
    dialect : Dialect
        Header names of the platform.
    stats : EntryStats
        Counts the requests and their outcomes.
    """

    def __init__(self, *, state, paths, budgets, dialect, stats):
        self._state = state
        self._paths = paths
        self._budgets = budgets
        self._dialect = dialect
        self._stats = stats

    async def serve(self, exchange):
        """Answer the request of one `CallerExchange`."""
        request = exchange.request
        table = self._state.table
        if not table.version or not self._state.has_servers:
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

    async def _serve_route(self, exchange, route, table):
        request_id = exchange.request.header(self._dialect.request_id)
        work = _work.Work(
            exchange=exchange,
            route=route,
            service=route.choose_service(request_id),
            table_version=table.version,
            dialect=self._dialect,
            stats=self._stats,
        )
        self._budgets.note_request(work.service)
        try:
            await self._paths[route.kind].serve(work)
        except Exception as error:
            # A bug hit by one request must not end the others, and must be
            # logged.
            if _is_caller_gone(error):
                raise
            emit(
                events.REQUEST_CRASHED,
                request_id=request_id,
                error=''.join(traceback.format_exception(error))[-2000:],
            )
            if exchange.is_started:
                await exchange.abort()
            else:
                await work.fail('internal')
        finally:
            work.log_end()

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


def make_paths(*, plain, stream):
    """Return the object that serves each kind of route."""
    return {
        routing.KIND_IDEMPOTENT: plain,
        routing.KIND_ONCE: plain,
        routing.KIND_STREAM: stream,
    }


def _is_caller_gone(error):
    return isinstance(
        error, (trio.BrokenResourceError, trio.ClosedResourceError)
    )
