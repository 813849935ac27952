"""The task that owns this VM's schedulers."""

import math
import random

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 4096
TICK_INTERVAL_S = 0.1


@attrs.frozen(kw_only=True)
class ViewChanged:
    """The membership view is another."""

    view: core.MembershipView


@attrs.frozen(kw_only=True)
class ConfigurationChanged:
    """Another revision is in force."""

    configuration: core.Configuration


@attrs.frozen(kw_only=True)
class EngineCancel:
    """Ask for a permit to be cancelled at a backend server."""

    server: core.BackendServer
    permit_id: str


class SchedulerTask:
    """Runs a `Scheduler` for each pool that this VM owns.

    Parameters
    ----------
    vm, data_centre, incarnation : str, str, int
        This process.
    links : PeerLinks
        To tell gateways of cancelled permits.
    cancels : trio.MemorySendChannel
        Takes `EngineCancel`.
    """

    def __init__(self, *, vm, data_centre, incarnation, links, cancels):
        self._vm = vm
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._links = links
        self._cancels = cancels
        self._configuration = None
        self._view = core.MembershipView(members=())
        self._schedulers = {}
        self._waiting = {}
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    @property
    def pools_owned(self):
        """Keys of the pools that this VM schedules."""
        return tuple(sorted(self._schedulers))

    @property
    def permits_granted(self):
        """How many permits of all pools are in force."""
        return sum(len(s.permits) for s in self._schedulers.values())

    def owned_servers(self):
        """Return the backend servers of the pools owned."""
        if self._configuration is None:
            return ()
        return tuple(
            server
            for pool in self._schedulers
            for server in self._configuration.servers_of(
                pool.serves, pool.data_centre
            )
        )

    async def run(self):
        """Handle events until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_ticks)
            async for event in self._receive:
                await self._handle(event)

    async def _send_ticks(self):
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            await self.inbox.send(core.Tick())

    async def _handle(self, event):
        if isinstance(event, ViewChanged):
            self._view = event.view
            await self._follow_ownership()
        elif isinstance(event, ConfigurationChanged):
            self._configuration = event.configuration
            await self._follow_ownership()
        elif isinstance(event, (core.LoadReport, core.Tick)):
            await self._pass_to_all(event)
        else:
            await self._handle_inbound(event)

    async def _handle_inbound(self, inbound):
        message = inbound.message
        scheduler = self._schedulers.get(message.pool)
        if scheduler is None:
            inbound.answer(self._refuse_foreign(message))
            return
        if isinstance(message, core.PermitRequest):
            key = (message.request_id, message.attempt_number)
            self._waiting[key] = inbound
        else:
            inbound.answer(core.Done())
        await self._step(scheduler, message)

    def _refuse_foreign(self, message):
        if not isinstance(message, core.PermitRequest):
            return core.Rejected(
                kind='not-owner', remedy='ask the owner of the pool'
            )
        names = self._live_names()
        return core.PermitRefused(
            request_id=message.request_id,
            attempt_number=message.attempt_number,
            kind='not-owner',
            retry_after_ms=0,
            owner=core.choose_owner(message.pool.text(), names) or '',
        )

    def _live_names(self):
        members = self._view.in_data_centre(self._data_centre)
        return [member.name for member in members]

    async def _pass_to_all(self, event):
        for scheduler in list(self._schedulers.values()):
            await self._step(scheduler, event)

    async def _follow_ownership(self):
        if self._configuration is None:
            return
        owned = set(self._owned_pools())
        for pool in set(self._schedulers) - owned:
            del self._schedulers[pool]
            emit(events.POOL_LEFT, vm=self._vm, pool=pool.text())
        for pool in owned - set(self._schedulers):
            self._schedulers[pool] = self._make_scheduler(pool)
            emit(events.POOL_OWNED, vm=self._vm, pool=pool.text())
        for pool, scheduler in list(self._schedulers.items()):
            servers = self._configuration.servers_of(
                pool.serves, pool.data_centre
            )
            await self._step(scheduler, core.ServersChanged(servers=servers))
            await self._step(
                scheduler,
                core.OptionsChanged(options=self._options_of(pool)),
            )

    def _owned_pools(self):
        names = self._live_names()
        for model in self._configuration.models:
            pool = core.PoolKey(
                serves=model.name, data_centre=self._data_centre
            )
            if core.choose_owner(pool.text(), names) == self._vm:
                yield pool

    def _make_scheduler(self, pool):
        return core.Scheduler(
            pool=pool,
            vm=self._vm,
            incarnation=self._incarnation,
            options=self._options_of(pool),
            rng=random.Random(self._incarnation),
        )

    def _options_of(self, pool):
        values = core.resolve(
            self._configuration,
            data_centre=pool.data_centre,
            serves=pool.serves,
        )
        return core.SchedulerOptions(
            prefill_policy=values.prefill_policy,
            decode_policy=values.decode_policy,
            queue_policy=values.queue_policy,
        )

    async def _step(self, scheduler, event):
        for command in scheduler.handle(event, _clock.read_clock_ms()):
            await self._execute(command)

    async def _execute(self, command):
        if isinstance(command, core.CancelAtEngine):
            await self._cancel(command)
            return
        message = command.message
        if isinstance(message, core.PermitGranted):
            permit = message.permit
            self._answer(permit.request_id, permit.attempt_number, message)
        elif isinstance(message, core.PermitRefused):
            self._answer(message.request_id, message.attempt_number, message)

    def _answer(self, request_id, attempt_number, message):
        inbound = self._waiting.pop((request_id, attempt_number), None)
        if inbound is not None:
            inbound.answer(message)

    async def _cancel(self, command):
        for server in self.owned_servers():
            if server.name == command.server:
                await self._cancels.send(
                    EngineCancel(server=server, permit_id=command.permit_id)
                )


def to_load_report(fields, *, server, now_ms):
    """Return the report in a backend server's decoded JSON.

    Raises
    ------
    ValueError
        If a field is missing or of the wrong kind.
    """
    try:
        total_pieces = int(fields['total_pieces'])
        free_pieces = int(fields['free_pieces'])
        if not 0 <= free_pieces <= total_pieces or math.isinf(total_pieces):
            raise ValueError('free_pieces is not within total_pieces')
        return core.LoadReport(
            server=server,
            incarnation=int(fields.get('incarnation', 0)),
            sequence=int(fields['sequence']),
            total_pieces=total_pieces,
            free_pieces=free_pieces,
            running_ids=tuple(map(str, fields.get('running_ids', ()))),
            queued_count=int(fields.get('queued_count', 0)),
            leaving=bool(fields.get('leaving', False)),
            received_ms=now_ms,
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f'bad field {error}') from error
