"""Control calls to backend servers: load reports, cancels and orders."""

import httpcore
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _load_reports
from bluebellthread.daemon import _tasks
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events

POLL_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0
CANCEL_INITIAL_BACKOFF_S = 0.1
CANCEL_MAX_BACKOFF_S = 2.0
CANCEL_TIMEOUT_S = 60
CANCEL_QUEUE_LENGTH = 4096
MAX_CANCELS_PER_SERVER = 4
"""Maximum number of cancels in flight to one backend server at a time."""

MAX_CONNECTIONS = 200


class EngineControl:
    """Polls load reports of owned pools' servers; sends cancels and orders.

    Parameters
    ----------
    adapter : str
        Name of the adapter in `engines.engine_adapters`.
    """

    def __init__(self, *, adapter):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, retries=0
        )
        self._engine = engines.engine_adapters.get(adapter)(pool=self._pool)
        self._polling = set()
        self._listeners = []
        self._cancel_limiters = {}
        self.cancels, self._receive = trio.open_memory_channel(
            CANCEL_QUEUE_LENGTH
        )

    def add_listener(self, inbox):
        """Add a channel that receives every polled load report."""
        self._listeners.append(inbox)

    async def send_order(self, server, order):
        """Send an order to an engine and wait until the engine accepts it."""
        await self._engine.send_order(server, order)

    async def run(self, scheduler_task):
        """Poll load reports and send queued cancels until the task ends."""
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(
                nursery, self._receive_cancels, scheduler_task.inbox
            )
            while True:
                for server in scheduler_task.owned_servers():
                    if server.name not in self._polling:
                        self._polling.add(server.name)
                        _tasks.start_isolated(
                            nursery,
                            self._poll,
                            server,
                            scheduler_task.inbox,
                            subject=f'server {server.name}',
                        )
                await trio.sleep(POLL_INTERVAL_S)

    async def close(self):
        """Close the connections to backend servers."""
        await self._pool.aclose()

    async def read_report(self, server):
        """Return a server's `LoadReport`, or None if the call fails."""
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                fields = await self._engine.read_load(server)
            return _load_reports.to_load_report(
                fields, server=server.name, now_ms=_clock.read_clock_ms()
            )
        except (engines.EngineError, trio.TooSlowError, ValueError) as error:
            emit(
                events.LOAD_REPORT_MISSING,
                server=server.name,
                error=error or 'timeout',
            )
            return None

    async def _poll(self, server, inbox):
        try:
            report = await self.read_report(server)
            if report is not None:
                await inbox.send(report)
                for listener in self._listeners:
                    await listener.send(report)
            else:
                await inbox.send(core.ServerFailed(server=server.name))
        finally:
            self._polling.discard(server.name)

    async def _receive_cancels(self, inbox):
        async with trio.open_nursery() as nursery:
            async for cancel in self._receive:
                _tasks.start_isolated(
                    nursery,
                    self._cancel,
                    cancel,
                    inbox,
                    subject=f'server {cancel.server.name}',
                )

    async def _cancel(self, cancel, inbox):
        """Resend a cancel until confirmed, at most for `CANCEL_TIMEOUT_S`."""
        server = cancel.server
        limiter = self._cancel_limiters.setdefault(
            server.name, trio.CapacityLimiter(MAX_CANCELS_PER_SERVER)
        )
        backoff_s = CANCEL_INITIAL_BACKOFF_S
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            while not await self._try_cancel(cancel, limiter):
                await trio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, CANCEL_MAX_BACKOFF_S)
            await inbox.send(
                core.CancelConfirmed(
                    server=server.name, permit_id=cancel.permit_id
                )
            )

    async def _try_cancel(self, cancel, limiter):
        try:
            async with limiter:
                with trio.fail_after(CALL_TIMEOUT_S):
                    await self._engine.cancel(cancel.server, cancel.permit_id)
            return True
        except (engines.EngineError, trio.TooSlowError) as error:
            emit(
                events.ENGINE_CANCEL_FAILED,
                permit_id=cancel.permit_id,
                server=cancel.server.name,
                error=error or 'timeout',
            )
            return False
