"""The task that keeps this VM on the newest configuration revision."""

import functools
import random

import trio

from bluebellthread import configuration
from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _platform
from bluebellthread.daemon import _scheduler_task
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 256
TICK_INTERVAL_S = 0.1
CALL_TIMEOUT_MS = 1500
IN_FLIGHT_MAX = 32
"""Maximum number of messages to peers in flight at a time; further ones are
dropped."""

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

MESSAGE_CLASSES = (
    core.RevisionAnnounced,
    core.ManifestRequest,
    core.SectionsRequest,
)
"""Classes of peer messages that `ConfigurationTask` handles."""


class ConfigurationTask:
    """Runs the `Revisions` state machine with the platform and the peers.

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
        self._vm = vm
        self._fleet = fleet
        self._links = links
        self._platform = platform
        self._listeners = listeners
        self._list_watch = list_watch
        self._rng = random.Random()
        self._cache = configuration.ItemCache()
        self.revisions = core.Revisions(
            vm=vm,
            data_centre=data_centre,
            build_configuration=functools.partial(
                configuration.build_configuration, cache=self._cache
            ),
            rng=self._rng,
            options=options,
        )
        self._view = None
        self._nursery = None
        self._in_flight_count = 0
        self._watch_scope = None
        self._served_revision = 0
        self._invalid_text = None
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    async def run(self):
        """Keep the configuration up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._send_ticks)
            async for event in self._receive:
                await self._handle_event(event)

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
        with trio.move_on_after(CALL_TIMEOUT_MS / _clock.MS_PER_S):
            async with trio.open_nursery() as nursery:
                for vm in partners:
                    nursery.start_soon(self._collect_revision, vm, answers)
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
            answer = await self._call(member, command.message)
        except _peers.PeerUnreachableError:
            return
        if isinstance(answer, core.ManifestAnswer):
            answers.append(answer.revision)

    async def _send_ticks(self):
        while True:
            await self.inbox.send(core.Tick())
            await trio.sleep(TICK_INTERVAL_S)

    async def _handle_event(self, event):
        now_ms = _clock.read_clock_ms()
        if self._view is not self._fleet.view:
            self._view = self._fleet.view
            commands = self.revisions.change_view(self._view, now_ms)
            await self._execute(commands)
        if not isinstance(event, _CORE_EVENTS):
            event = core.PeerAsked(token=event, message=event.message)
        await self._execute(self.revisions.handle(event, now_ms))

    async def _execute(self, commands):
        for command in commands:
            if isinstance(command, core.ApplyConfiguration):
                await self._apply(command)
            elif isinstance(command, core.AnswerPeer):
                command.token.answer(command.message)
            elif isinstance(command, core.AskPeer):
                self._start_sending(self._ask, command)
            elif isinstance(command, core.TellPeer):
                self._start_sending(self._notify, command)
            elif isinstance(command, core.WatchPlatform):
                self._set_watching(command.active)
            else:
                _report(command)

    async def _apply(self, command):
        value = command.configuration
        self._fleet.configuration = value
        emit(events.CONFIGURATION_ACCEPTED, revision=value.revision)
        changed = _scheduler_task.ConfigurationChanged(configuration=value)
        for listener in self._listeners:
            await listener.send(changed)

    def _start_sending(self, send, command):
        if self._in_flight_count >= IN_FLIGHT_MAX:
            # Unresponsive peers hold all slots. The message is dropped; a
            # later exchange of digests transfers its content.
            return
        self._in_flight_count += 1
        self._nursery.start_soon(send, command)

    async def _ask(self, command):
        await self._send(command, self._call)

    async def _notify(self, command):
        await self._send(command, self._links.send)

    async def _call(self, member, message):
        deadline_ms = _clock.read_clock_ms() + CALL_TIMEOUT_MS
        return await self._links.call(member, message, deadline_ms=deadline_ms)

    async def _send(self, command, send):
        vm, message = command.vm, command.message
        event = core.PeerFailed(vm=vm, message=message)
        try:
            member = self._fleet.view.find(vm)
            if member is not None:
                answer = await send(member, message)
                event = core.PeerAnswered(vm=vm, message=answer)
        except _peers.PeerUnreachableError:
            # The link has logged the error.
            pass
        finally:
            self._in_flight_count -= 1
        if not (isinstance(event, core.PeerAnswered) and answer is None):
            await self.inbox.send(event)

    def _set_watching(self, active):
        self._list_watch.switch(active)
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None
        emit(
            events.PLATFORM_WATCH_CHANGED,
            vm=self._vm,
            state='watches' if active else 'no longer watches',
        )
        if active:
            self._watch_scope = trio.CancelScope()
            self._nursery.start_soon(self._watch, self._watch_scope)

    async def _watch(self, scope):
        with scope:
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
            await self.inbox.send(_describe_invalid(text, error))
            return
        self._invalid_text = None
        self._served_revision = parsed.revision
        await self.inbox.send(
            core.RevisionPublished(value=value, configuration=parsed)
        )


_CORE_EVENTS = (
    core.Tick,
    core.RevisionPublished,
    core.PublishedInvalid,
    core.PeerAnswered,
    core.PeerFailed,
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


def _report(command):
    if isinstance(command, core.ReportInvalid):
        emit(
            events.CONFIGURATION_REJECTED,
            revision=command.revision,
            error='; '.join(str(problem) for problem in command.problems),
        )
    elif isinstance(command, core.ReportStale):
        emit(
            events.PLATFORM_STALE,
            served=command.served_revision,
            revision=command.in_force_revision,
        )
    elif isinstance(command, core.ReportConflict):
        emit(
            events.REVISION_CONFLICT,
            revision=command.revision,
            source=command.source or 'the platform',
        )
