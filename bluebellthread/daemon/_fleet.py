"""The newest configuration and membership view, shared by the tasks."""

import trio

from bluebellthread import core
from bluebellthread.core import routing


class Fleet:
    """Holds the configuration, the membership view and the stop's schedule.

    The first two are replaced as a whole by the task that owns them.

    Examples
    --------
    >>> Fleet().configuration.revision
    0
    """

    def __init__(self):
        self.configuration = core.Configuration(revision=0)
        self.view = core.MembershipView(members=(), confirmed=False)
        self.stop_schedule = routing.StopSchedule()
        self._view_changed = trio.Event()

    @property
    def draining(self):
        """Whether this VM is being stopped."""
        return self.stop_schedule.is_begun

    @property
    def ready(self):
        """Whether the load balancer should send requests to this VM."""
        return self.configuration.revision > 0 and not self.draining

    def publish_view(self, view):
        """Replace the membership view and wake the tasks that wait for it."""
        self.view = view
        self._view_changed.set()
        self._view_changed = trio.Event()

    async def wait_view_changed(self):
        """Wait until the next membership view is published."""
        await self._view_changed.wait()

    def find_owner(self, pool):
        """Return the VM that schedules a pool, or None if none is known.

        A VM that is leaving is chosen only if no VM in the pool's data
        centre is alive or suspect.
        """
        members = self.view.in_data_centre(pool.data_centre)
        if not members:
            members = self.view.in_data_centre(
                pool.data_centre, states=('leaving',)
            )
        names = [member.name for member in members]
        name = core.choose_owner(pool.text(), names)
        return self.view.find(name) if name else None
