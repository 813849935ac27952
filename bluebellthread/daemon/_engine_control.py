"""Control calls to backend servers: load reports and cancellation."""

import httpcore
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _load_reports
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events

POLL_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0
CANCEL_FIRST_WAIT_S = 0.1
CANCEL_LONGEST_WAIT_S = 2.0
CANCEL_GIVE_UP_S = 60
CANCEL_QUEUE_LENGTH = 4096
CANCELS_PER_SERVER = 4
"""Cancels on their way to one backend server at a time."""

CONNECTIONS = 200


class EngineControl:
    """Polls the owned pools' backend servers and cancels at them.

    Parameters
    ----------
    adapter : str
        Name in the registry of engine adapters.
    """

    def __init__(self, *, adapter):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS, retries=0
        )
        self._engine = engines.engine_adapters.get(adapter)(pool=self._pool)
        self._polling = set()
        self._listeners = []
        self._limits = {}
        self.cancels, self._receive = trio.open_memory_channel(
            CANCEL_QUEUE_LENGTH
        )

    def add_listener(self, inbox):
        """Pass every load report on to one more task."""
        self._listeners.append(inbox)

    async def give_order(self, server, order):
        """Give an engine an order; return once it has taken it."""
        await self._engine.give_order(server, order)

    async def run(self, scheduler_task):
        """Poll and cancel until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._take_cancels, scheduler_task.inbox)
            while True:
                for server in scheduler_task.owned_servers():
                    if server.name not in self._polling:
                        self._polling.add(server.name)
                        nursery.start_soon(
                            self._poll, server, scheduler_task.inbox
                        )
                await trio.sleep(POLL_INTERVAL_S)

    async def close(self):
        """Close the connections."""
        await self._pool.aclose()

    async def read_report(self, server):
        """Return a backend server's `LoadReport`, or None."""
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                fields = await self._engine.read_load(server)
            return _load_reports.to_load_report(
                fields, server=server.name, now_ms=_clock.read_clock_ms()
            )
        except (engines.EngineError, trio.TooSlowError, ValueError) as error:
            emit(
                events.LOAD_UNREADABLE,
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

    async def _take_cancels(self, inbox):
        async with trio.open_nursery() as nursery:
            async for cancel in self._receive:
                nursery.start_soon(self._cancel, cancel, inbox)

    async def _cancel(self, cancel, inbox):
        """Cancel, again and again until the engine has confirmed it."""
        server = cancel.server
        limit = self._limits.setdefault(
            server.name, trio.CapacityLimiter(CANCELS_PER_SERVER)
        )
        wait_s = CANCEL_FIRST_WAIT_S
        with trio.move_on_after(CANCEL_GIVE_UP_S):
            while not await self._try_cancel(cancel, limit):
                await trio.sleep(wait_s)
                wait_s = min(2 * wait_s, CANCEL_LONGEST_WAIT_S)
            await inbox.send(
                core.CancelConfirmed(
                    server=server.name, permit_id=cancel.permit_id
                )
            )

    async def _try_cancel(self, cancel, limit):
        try:
            async with limit:
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
