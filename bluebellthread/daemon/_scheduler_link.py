"""A gateway's way to the schedulers of pools."""

import functools

import trio

from bluebellthread import core


class SchedulerLink:
    """Asks for permits and tells of progress, in the background.

    Parameters
    ----------
    desk : PermitDesk
        Finds the owners and keeps the permits.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    """

    def __init__(self, *, desk, tracer):
        self._desk = desk
        self._tracer = tracer
        self._nursery = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Carry messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def ask(self, request, answer, *, traceparent):
        """Ask for a permit; later hand the outcome to a function.

        Returns a scope: cancelling it takes the ask back. An outcome that
        has come by then is handed over all the same, so that a permit
        granted too late can be given back.
        """
        scope = trio.CancelScope()
        ask = functools.partial(
            self._ask, request, answer, scope, traceparent=traceparent
        )
        self._nursery.start_soon(ask)
        return scope

    def tell(self, message):
        """Pass a `PermitProgressed` or `PermitReleased` on."""
        if isinstance(message, core.PermitReleased):
            self._desk.release(message)
        else:
            self._desk.progress(message)

    def is_current(self, permit):
        """Return whether new work may be started under a permit."""
        return self._desk.is_current(permit)

    async def _ask(self, request, answer, scope, *, traceparent):
        with scope, self._tracer.span('scheduler', parent=traceparent) as span:
            try:
                outcome = await self._desk.ask(
                    request, traceparent=self._tracer.traceparent_of(span)
                )
            except trio.Cancelled:
                self._desk.abandon(request)
                raise
            answer(
                outcome
                or core.SchedulerUnreachable(
                    attempt_number=request.attempt_number
                )
            )
