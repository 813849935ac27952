"""A model request's way to the schedulers of pools."""

import functools

import trio

from bluebellthread import core
from bluebellthread.daemon import _recovery


class SchedulerLink:
    """Asks for permits in the background and tells of their progress.

    Parameters
    ----------
    desk : PermitDesk
        Keeps the permits of this VM.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    """

    def __init__(self, *, desk, tracer):
        self._desk = desk
        self._tracer = tracer
        self._nursery = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Carry asks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def ask(self, request, answer, *, traceparent):
        """Ask for a permit; later hand the outcome to a function.

        The function also takes a `PermitCancelled` of the permit. Returns
        a scope whose cancellation takes the ask back.
        """
        scope = trio.CancelScope()
        ask = functools.partial(
            self._ask, request, answer, scope, traceparent=traceparent
        )
        self._nursery.start_soon(ask)
        return scope

    def is_current(self, permit):
        """Return whether new work may be started under a permit."""
        return self._desk.is_current(permit.permit_id)

    def tell(self, message):
        """Pass a permit's progress or release on."""
        if isinstance(message, core.PermitReleased):
            self._desk.release(message.permit_id, clean=message.clean)
        else:
            self._desk.progress(message.permit_id, message.stage)

    async def _ask(self, request, answer, scope, *, traceparent):
        with scope, self._tracer.span('scheduler', parent=traceparent) as span:
            try:
                hold = await self._desk.ask(
                    request,
                    on_cancel=answer,
                    traceparent=self._tracer.traceparent_of(span),
                )
            except _recovery.PermitRefusedError as error:
                answer(_to_refusal(request, error))
                return
            answer(hold.granted)


def _to_refusal(request, error):
    if error.kind == 'no-scheduler':
        return core.SchedulerUnreachable(attempt_number=request.attempt_number)
    return core.PermitRefused(
        request_id=request.request_id,
        attempt_number=request.attempt_number,
        kind=error.kind,
        retry_after_ms=error.retry_after_ms,
    )
