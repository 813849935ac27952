"""Background tasks that carry a gateway's messages to pool owners."""

import trio

from bluebellthread import core
from bluebellthread.daemon import _tasks


class SchedulerLink:
    """Requests permits and reports progress without blocking the caller.

    Parameters
    ----------
    permit_client : PermitClient
        Finds the pool owners and tracks the permits held.
    tracer : bluebellthread.observe.Tracer
        Creates a span for each permit request.
    """

    def __init__(self, *, permit_client, tracer):
        self._permit_client = permit_client
        self._tracer = tracer
        self._nursery = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def request_permit(self, request, answer, *, traceparent):
        """Request a permit and later call ``answer`` with the outcome.

        Returns a cancel scope; cancelling it withdraws the request. An
        outcome that has already arrived is still passed to ``answer``, so
        that a permit granted too late can be released.
        """
        scope = trio.CancelScope()
        _tasks.start_isolated(
            self._nursery,
            self._request_permit,
            request,
            answer,
            scope,
            traceparent,
            subject=f'request {request.request_id}',
        )
        return scope

    def report(self, message):
        """Send a `PermitProgressed` or `PermitReleased` to the pool owner."""
        if isinstance(message, core.PermitReleased):
            self._permit_client.release(message)
        else:
            self._permit_client.progress(message)

    def is_current(self, permit):
        """Return whether new work may start under a permit."""
        return self._permit_client.is_current(permit)

    async def _request_permit(self, request, answer, scope, traceparent):
        with scope, self._tracer.span('scheduler', parent=traceparent) as span:
            try:
                outcome = await self._permit_client.request_permit(
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
