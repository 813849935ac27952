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


class PermitRefusedError(core.BluebellthreadError):
    """No permit was given; the request has not run.

    Parameters
    ----------
    kind, retry_after_ms : str, int
        As in `PermitRefused`.
    """

    def __init__(self, *, kind, retry_after_ms):
        self.kind = kind
        self.retry_after_ms = retry_after_ms
        super().__init__(f'no permit: {kind}; come back later')


class PermitHold:
    """A live permit of this VM.

    Parameters
    ----------
    granted : PermitGranted
        The permit as it was granted.
    registered : bool
        Whether a scheduler knows of it.
    epoch : int
        Of the pause guard, when it was granted.
    on_cancel : callable
        Takes the `PermitCancelled` when the permit loses its force.
    """

    def __init__(self, *, granted, registered, epoch, on_cancel):
        self.granted = granted
        self.permit = granted.permit
        self.registered = registered
        self.epoch = epoch
        self.cancelled = False
        self._on_cancel = on_cancel

    def cancel(self, message):
        """Tell whoever uses the permit that it has no force any more."""
        self.cancelled = True
        self._on_cancel(message)


class PermitDesk:
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
                self._handle(inbound)

    async def ask(self, request, *, on_cancel, traceparent=''):
        """Return a `PermitHold`, or raise `PermitRefusedError`.

        Asks whoever owns the pool, again when the owner changes; after
        a bounded time without any owner it takes a cautious share.
        """
        settled = False
        try:
            hold = await self._ask_until_settled(
                request, on_cancel, traceparent
            )
            settled = hold.registered
            return hold
        except PermitRefusedError:
            settled = True
            raise
        finally:
            if not settled:
                # The caller has gone, or no scheduler was reached in time.
                self._nursery.start_soon(self._abandon, request)

    def is_current(self, permit_id):
        """Return whether new work may be started under a permit."""
        self._guard.check()
        hold = self._holds.get(permit_id)
        if hold is None:
            return False
        return hold.epoch == self._guard.epoch and not hold.cancelled

    def progress(self, permit_id, stage):
        """Tell the scheduler that a permit is at another stage."""
        hold = self._holds.get(permit_id)
        if hold is None:
            return
        hold.permit = attrs.evolve(hold.permit, stage=stage)
        owner = self._fleet.find_owner(hold.permit.pool)
        if owner is None:
            return
        message = core.PermitProgressed(
            permit_id=hold.permit.permit_id, pool=hold.permit.pool, stage=stage
        )
        # The stage only frees slots early: losing it does no harm.
        self._nursery.start_soon(self._send, owner, message)

    def release(self, permit_id, *, clean):
        """Give a permit back, in the background until it is taken."""
        hold = self._holds.pop(permit_id, None)
        if hold is None:
            return
        self._releasing += 1
        self._nursery.start_soon(self._release, hold, clean)

    # Asking

    async def _ask_until_settled(self, request, on_cancel, traceparent):
        give_up_ms = _clock.read_clock_ms() + SCHEDULER_TIMEOUT_MS
        while True:
            owner = self._find_confirmed_owner(request.pool)
            answer = None
            if owner is not None:
                answer = await self._call_owner(owner, request, traceparent)
            if isinstance(answer, core.PermitGranted):
                return self._hold(answer, owner, on_cancel)
            if _is_final(answer):
                raise PermitRefusedError(
                    kind=answer.kind, retry_after_ms=answer.retry_after_ms
                )
            if _clock.read_clock_ms() >= give_up_ms:
                return await self._take_share(request, on_cancel)
            with trio.move_on_after(ASK_AGAIN_S):
                await self._fleet.wait_view_changed()

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

    def _hold(self, granted, owner, on_cancel):
        permit = granted.permit
        hold = PermitHold(
            granted=granted,
            registered=True,
            epoch=self._guard.epoch,
            on_cancel=on_cancel,
        )
        self._holds[permit.permit_id] = hold
        if not self._is_owner(owner, permit.pool):
            # The next owner may have been told of all permits already.
            hold.registered = False
        return hold

    async def _abandon(self, request):
        owner = self._fleet.find_owner(request.pool)
        if owner is None:
            return
        message = core.PermitAbandoned(
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            gateway=self._vm,
            gateway_incarnation=self._incarnation,
            pool=request.pool,
        )
        await self._send(owner, message)

    async def _take_share(self, request, on_cancel):
        emit(events.SCHEDULER_UNREACHABLE, pool=request.pool.text())
        number = f'f{next(self._fallback_numbers)}'
        permit_id = core.make_permit_id(self._vm, self._incarnation, number)
        permit = await self._share.take(request, permit_id)
        if permit is None:
            raise PermitRefusedError(
                kind='no-scheduler', retry_after_ms=CALL_TIMEOUT_MS
            )
        granted = core.PermitGranted(
            permit=permit,
            scheduler=self._vm,
            scheduler_incarnation=self._incarnation,
        )
        hold = PermitHold(
            granted=granted,
            registered=False,
            epoch=self._guard.epoch,
            on_cancel=on_cancel,
        )
        self._holds[permit_id] = hold
        return hold

    # Giving back

    async def _release(self, hold, clean):
        permit = hold.permit
        self._share.give_back(permit)
        message = core.PermitReleased(
            permit_id=permit.permit_id, pool=permit.pool, clean=clean
        )
        try:
            with trio.move_on_after(RELEASE_GIVE_UP_S):
                taken = await self._call(permit.pool, message)
                if not clean and not (taken and hold.registered):
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

    def _handle(self, inbound):
        message = inbound.message
        if isinstance(message, core.RegistrationWanted):
            inbound.answer(self._registration_of(message.pool))
            return
        inbound.answer(core.Done())
        hold = self._holds.get(message.permit_id)
        if hold is not None:
            emit(
                events.PERMIT_CANCELLED,
                permit_id=message.permit_id,
                kind=message.kind,
            )
            hold.cancel(message)

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
