"""The task that keeps this VM on the newest configuration revision."""

import functools
import random

import trio

from bluebellthread import configuration
from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _platform
from bluebellthread.daemon import _revision_exchange
from bluebellthread.daemon import _scheduler_task
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

TICK_INTERVAL_S = 0.1
WATCH_S = 4
"""Longest duration of one long poll of the platform.

A lost connection is detected after about this time at the latest.
"""

INVALID_POLL_S = 1.0
"""Pause between reads while the platform serves an invalid configuration."""

FULL_READ_INTERVAL_MS = 600_000
"""Interval of reads that return even an older revision than the one in force.

The long polls in between return only newer revisions, so only these reads show
that the platform serves an older one.
"""

BACKOFF_FIRST_S = 0.25
BACKOFF_MAX_S = 4.0


class ConfigurationTask:
    """Reads revisions from the platform and exchanges them with the peers.

    Parameters
    ----------
    vm, data_centre : str
        Names of this VM and of its data centre.
    fleet : Fleet
        Provides the membership view and stores the configuration in force.
    links : PeerLinks
        Connections to peers.
    platform : PlatformClient
        Reads the configuration from the platform.
    listeners : tuple of trio.MemorySendChannel
        Inboxes that receive each `ConfigurationChanged`.
    list_watch : PlatformWatch
        Watches the platform's VM list; switched on and off together with
        the watch of the configuration.
    options : RevisionOptions
        Intervals and timeouts of the exchange of revisions.
    """

    def __init__(
        self,
        *,
        vm,
        data_centre,
        fleet,
        links,
        platform,
        listeners,
        list_watch,
        options,
    ):
        self._fleet = fleet
        self._platform = platform
        self._listeners = listeners
        self._rng = random.Random()
        self._cache = configuration.ItemCache()
        self._exchange = _revision_exchange.RevisionExchange(
            vm=vm,
            data_centre=data_centre,
            fleet=fleet,
            links=links,
            build_configuration=functools.partial(
                configuration.build_configuration, cache=self._cache
            ),
            options=options,
            tick_interval_s=TICK_INTERVAL_S,
            apply=self._apply,
            watch=self._watch,
            note_watching=list_watch.switch,
        )
        self.revisions = self._exchange.revisions
        self._served_revision = 0
        self._invalid_text = None

    def register(self, mailboxes):
        """Have the peers' messages about revisions delivered to this task."""
        self._exchange.register(mailboxes)

    async def run(self):
        """Keep the configuration up to date until cancelled."""
        await self._exchange.run()

    async def confirm_newest(self, revision):
        """Return whether peers confirm that a revision is the newest.

        At least one peer has to answer, and no answer may name a higher
        revision. A VM that knows no other live VM in its data centre asks
        the platform instead, since it may itself be cut off from the others.
        """
        partners = self.revisions.partners
        if not partners:
            return await self._is_newest_published(revision)
        answers = []
        timeout_s = _revision_exchange.CALL_TIMEOUT_MS / _clock.MS_PER_S
        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                for vm in partners:
                    _tasks.start_joined(
                        nursery, self._collect_revision, vm, answers
                    )
        if self.revisions.revision != revision:
            return False
        if any(answer > revision for answer in answers):
            return False
        return bool(answers)

    async def _is_newest_published(self, revision):
        try:
            newer = await self._platform.watch_configuration(
                after=revision, wait_s=0
            )
        except _platform.PlatformError as error:
            emit(events.PLATFORM_UNREACHABLE, error=error)
            return False
        return newer is None and self.revisions.revision == revision

    async def _collect_revision(self, vm, answers):
        command = self.revisions.make_manifest_request(vm)
        member = self._fleet.view.find(vm)
        if member is None:
            return
        try:
            answer = await self._exchange.call(member, command.message)
        except _peers.PeerUnreachableError:
            return
        if isinstance(answer, core.ManifestAnswer):
            answers.append(answer.revision)

    async def _apply(self, command):
        value = command.configuration
        self._fleet.configuration = value
        emit(events.CONFIGURATION_ACCEPTED, revision=value.revision)
        changed = _scheduler_task.ConfigurationChanged(configuration=value)
        for listener in self._listeners:
            await listener.send(changed)

    async def _watch(self):
        failures = 0
        while True:
            try:
                await self._watch_session()
                failures = 0
            except _platform.PlatformError as error:
                emit(
                    events.PLATFORM_UNREACHABLE,
                    error=f'reading the configuration: {error}',
                )
                failures += 1
                await trio.sleep(self._choose_backoff_s(failures))

    def _choose_backoff_s(self, failures):
        longest_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**failures)
        return self._rng.uniform(0, longest_s)

    async def _watch_session(self):
        """Read the revision that is served, then long-poll for newer ones.

        The first read returns even a revision older than the one in force.
        """
        read = self._platform.watch_configuration
        await self._handle_published_text(await read(after=0, wait_s=0))
        end_ms = _clock.read_clock_ms() + FULL_READ_INTERVAL_MS
        while _clock.read_clock_ms() < end_ms:
            after = max(self.revisions.revision, self._served_revision)
            await self._handle_published_text(
                await read(after=after, wait_s=WATCH_S)
            )

    async def _handle_published_text(self, text):
        if text is None:
            return
        if text == self._invalid_text:
            await trio.sleep(INVALID_POLL_S)
            return
        try:
            value, parsed = configuration.parse_published(
                text, cache=self._cache
            )
        except core.ConfigurationError as error:
            self._invalid_text = text
            await self._exchange.inbox.send(_describe_invalid(text, error))
            return
        self._invalid_text = None
        self._served_revision = parsed.revision
        await self._exchange.inbox.send(
            core.RevisionPublished(value=value, configuration=parsed)
        )


def _describe_invalid(text, error):
    revision = 0
    try:
        value = configuration.load_value(text)
        if isinstance(value, dict) and type(value.get('revision')) is int:
            revision = value['revision']
    except core.ConfigurationError:
        # The text is not JSON, so it has no revision number to report.
        pass
    return core.PublishedInvalid(revision=revision, problems=error.problems)
