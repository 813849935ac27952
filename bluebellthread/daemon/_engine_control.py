"""Control calls to backend servers: load reports and cancellation."""

import httpcore
import trio

from bluebellthread.daemon import _clock
from bluebellthread.daemon import _scheduler_task
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events

POLL_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0
CANCEL_TRIES = 5
CANCEL_QUEUE_LENGTH = 4096
CANCEL_TASKS = 8


class EngineControl:
    """Polls the owned pools' backend servers and cancels at them.

    Parameters
    ----------
    adapter : str
        Name in the registry of engine adapters.
    """

    def __init__(self, *, adapter):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=100, retries=0
        )
        self._engine = engines.engine_adapters.get(adapter)(pool=self._pool)
        self._polling = set()
        self.cancels, self._receive = trio.open_memory_channel(
            CANCEL_QUEUE_LENGTH
        )

    async def run(self, scheduler_task):
        """Poll and cancel until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(CANCEL_TASKS):
                nursery.start_soon(self._cancel_loop)
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

    async def _poll(self, server, inbox):
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                fields = await self._engine.read_load(server)
            report = _scheduler_task.to_load_report(
                fields, server=server.name, now_ms=_clock.read_clock_ms()
            )
            await inbox.send(report)
        except (engines.EngineError, trio.TooSlowError, ValueError) as error:
            emit(
                events.LOAD_UNREADABLE,
                server=server.name,
                error=error or 'timeout',
            )
        finally:
            self._polling.discard(server.name)

    async def _cancel_loop(self):
        async for cancel in self._receive:
            await self._cancel(cancel)

    async def _cancel(self, cancel):
        for _ in range(CANCEL_TRIES):
            try:
                with trio.fail_after(CALL_TIMEOUT_S):
                    await self._engine.cancel(cancel.server, cancel.permit_id)
                return
            except (engines.EngineError, trio.TooSlowError) as error:
                emit(
                    events.ENGINE_CANCEL_FAILED,
                    permit_id=cancel.permit_id,
                    server=cancel.server.name,
                    error=error or 'timeout',
                )
                await trio.sleep(POLL_INTERVAL_S)
