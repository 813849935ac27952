"""The task that answers status requests from operators' tools."""

import trio

from bluebellthread import core
from bluebellthread.daemon import _mailboxes

QUEUE_LENGTH = 64


class StatusTask:
    """Answers `StatusRequest` and `RequestLookup` messages."""

    def __init__(
        self,
        *,
        settings,
        incarnation,
        fleet,
        admission,
        scheduler_task,
        request_log,
        revisions,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._fleet = fleet
        self._admission = admission
        self._scheduler_task = scheduler_task
        self._request_log = request_log
        self._revisions = revisions
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    async def run(self):
        """Answer messages until cancelled."""
        await _mailboxes.handle_each(
            self._receive,
            lambda inbound: inbound.answer(self._answer(inbound.message)),
        )

    def _answer(self, message):
        if isinstance(message, core.RequestLookup):
            return self._request_log.find(message.request_id)
        return self._describe()

    def _describe(self):
        pools = self._scheduler_task.pools_owned
        return core.StatusAnswer(
            vm=self._settings.vm,
            data_centre=self._settings.data_centre,
            incarnation=self._incarnation,
            revision=self._fleet.configuration.revision,
            draining=self._fleet.draining,
            confirmed=self._fleet.view.confirmed,
            pools_owned=tuple(pool.text() for pool in pools),
            permits_held=self._admission.in_progress,
            permits_granted=self._scheduler_task.permits_granted,
            members=self._fleet.view.members,
            invalid_revision=self._revisions.invalid_revision,
            stale_revision=self._revisions.stale_revision,
        )
