"""A gateway's way to the schedulers of pools."""

import functools

import trio

from bluebellthread import core


class SchedulerLink:
    """Asks for permits and tells of progress, in the background.

    Parameters
    ----------
    permit_client : PermitClient
        Finds the owners and keeps the permits.
    tracer : bluebellthread.observe.Tracer
        Makes the spans.
    """

    def __init__(self, *, permit_client, tracer):
        self._permit_client = permit_client
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
            self._permit_client.release(message)
        else:
            self._permit_client.progress(message)

    def is_current(self, permit):
        """Return whether new work may be started under a permit."""
        return self._permit_client.is_current(permit)

    async def _ask(self, request, answer, scope, *, traceparent):
        with scope, self._tracer.span('scheduler', parent=traceparent) as span:
            try:
                outcome = await self._permit_client.ask(
                    request, traceparent=self._tracer.traceparent_of(span)
                )
            except trio.Cancelled:
                self._permit_client.abandon(request)
                raise
            answer(
                outcome
                or core.SchedulerUnreachable(
                    attempt_number=request.attempt_number
                )
            )
