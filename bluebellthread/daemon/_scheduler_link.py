"""A gateway's way to the schedulers of pools."""

import functools

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.observe import emit
from bluebellthread.observe import events

OWNER_POLL_S = 0.1
"""Seconds between two looks whether a pool has another owner."""

RELEASE_TIMEOUT_MS = 1000
"""Longest wait for the acknowledgement of a release."""

RELEASE_TRIES = 5
"""Times that a release is sent; the permit's deadline ends it anyhow."""

RELEASE_RETRY_S = 0.2
"""Seconds between two tries."""


@attrs.frozen(kw_only=True)
class Told:
    """A message on its way to the owner of a pool."""

    pool: core.PoolKey
    message: object


class SchedulerLink:
    """Asks owners of pools for permits and tells them of progress.

    Parameters
    ----------
    fleet : object
        Has ``view``, the latest.
    links : PeerLinks
        Connections to other VMs.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    """

    def __init__(self, *, fleet, links, tracer):
        self._fleet = fleet
        self._links = links
        self._tracer = tracer
        self._nursery = None
        self._lines = {}

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Carry messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def ask(self, request, answer, *, traceparent):
        """Ask for a permit; later hand the outcome to a function.

        The outcome comes even if its request has ended since, so that a
        permit granted too late can be given back.
        """
        ask = functools.partial(
            self._ask, request, answer, traceparent=traceparent
        )
        self._nursery.start_soon(ask)

    def tell(self, pool, message):
        """Send a message to a pool's owner, in the order of the calls."""
        line = self._lines.get(pool)
        if line is None:
            line, receive = trio.open_memory_channel(float('inf'))
            self._lines[pool] = line
            self._nursery.start_soon(self._carry, receive)
        line.send_nowait(Told(pool=pool, message=message))

    async def _ask(self, request, answer, *, traceparent):
        with self._tracer.span('scheduler', parent=traceparent) as span:
            outcome = await self._call_owner(
                request, traceparent=self._tracer.traceparent_of(span)
            )
        if isinstance(outcome, (core.PermitGranted, core.PermitRefused)):
            answer(outcome)
            return
        answer(
            core.SchedulerUnreachable(attempt_number=request.attempt_number)
        )

    async def _call_owner(self, request, *, traceparent):
        """Return the owner's answer; None if there is none to be had."""
        owner = self._owner_of(request.pool)
        if owner is None:
            return None
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._stop_when_replaced,
                request.pool,
                owner,
                nursery.cancel_scope,
            )
            try:
                answers.append(
                    await self._links.call(
                        owner,
                        request,
                        deadline_ms=request.deadline_ms,
                        traceparent=traceparent,
                    )
                )
            except _peers.PeerUnreachableError as error:
                emit(events.PEER_UNREACHABLE, peer=owner.name, error=error)
            nursery.cancel_scope.cancel()
        return answers[0] if answers else None

    async def _stop_when_replaced(self, pool, owner, cancel_scope):
        while True:
            await trio.sleep(OWNER_POLL_S)
            present = self._owner_of(pool)
            if present is None or present.name != owner.name:
                cancel_scope.cancel()
                return

    async def _carry(self, receive):
        async for told in receive:
            if isinstance(told.message, core.PermitReleased):
                # It waits for an acknowledgement; others need not wait.
                self._nursery.start_soon(self._release, told)
            else:
                await self._send(told)

    async def _send(self, told):
        owner = self._owner_of(told.pool)
        if owner is None:
            return
        try:
            await self._links.send(owner, told.message)
        except _peers.PeerUnreachableError as error:
            emit(events.PEER_UNREACHABLE, peer=owner.name, error=error)

    async def _release(self, told):
        for _ in range(RELEASE_TRIES):
            owner = self._owner_of(told.pool)
            if owner is not None and await self._is_released(owner, told):
                return
            await trio.sleep(RELEASE_RETRY_S)

    async def _is_released(self, owner, told):
        try:
            answer = await self._links.call(
                owner,
                told.message,
                deadline_ms=_clock.read_clock_ms() + RELEASE_TIMEOUT_MS,
            )
        except _peers.PeerUnreachableError as error:
            emit(events.PEER_UNREACHABLE, peer=owner.name, error=error)
            return False
        return isinstance(answer, core.Done)

    def _owner_of(self, pool):
        view = self._fleet.view
        members = view.in_data_centre(pool.data_centre)
        name = core.choose_owner(pool.text(), [m.name for m in members])
        return view.find(name) if name else None
