"""The task that runs the schedulers of the pools that this VM owns."""

import itertools
import random

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 4096
TICK_INTERVAL_S = 0.1
CALL_TIMEOUT_MS = 1000
"""Timeout of a call to a gateway."""

GATEWAY_STATES = ('alive', 'suspect', 'leaving')


@attrs.frozen(kw_only=True)
class ViewChanged:
    """Event: the membership view has changed."""

    view: core.MembershipView


@attrs.frozen(kw_only=True)
class ConfigurationChanged:
    """Event: another configuration revision is in force."""

    configuration: core.Configuration


@attrs.frozen(kw_only=True)
class EngineCancel:
    """Instruction to cancel a permit's run on a backend server."""

    server: core.BackendServer
    permit_id: str


class SchedulerTask:
    """Runs a `Scheduler` for each pool that this VM owns.

    Parameters
    ----------
    vm, data_centre, region, incarnation : str, str, str, int
        Name, data centre and region of this VM, and incarnation of this
        process.
    fleet : Fleet
        Provides the membership view, which alone decides the pools that
        this VM owns.
    guard : PauseGuard
        Checked for a pause of this process before each event is handled.
    links : PeerLinks
        Connections to the gateways.
    cancels : trio.MemorySendChannel
        Receives an `EngineCancel` for each run to cancel at an engine.
    options : SchedulerOptions
        Options that are not part of the configuration.
    """

    def __init__(
        self,
        *,
        vm,
        data_centre,
        region,
        incarnation,
        fleet,
        guard,
        links,
        cancels,
        options,
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._region = region
        self._incarnation = incarnation
        self._fleet = fleet
        self._guard = guard
        self._links = links
        self._cancels = cancels
        self._options = options
        self._configuration = None
        self._applied_view = None
        self._schedulers = {}
        self._waiting = {}
        self._permit_numbers = itertools.count(1)
        self._nursery = None
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    @property
    def pools_owned(self):
        """Keys of the pools that this VM owns, sorted."""
        return tuple(sorted(self._schedulers))

    @property
    def permits_granted(self):
        """Number of permits in force in all owned pools."""
        return sum(s.permit_count for s in self._schedulers.values())

    def owned_servers(self):
        """Return the backend servers of the owned pools."""
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
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._send_ticks)
            async for event in self._receive:
                # Detect a pause before handling an event that was queued
                # during it.
                self._guard.check_for_pause()
                if not self._fleet.view.confirmed:
                    self._drop_all_pools()
                await self._handle(event)

    async def _send_ticks(self):
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            await self.inbox.send(core.Tick())

    async def _handle(self, event):
        if isinstance(event, ViewChanged):
            await self._update_ownership()
        elif isinstance(event, ConfigurationChanged):
            self._configuration = event.configuration
            await self._update_ownership()
        elif isinstance(event, core.Tick):
            if self._fleet.view is not self._applied_view:
                await self._update_ownership()
            await self._dispatch_to_all(event)
        elif isinstance(
            event, (core.LoadReport, core.ServerFailed, core.CancelConfirmed)
        ):
            await self._dispatch_to_all(event)
        elif isinstance(event, core.PermitsRegistered):
            await self._dispatch_to_pool(event)
        else:
            await self._handle_inbound(event)

    async def _handle_inbound(self, inbound):
        message = inbound.message
        scheduler = self._schedulers.get(message.pool)
        if scheduler is None:
            inbound.answer(self._refuse_not_owner(message))
            return
        if isinstance(message, core.PermitRequest):
            key = _waiting_key(message.gateway, message)
            self._waiting[key] = inbound
        else:
            inbound.answer(core.Done())
        await self._dispatch(scheduler, message)

    async def _dispatch_to_pool(self, message):
        scheduler = self._schedulers.get(message.pool)
        if scheduler is not None:
            await self._dispatch(scheduler, message)

    def _refuse_not_owner(self, message):
        if not isinstance(message, core.PermitRequest):
            return core.Rejected(
                kind='not-owner', remedy='ask the owner of the pool'
            )
        owner = self._fleet.find_owner(message.pool)
        return core.PermitRefused(
            request_id=message.request_id,
            attempt_number=message.attempt_number,
            kind='not-owner',
            retry_after_ms=0,
            owner=owner.name if owner else '',
        )

    async def _dispatch_to_all(self, event):
        for scheduler in list(self._schedulers.values()):
            await self._dispatch(scheduler, event)

    # Ownership

    async def _update_ownership(self):
        self._applied_view = self._fleet.view
        owned = set(self._owned_pools())
        for pool in set(self._schedulers) - owned:
            self._drop_pool(pool)
        for pool in owned - set(self._schedulers):
            self._schedulers[pool] = self._make_scheduler(pool)
            emit(events.POOL_OWNED, vm=self._vm, pool=pool.text())
        for pool, scheduler in list(self._schedulers.items()):
            servers = self._configuration.servers_of(
                pool.serves, pool.data_centre
            )
            await self._dispatch(
                scheduler, core.ServersChanged(servers=servers)
            )
            await self._dispatch(
                scheduler,
                core.OptionsChanged(options=self._options_of(pool)),
            )
            await self._dispatch(
                scheduler,
                core.GatewaysChanged(
                    live=self._live_gateways(), minority=self._is_minority()
                ),
            )

    def _owned_pools(self):
        if self._configuration is None or not self._fleet.view.confirmed:
            return
        for model in self._configuration.models:
            pool = core.PoolKey(
                serves=model.name, data_centre=self._data_centre
            )
            owner = self._fleet.find_owner(pool)
            if owner is not None and owner.name == self._vm:
                yield pool

    def _drop_all_pools(self):
        for pool in list(self._schedulers):
            self._drop_pool(pool)

    def _drop_pool(self, pool):
        """Stop scheduling a pool; refer waiting gateways to its owner."""
        del self._schedulers[pool]
        emit(events.POOL_RELEASED, vm=self._vm, pool=pool.text())
        for key, inbound in list(self._waiting.items()):
            if inbound.message.pool == pool:
                del self._waiting[key]
                inbound.answer(self._refuse_not_owner(inbound.message))

    def _live_gateways(self):
        return tuple(
            (member.name, member.incarnation)
            for member in self._fleet.view.members
            if member.region == self._region and member.state in GATEWAY_STATES
        )

    def _is_minority(self):
        view = self._fleet.view
        live = view.in_data_centre(self._data_centre, states=GATEWAY_STATES)
        dead = view.in_data_centre(self._data_centre, states=('dead',))
        return len(live) < len(dead)

    def _make_scheduler(self, pool):
        return core.Scheduler(
            pool=pool,
            vm=self._vm,
            incarnation=self._incarnation,
            options=self._options_of(pool),
            rng=random.Random(self._incarnation),
            numbers=self._permit_numbers,
        )

    def _options_of(self, pool):
        values = core.resolve(
            self._configuration,
            data_centre=pool.data_centre,
            serves=pool.serves,
        )
        return attrs.evolve(
            self._options,
            prefill_policy=values.prefill_policy,
            decode_policy=values.decode_policy,
            queue_policy=values.queue_policy,
        )

    # Commands

    async def _dispatch(self, scheduler, event):
        for command in scheduler.handle(event, _clock.read_clock_ms()):
            await self._execute(command)

    async def _execute(self, command):
        if isinstance(command, core.CancelAtEngine):
            await self._cancel(command)
            return
        message = command.message
        if isinstance(message, core.PermitGranted):
            self._answer(
                _waiting_key(command.gateway, message.permit), message
            )
        elif isinstance(message, core.PermitRefused):
            self._answer(_waiting_key(command.gateway, message), message)
        else:
            member = self._fleet.view.find(command.gateway)
            if member is not None:
                _tasks.start_isolated(
                    self._nursery,
                    self._call,
                    member,
                    message,
                    subject=f'VM {member.name}',
                )

    def _answer(self, key, message):
        inbound = self._waiting.pop(key, None)
        if inbound is not None:
            inbound.answer(message)

    async def _call(self, member, message):
        """Send a message to a gateway and put its answer into the inbox."""
        deadline_ms = _clock.read_clock_ms() + CALL_TIMEOUT_MS
        try:
            answer = await self._links.call(
                member, message, deadline_ms=deadline_ms
            )
        except _peers.PeerUnreachableError:
            # Either the scheduler sends the message again later, or the
            # membership view will show that the gateway is dead.
            return
        if isinstance(answer, core.PermitsRegistered):
            await self.inbox.send(answer)

    async def _cancel(self, command):
        for server in self.owned_servers():
            if server.name == command.server:
                await self._cancels.send(
                    EngineCancel(server=server, permit_id=command.permit_id)
                )


def _waiting_key(gateway, message):
    return (gateway, message.request_id, message.attempt_number)
