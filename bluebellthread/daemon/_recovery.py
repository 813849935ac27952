"""Permits of the own VM: asking for them, and recovery when VMs fail."""

import contextlib
import itertools

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _scheduler_task
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 4096
ASK_AGAIN_S = 0.05
"""Least wait before the same ask is sent again."""

CALL_TIMEOUT_MS = 1000
RELEASE_RETRY_S = 0.2
RELEASE_GIVE_UP_S = 60
REGISTER_INTERVAL_S = 0.5
SCHEDULER_TIMEOUT_MS = 2500
"""How long no scheduler may be reached before the cautious share is used."""


@attrs.define(kw_only=True)
class PermitHold:
    """A live permit of this VM.

    Parameters
    ----------
    permit : Permit
        The permit at its present stage.
    registered : bool
        Whether a scheduler knows of it.
    epoch : int
        Of the pause guard, when it was granted.
    """

    permit: core.Permit
    registered: bool
    epoch: int


class PermitClient:
    """Asks schedulers for permits and keeps those that this VM holds.

    Parameters
    ----------
    vm, incarnation : str, int
        This process.
    fleet : Fleet
        Says who schedules a pool.
    guard : PauseGuard
        Permits from before a pause start nothing new.
    links : PeerLinks
        To reach schedulers.
    share : CautiousShare
        Where no scheduler can be reached.
    cancels : trio.MemorySendChannel
        Takes `EngineCancel`.
    resends_releases : bool
        Only tests turn it off.
    """

    def __init__(
        self,
        *,
        vm,
        incarnation,
        fleet,
        guard,
        links,
        share,
        cancels,
        resends_releases=True,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._fleet = fleet
        self._guard = guard
        self._links = links
        self._share = share
        self._cancels = cancels
        self._resends_releases = resends_releases
        self._holds = {}
        self._fallback_numbers = itertools.count(1)
        self._releasing = 0
        self._nursery = None
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    @property
    def held_count(self):
        """Permits that this VM holds."""
        return len(self._holds)

    @property
    def idle(self):
        """Whether no permit is held or on its way back."""
        return not self._holds and not self._releasing

    async def run(self):
        """Answer schedulers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._register_fallbacks)
            async for inbound in self._receive:
                self._guard.check()
                pool = inbound.message.pool
                inbound.answer(self._registration_of(pool))

    async def ask(self, request, *, traceparent=''):
        """Return `PermitGranted` or `PermitRefused`, or None.

        Asks whoever owns the pool, again when the owner changes; after
        a bounded time without any owner it takes a cautious share, and
        None is for no room in that.
        """
        give_up_ms = _clock.read_clock_ms() + SCHEDULER_TIMEOUT_MS
        while True:
            owner = self._find_confirmed_owner(request.pool)
            answer = None
            if owner is not None:
                answer = await self._call_owner(owner, request, traceparent)
            if isinstance(answer, core.PermitGranted):
                self._hold(answer.permit, owner)
                return answer
            if _is_final(answer):
                return answer
            if _clock.read_clock_ms() >= give_up_ms:
                return await self._take_share(request)
            with trio.move_on_after(ASK_AGAIN_S):
                await self._fleet.wait_view_changed()

    def abandon(self, request):
        """Take back an ask that nobody waits for any more."""
        self._nursery.start_soon(self._abandon, request)

    def is_current(self, permit):
        """Return whether new work may be started under a permit."""
        self._guard.check()
        hold = self._holds.get(permit.permit_id)
        return hold is not None and hold.epoch == self._guard.epoch

    def progress(self, message):
        """Tell the scheduler that a permit is at another stage."""
        hold = self._holds.get(message.permit_id)
        owner = self._fleet.find_owner(message.pool)
        if hold is None or owner is None:
            return
        hold.permit = attrs.evolve(hold.permit, stage=message.stage)
        # The stage only frees slots early: losing it does no harm.
        self._nursery.start_soon(self._send, owner, message)

    def release(self, message):
        """Give a permit back, in the background until it is taken."""
        hold = self._holds.pop(message.permit_id, None)
        if hold is not None:
            self._releasing += 1
            self._nursery.start_soon(self._release, hold, message)

    # Asking

    def _find_confirmed_owner(self, pool):
        self._guard.check()
        if not self._fleet.view.confirmed:
            return None
        return self._fleet.find_owner(pool)

    async def _call_owner(self, owner, request, traceparent):
        """Return the owner's answer, or None if it is no longer the owner."""
        answers = []

        async def call(scope):
            with contextlib.suppress(_peers.PeerUnreachableError):
                answer = await self._links.call(
                    owner,
                    request,
                    deadline_ms=request.deadline_ms,
                    traceparent=traceparent,
                )
                answers.append(answer)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, nursery.cancel_scope)
            while self._is_owner(owner, request.pool):
                await self._fleet.wait_view_changed()
            nursery.cancel_scope.cancel()
        return answers[0] if answers else None

    def _is_owner(self, owner, pool):
        found = self._find_confirmed_owner(pool)
        return (
            found is not None
            and found.name == owner.name
            and found.incarnation == owner.incarnation
        )

    def _hold(self, permit, owner):
        # The next owner may have been told of all permits already.
        self._holds[permit.permit_id] = PermitHold(
            permit=permit,
            registered=self._is_owner(owner, permit.pool),
            epoch=self._guard.epoch,
        )

    async def _abandon(self, request):
        owner = self._fleet.find_owner(request.pool)
        if owner is None:
            return
        message = core.PermitAbandoned(
            caller=request.caller,
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            gateway=self._vm,
            gateway_incarnation=self._incarnation,
            pool=request.pool,
        )
        await self._send(owner, message)

    async def _take_share(self, request):
        emit(events.SCHEDULER_UNREACHABLE, pool=request.pool.text())
        number = f'f{next(self._fallback_numbers)}'
        permit_id = core.make_permit_id(self._vm, self._incarnation, number)
        permit = await self._share.take(request, permit_id)
        self.abandon(request)
        if permit is None:
            return None
        self._holds[permit_id] = PermitHold(
            permit=permit, registered=False, epoch=self._guard.epoch
        )
        return core.PermitGranted(
            permit=permit,
            scheduler=self._vm,
            scheduler_incarnation=self._incarnation,
        )

    # Giving back

    async def _release(self, hold, message):
        permit = hold.permit
        self._share.give_back(permit)
        try:
            with trio.move_on_after(RELEASE_GIVE_UP_S):
                taken = await self._call(permit.pool, message)
                if not message.clean and not (taken and hold.registered):
                    self._cancel_directly(permit)
                while not taken and self._resends_releases:
                    await trio.sleep(RELEASE_RETRY_S)
                    taken = await self._call(permit.pool, message)
        finally:
            self._releasing -= 1

    def _cancel_directly(self, permit):
        """Cancel at the engines where no scheduler will."""
        for server in self._fleet.configuration.backend_servers:
            if server.name in (permit.prefill_server, permit.decode_server):
                cancel = _scheduler_task.EngineCancel(
                    server=server, permit_id=permit.permit_id
                )
                self._nursery.start_soon(self._cancels.send, cancel)

    # Being asked

    def _registration_of(self, pool):
        holds = [h for h in self._holds.values() if h.permit.pool == pool]
        for hold in holds:
            hold.registered = True
        return core.PermitsRegistered(
            gateway=self._vm,
            gateway_incarnation=self._incarnation,
            pool=pool,
            permits=tuple(hold.permit for hold in holds),
        )

    async def _register_fallbacks(self):
        """Tell schedulers, once reached, of permits they do not know."""
        while True:
            await trio.sleep(REGISTER_INTERVAL_S)
            unknown = {
                hold.permit.pool
                for hold in self._holds.values()
                if not hold.registered
            }
            for pool in unknown:
                await self._register(pool)

    async def _register(self, pool):
        holds = [h for h in self._holds.values() if h.permit.pool == pool]
        message = self._registration_of(pool)
        if not await self._call(pool, message):
            for hold in holds:
                hold.registered = False

    # Messages

    async def _call(self, pool, message):
        """Return whether the pool's owner has taken a message in."""
        owner = self._find_confirmed_owner(pool)
        if owner is None:
            return False
        deadline_ms = _clock.read_clock_ms() + CALL_TIMEOUT_MS
        try:
            answer = await self._links.call(
                owner, message, deadline_ms=deadline_ms
            )
        except _peers.PeerUnreachableError:
            return False
        return isinstance(answer, core.Done)

    async def _send(self, owner, message):
        try:
            with trio.move_on_after(CALL_TIMEOUT_MS / 1000):
                await self._links.send(owner, message)
        except _peers.PeerUnreachableError as error:
            emit(events.PEER_UNREACHABLE, peer=owner.name, error=error)


def _is_final(answer):
    return isinstance(answer, core.PermitRefused) and (
        answer.kind != 'not-owner'
    )
