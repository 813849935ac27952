"""Sends role orders to engines, only at the first start of the system.

If two VMs both sent role orders to an engine, no stored state could decide
which one is valid. So only one VM ever sends them: the settings of the first
start determine it, and it sends them only in the first seconds of its process.
"""

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _server_calls
from bluebellthread.observe import emit
from bluebellthread.observe import events

START_WINDOW_S = 9.0
"""Role orders are sent only within this time after the process starts. An
engine takes six seconds to change its role, and callers arrive after twelve
seconds or more: an engine that gets its order last is missing for the first
three seconds of the callers' requests."""

SETTLE_S = 1.5
"""How long the list of servers must stay unchanged before orders are given:
all engines register within about one interval at which servers write their
entries."""

POLL_PERIOD_S = 0.2
ORDER_TIMEOUT_S = 1.0
"""Timeout of a role order: an engine answers at once and changes its role
later."""

DECODE = 'decode'
ACCEPTED_STATUSES = (200, 202)


def may_order(settings):
    """Return whether this VM is the one that may give role orders.

    Parameters
    ----------
    settings : EntrySettings
        Settings of this VM. The VM whose address is the smallest of the seed
        addresses may give orders.
    """
    return (
        settings.is_first_start
        and bool(settings.seed_hosts)
        and settings.host == min(settings.seed_hosts)
    )


class RoleTask:
    """Switches surplus prefill servers to decode before callers arrive.

    Parameters
    ----------
    state : EntryState
        Supplies the settings and the engines.
    caller : ServerCaller
        Sends the orders.
    dialect : Dialect
        Builds the orders.
    """

    def __init__(self, *, state, caller, dialect):
        self._state = state
        self._caller = caller
        self._dialect = dialect

    async def run(self):
        """Send the role orders if this VM may, within `START_WINDOW_S`."""
        if not may_order(self._state.settings):
            return
        with trio.move_on_after(START_WINDOW_S):
            await self._wait_settled()
            await self._order_all()

    async def _wait_settled(self):
        """Wait until the server list has engines and stays unchanged."""
        directory = self._state.directory
        seen = None
        while True:
            version = directory.version if self._has_engines() else None
            if version is not None and version == seen:
                return
            seen = version
            await trio.sleep(POLL_PERIOD_S if version is None else SETTLE_S)

    def _has_engines(self):
        """Return whether each model service has an engine in the list."""
        services = self._state.table.engine_services()
        return bool(services) and all(
            self._state.engines_of(traits.name) for traits in services
        )

    async def _order_all(self):
        async with trio.open_nursery() as nursery:
            for traits in self._state.table.engine_services():
                engines = self._state.engines_of(traits.name)
                for name in routing.plan_decode_switches(engines):
                    _tasks.start_isolated(
                        nursery, self._order, name, subject=f'server {name}'
                    )

    async def _order(self, name):
        """Order one engine to decode.

        An order without an answer is not retried: the engine may have
        accepted it.
        """
        directory = self._state.directory
        server = directory.find(name)
        left = directory.find_departure(name, _clock.read_clock_ms())
        if server is None or left is not None:
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
