"""The task that watches the platform's list of VMs."""

import trio

from bluebellthread import core
from bluebellthread.daemon import _platform
from bluebellthread.observe import emit
from bluebellthread.observe import events

WATCH_S = 20
RETRY_S = 1


class PlatformWatch:
    """Forwards the platform's VM list to the membership task while active.

    Parameters
    ----------
    platform : PlatformClient
        Reads the list from the platform.
    membership_inbox : trio.MemorySendChannel
        Receives every new list as `PlatformListed`.
    """

    def __init__(self, *, platform, membership_inbox):
        self._platform = platform
        self._membership_inbox = membership_inbox
        self._active = trio.Event()

    def switch(self, active):
        """Start or stop watching; a long poll in flight is not cancelled."""
        if active:
            self._active.set()
        elif self._active.is_set():
            self._active = trio.Event()

    async def run(self):
        """Watch the VM list whenever it is switched on, until cancelled."""
        version = 0
        while True:
            await self._active.wait()
            try:
                version = await self._poll_once(version)
            except _platform.PlatformError as error:
                emit(events.PLATFORM_UNREACHABLE, error=error)
                await trio.sleep(RETRY_S)

    async def _poll_once(self, version):
        answer = await self._platform.watch_vms(after=version, wait_s=WATCH_S)
        if answer is None:
            return version
        version, members = answer
        listed = core.PlatformListed(members=members)
        await self._membership_inbox.send(listed)
        return version
