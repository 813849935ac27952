"""The task that follows the platform's configuration and VM list."""

import trio

from bluebellthread import configuration
from bluebellthread import core
from bluebellthread.daemon import _platform
from bluebellthread.daemon import _scheduler_task
from bluebellthread.observe import emit
from bluebellthread.observe import events

WATCH_S = 20
RETRY_S = 1


class PlatformWatch:
    """Publishes what the platform says to the fleet picture.

    Parameters
    ----------
    platform : PlatformClient
        Reads the platform.
    fleet : Fleet
        The picture to replace.
    scheduler_task : SchedulerTask
        Told of every configuration.
    membership_inbox : trio.MemorySendChannel
        Told of every list.
    """

    def __init__(self, *, platform, fleet, scheduler_task, membership_inbox):
        self._platform = platform
        self._fleet = fleet
        self._inbox = scheduler_task.inbox
        self._membership_inbox = membership_inbox

    async def run(self):
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, self._follow_configuration)
            nursery.start_soon(self._watch, self._follow_vms)

    async def _watch(self, follow):
        state = 0
        while True:
            try:
                state = await follow(state)
            except _platform.PlatformError as error:
                emit(events.PLATFORM_UNREACHABLE, error=error)
                await trio.sleep(RETRY_S)

    async def _follow_configuration(self, revision):
        text = await self._platform.watch_configuration(
            after=revision, wait_s=WATCH_S
        )
        if text is None:
            return revision
        try:
            value = configuration.parse_configuration(text)
        except core.ConfigurationError as error:
            emit(events.CONFIGURATION_REJECTED, revision='?', error=error)
            await trio.sleep(RETRY_S)
            return revision
        self._fleet.configuration = value
        emit(events.CONFIGURATION_ACCEPTED, revision=value.revision)
        await self._inbox.send(
            _scheduler_task.ConfigurationChanged(configuration=value)
        )
        return value.revision

    async def _follow_vms(self, version):
        answer = await self._platform.watch_vms(after=version, wait_s=WATCH_S)
        if answer is None:
            return version
        version, members = answer
        listed = core.PlatformListed(members=members)
        await self._membership_inbox.send(listed)
        return version
