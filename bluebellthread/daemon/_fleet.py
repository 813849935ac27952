"""The latest published picture of the fleet, shared by the tasks."""

import trio

from bluebellthread import core


class Fleet:
    """What is in force now; each part is replaced whole by its owner.

    Examples
    --------
    >>> Fleet().configuration.revision
    0
    """

    def __init__(self):
        self.configuration = core.Configuration(revision=0)
        self.view = core.MembershipView(members=(), confirmed=False)
        self.draining = False
        self._view_changed = trio.Event()

    @property
    def ready(self):
        """Whether the balancer should send requests here."""
        return self.configuration.revision > 0 and not self.draining

    def publish_view(self, view):
        """Replace the membership view and wake who waits for a change."""
        self.view = view
        self._view_changed.set()
        self._view_changed = trio.Event()

    async def wait_view_changed(self):
        """Wait until the next view is published."""
        await self._view_changed.wait()

    def find_owner(self, pool):
        """Return the VM that schedules a pool, or None if none is known.

        VMs that are leaving own a pool only where no others are left.
        """
        members = self.view.in_data_centre(pool.data_centre)
        if not members:
            members = self.view.in_data_centre(
                pool.data_centre, states=('leaving',)
            )
        names = [member.name for member in members]
        name = core.choose_owner(pool.text(), names)
        return self.view.find(name) if name else None
