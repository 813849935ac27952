"""Requests, registers and releases permits, even while VMs fail."""

import itertools

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _scheduler_task
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 4096
REQUEST_RETRY_S = 0.05
"""Longest wait for a new membership view before a request is sent again."""

CALL_TIMEOUT_MS = 1000
RELEASE_RETRY_S = 0.2
RELEASE_GIVE_UP_S = 60
REGISTER_INTERVAL_S = 0.5
SCHEDULER_TIMEOUT_MS = 2500
"""Time without a reachable scheduler before the cautious share is used.

A new owner grants again within about a second of a VM's death (PROOFS.md).
"""


@attrs.define(kw_only=True)
class PermitHold:
    """A permit that this VM holds.

    Parameters
    ----------
    permit : Permit
        The permit with its current stage.
    registered : bool
        Whether the pool owner knows of the permit.
    epoch : int
        Epoch of the pause guard when the permit was granted.
    """

    permit: core.Permit
    registered: bool
    epoch: int


class PermitClient:
    """Requests permits from schedulers and tracks those that this VM holds.

    Parameters
    ----------
    vm, incarnation : str, int
        Name of this VM and incarnation of this process.
    fleet : Fleet
        Provides the owner of each pool.
    guard : PauseGuard
        Detects pauses of this process; no new work may start under a permit
        that was granted before a pause.
    links : PeerLinks
        Connections to the pool owners.
    share : CautiousShare
        Grants permits locally while no scheduler can be reached.
    cancels : trio.MemorySendChannel
        Receives an `EngineCancel` for each run to cancel at an engine.
    resends_releases : bool
        Whether a release is sent again until the pool owner acknowledges
        it; only tests turn it off.
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
        """Number of permits that this VM holds."""
        return len(self._holds)

    @property
    def idle(self):
        """Whether no permit is held and no release is in flight."""
        return not self._holds and not self._releasing

    async def run(self):
        """Register held permits with pool owners until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._register_unregistered)
            await _mailboxes.handle_each(self._receive, self._handle)

    def _handle(self, inbound):
        self._guard.check_for_pause()
        inbound.answer(self._make_registration(inbound.message.pool))

    async def request_permit(self, request, *, traceparent=''):
        """Request a permit; return `PermitGranted`, `PermitRefused` or None.

        The request goes to the pool owner, and to the new one when the
        owner changes. After `SCHEDULER_TIMEOUT_MS` without an owner that can
        be reached, the permit comes from the cautious share; None means that
        the share has no room. Time that a request waits at an owner does not
        count.
        """
        give_up_ms = _clock.read_clock_ms() + SCHEDULER_TIMEOUT_MS
        while True:
            owner = self._find_confirmed_owner(request.pool)
            answer = None
            if owner is not None:
                asked_ms = _clock.read_clock_ms()
                answer, failed = await self._call_owner(
                    owner, request, traceparent
                )
                if not failed:
                    give_up_ms += _clock.read_clock_ms() - asked_ms
            if isinstance(answer, core.PermitGranted):
                self._add_hold(answer.permit, owner)
                return answer
            if _is_final(answer):
                return answer
            if _clock.read_clock_ms() >= give_up_ms:
                return await self._grant_cautious_permit(request)
            with trio.move_on_after(REQUEST_RETRY_S):
                await self._fleet.wait_view_changed()

    def abandon(self, request):
        """Withdraw a permit request whose outcome is no longer needed."""
        self._start(
            self._abandon, request, subject=f'request {request.request_id}'
        )

    def is_current(self, permit):
        """Return whether new work may start under a permit.

        The permit must still be held, and this process must not have paused
        since the grant.
        """
        self._guard.check_for_pause()
        hold = self._holds.get(permit.permit_id)
        return hold is not None and hold.epoch == self._guard.epoch

    def progress(self, message):
        """Report a permit's new stage to the pool owner."""
        hold = self._holds.get(message.permit_id)
        owner = self._fleet.find_owner(message.pool)
        if hold is None or owner is None:
            return
        hold.permit = attrs.evolve(hold.permit, stage=message.stage)
        # A new stage only frees slots early, so a lost report is harmless.
        self._start(self._send, owner, message, subject=f'VM {owner.name}')

    def release(self, message):
        """Release a permit; a background task retries until acknowledged."""
        hold = self._holds.pop(message.permit_id, None)
        if hold is not None:
            self._releasing += 1
            self._start(
                self._release,
                hold,
                message,
                subject=f'permit {message.permit_id}',
            )

    def _start(self, function, *arguments, subject):
        _tasks.start_isolated(
            self._nursery, function, *arguments, subject=subject
        )

    # Requests for permits

    def _find_confirmed_owner(self, pool):
        self._guard.check_for_pause()
        if not self._fleet.view.confirmed:
            return None
        return self._fleet.find_owner(pool)

    async def _call_owner(self, owner, request, traceparent):
        """Return the owner's answer, and whether the call failed.

        The answer is None on error and on a change of owner; the latter is
        not a failure of the call.
        """
        answers = []
        failed = False

        async def call(scope):
            nonlocal failed
            try:
                answer = await self._links.call(
                    owner,
                    request,
                    deadline_ms=request.deadline_ms,
                    traceparent=traceparent,
                )
                answers.append(answer)
            except _peers.PeerUnreachableError:
                # The link logs why it broke; a call that only outlives its
                # deadline ends with its request.
                failed = True
            scope.cancel()

        async with trio.open_nursery() as nursery:
            _tasks.start_joined(nursery, call, nursery.cancel_scope)
            while self._is_owner(owner, request.pool):
                await self._fleet.wait_view_changed()
            nursery.cancel_scope.cancel()
        return answers[0] if answers else None, failed

    def _is_owner(self, owner, pool):
        found = self._find_confirmed_owner(pool)
        return (
            found is not None
            and found.name == owner.name
            and found.incarnation == owner.incarnation
        )

    def _add_hold(self, permit, owner):
        # If the pool's owner changed during the call, this VM may already
        # have registered its other permits with the new owner.
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

    async def _grant_cautious_permit(self, request):
        emit(events.SCHEDULER_UNREACHABLE, pool=request.pool.text())
        number = f'f{next(self._fallback_numbers)}'
        permit_id = core.make_permit_id(self._vm, self._incarnation, number)
        permit = await self._share.grant_permit(request, permit_id)
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

    # Releases

    async def _release(self, hold, message):
        permit = hold.permit
        self._share.release_permit(permit)
        try:
            with trio.move_on_after(RELEASE_GIVE_UP_S):
                acknowledged = await self._call(permit.pool, message)
                if not message.clean and not (
                    acknowledged and hold.registered
                ):
                    self._cancel_at_engines(permit)
                while not acknowledged and self._resends_releases:
                    await trio.sleep(RELEASE_RETRY_S)
                    acknowledged = await self._call(permit.pool, message)
        finally:
            self._releasing -= 1

    def _cancel_at_engines(self, permit):
        """Cancel a permit at its engines, since no scheduler will do so."""
        for server in self._fleet.configuration.backend_servers:
            if server.name in (permit.prefill_server, permit.decode_server):
                cancel = _scheduler_task.EngineCancel(
                    server=server, permit_id=permit.permit_id
                )
                self._start(
                    self._cancels.send,
                    cancel,
                    subject=f'permit {permit.permit_id}',
                )

    # Registration

    def _make_registration(self, pool):
        holds = [h for h in self._holds.values() if h.permit.pool == pool]
        for hold in holds:
            hold.registered = True
        return core.PermitsRegistered(
            gateway=self._vm,
            gateway_incarnation=self._incarnation,
            pool=pool,
            permits=tuple(hold.permit for hold in holds),
        )

    async def _register_unregistered(self):
        """Register permits that the pool owners do not know of yet."""
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
        message = self._make_registration(pool)
        if not await self._call(pool, message):
            for hold in holds:
                hold.registered = False

    # Messages

    async def _call(self, pool, message):
        """Return whether the pool owner has acknowledged a message."""
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
