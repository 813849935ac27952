"""The task that sends load and unload orders to the engines of owned pools."""

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 1024
TICK_INTERVAL_S = 0.25
ORDER_TIMEOUT_S = 120
"""Timeout of an order; loading weights from the weight store may take long."""


class OrdersTask:
    """Runs an `OrderPlanner` for owned pools and sends its orders.

    Parameters
    ----------
    vm : str
        Name of this VM.
    fleet : Fleet
        Provides the configuration in force and the membership view.
    guard : PauseGuard
        Detects a pause of this process between the confirmation of an order
        and its sending.
    scheduler_task : SchedulerTask
        Lists the engines of the owned pools.
    engine_control : EngineControl
        Sends the orders to the engines.
    confirm_newest : callable
        Coroutine function that returns whether peers confirm a revision
        as the newest.
    confirms : bool
        Whether, before an order goes to an engine that checks no fencing
        token, peers must confirm that its configuration revision is the
        newest; only tests turn this off.
    """

    def __init__(
        self,
        *,
        vm,
        fleet,
        guard,
        scheduler_task,
        engine_control,
        confirm_newest,
        confirms=True,
    ):
        self._vm = vm
        self._fleet = fleet
        self._guard = guard
        self._scheduler_task = scheduler_task
        self._engine_control = engine_control
        self._confirm_newest = confirm_newest
        self._confirms = confirms
        self._planner = core.OrderPlanner()
        self._configured = None
        self._nursery = None
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    async def run(self):
        """Send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._send_ticks)
            async for event in self._receive:
                self._update_ownership()
                self._handle(event)

    async def _send_ticks(self):
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            await self.inbox.send(core.Tick())

    def _update_ownership(self):
        configured = core.OrdersConfigured(
            configuration=self._fleet.configuration,
            servers=self._scheduler_task.owned_servers(),
        )
        seen = (configured.configuration.revision, configured.servers)
        if seen != self._configured:
            self._configured = seen
            self._handle(configured)

    def _handle(self, event):
        for command in self._planner.handle(event, _clock.read_clock_ms()):
            _tasks.start_isolated(
                self._nursery,
                self._send_order,
                command,
                subject=f'server {command.server.name}',
            )

    async def _send_order(self, command):
        order = command.order
        outcome = core.OrderFailed(order=order)
        try:
            if await self._may_send(command):
                with trio.fail_after(ORDER_TIMEOUT_S):
                    await self._engine_control.send_order(
                        command.server, order
                    )
                outcome = core.OrderDone(order=order)
                self._log(events.ORDER_ACCEPTED, order)
            else:
                self._log(events.ORDER_NOT_CONFIRMED, order)
        except (engines.EngineError, trio.TooSlowError) as error:
            self._log(events.ORDER_FAILED, order, error=error or 'timeout')
        await self.inbox.send(outcome)

    async def _may_send(self, command):
        if command.server.checks_fencing or not self._confirms:
            return True
        epoch = self._guard.epoch
        if not await self._confirm_newest(command.order.fencing_number):
            return False
        # Between these checks and the arrival at the engine there is only
        # the transfer of the order; docs/DESIGN.md describes the race that
        # remains.
        self._guard.check_for_pause()
        owned = self._scheduler_task.owned_servers()
        return (
            self._guard.epoch == epoch
            and self._fleet.view.confirmed
            and command.server in owned
        )

    def _log(self, event, order, **fields):
        emit(
            event,
            action=order.action,
            target=order.target,
            server=order.server,
            number=order.fencing_number,
            **fields,
        )
