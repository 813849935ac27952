"""The task that has engines change their role, once in a system's life.

Nothing that outlives a process could tell two VMs apart that both believe
they may give an order to an engine. So only one VM ever gives any, named by
the settings of the first start, and only in its first seconds.
"""

import trio

from bluebellthread.core import routing
from bluebellthread.entry import _server_calls
from bluebellthread.observe import emit
from bluebellthread.observe import events

START_WINDOW_S = 9.0
"""Orders are given only in this time from the process's start: an engine
takes six seconds to change its role, and callers come after twelve or more.
One that is ordered last misses the first three seconds."""

SETTLE_S = 1.5
"""How long the list of servers must not have changed: engines register
within about one period of their entries."""

LOOK_PERIOD_S = 0.2
ORDER_TIMEOUT_S = 1.0
"""An engine answers an order at once and carries it out later."""

DECODE = 'decode'
ACCEPTED_STATUSES = (200, 202)


def may_order(settings):
    """Return whether this VM is the one that may order engines.

    Parameters
    ----------
    settings : EntrySettings
    """
    return (
        settings.is_first_start
        and bool(settings.seed_hosts)
        and settings.host == min(settings.seed_hosts)
    )


class RoleTask:
    """Orders prefill servers to decode before the first caller comes.

    Parameters
    ----------
    state : EntryState
    caller : ServerCaller
    dialect : Dialect
    """

    def __init__(self, *, state, caller, dialect):
        self._state = state
        self._caller = caller
        self._dialect = dialect

    async def run(self):
        """Give the orders, if this VM may, and return."""
        if not may_order(self._state.settings):
            return
        with trio.move_on_after(START_WINDOW_S):
            await self._wait_settled()
            await self._order_all()

    async def _wait_settled(self):
        """Wait until all engines seem to have been listed."""
        directory = self._state.directory
        seen = None
        while True:
            version = directory.version if self._has_engines() else None
            if version is not None and version == seen:
                return
            seen = version
            await trio.sleep(LOOK_PERIOD_S if version is None else SETTLE_S)

    def _has_engines(self):
        """Return whether an engine of each service has been listed."""
        services = self._state.table.engine_services()
        return bool(services) and all(
            self._state.engines_of(traits.name) for traits in services
        )

    async def _order_all(self):
        async with trio.open_nursery() as nursery:
            for traits in self._state.table.engine_services():
                engines = self._state.engines_of(traits.name)
                for name in routing.plan_decode_switches(engines):
                    nursery.start_soon(self._order, name)

    async def _order(self, name):
        """Order one engine to decode.

        An order without an answer is not repeated: it may have been taken.
        """
        server = self._state.directory.find(name)
        if server is None:
            return
        order = self._dialect.make_role_order(
            DECODE, holder=self._state.settings.vm
        )
        try:
            status = await self._caller.call_control(
                server, order, timeout_s=ORDER_TIMEOUT_S
            )
            outcome = 'taken' if status in ACCEPTED_STATUSES else 'refused'
        except _server_calls.CallFailedError as error:
            status, outcome = None, error.reason
        emit(
            events.ENGINE_ROLE_ORDERED,
            server=name,
            role=DECODE,
            status=status,
            outcome=outcome,
        )
