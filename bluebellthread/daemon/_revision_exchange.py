"""The task that exchanges configuration revisions with the peers."""

import random

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 256
CALL_TIMEOUT_MS = 1500
IN_FLIGHT_MAX = 32
"""Maximum number of messages to peers in flight at a time; further ones are
dropped."""

MESSAGE_CLASSES = (
    core.RevisionAnnounced,
    core.ManifestRequest,
    core.SectionsRequest,
)
"""Classes of peer messages that `RevisionExchange` handles."""


class RevisionExchange:
    """Runs the `Revisions` state machine with the peers.

    Parameters
    ----------
    vm, data_centre : str
        Names of this VM and of its data centre.
    fleet : object
        Its ``view`` is the membership view.
    links : PeerLinks
        Connections to peers.
    build_configuration : callable
        See `Revisions`.
    options : RevisionOptions
        Intervals and timeouts of the exchange of revisions.
    tick_interval_s : float
        Interval at which due actions are looked for.
    apply : callable
        ``async``; takes an `ApplyConfiguration` and brings its configuration
        into force.
    watch : callable
        ``async``; watches the platform until cancelled.
    note_watching : callable
        Takes a bool; called when the watch starts or stops.
    note_answer : callable
        Takes each `ManifestAnswer` of a peer.
    """

    def __init__(
        self,
        *,
        vm,
        data_centre,
        fleet,
        links,
        build_configuration,
        options,
        tick_interval_s,
        apply,
        watch,
        note_watching=None,
        note_answer=None,
    ):
        self._vm = vm
        self._fleet = fleet
        self._links = links
        self._tick_interval_s = tick_interval_s
        self._apply = apply
        self._watch = watch
        self._note_watching = note_watching
        self._note_answer = note_answer
        self._watch_scope = None
        self.revisions = core.Revisions(
            vm=vm,
            data_centre=data_centre,
            build_configuration=build_configuration,
            rng=random.Random(),
            options=options,
        )
        self._view = None
        self._nursery = None
        self._in_flight_count = 0
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    def register(self, mailboxes):
        """Have the peers' messages about revisions delivered to the inbox."""
        for message_class in MESSAGE_CLASSES:
            mailboxes.register(message_class, self.inbox)

    async def run(self):
        """Exchange revisions until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._send_ticks)
            async for event in self._receive:
                await self._handle_guarded(event)

    async def _handle_guarded(self, event):
        """Handle an event; a bug hit by a peer's message is only logged."""
        try:
            await self._handle_event(event)
        except Exception as error:
            if isinstance(event, _mailboxes.InboundMessage):
                _mailboxes.reject_crashed(event, error)
            elif isinstance(event, core.PeerAnswered):
                _mailboxes.log_crash(event.message, event.vm, error)
            else:
                raise

    async def call(self, member, message):
        """Send a message to a VM and return the answer.

        Raises
        ------
        PeerUnreachableError
            If the VM can't be reached or does not answer in time.
        """
        deadline_ms = _clock.read_clock_ms() + CALL_TIMEOUT_MS
        return await self._links.call(member, message, deadline_ms=deadline_ms)

    async def _send_ticks(self):
        while True:
            await self.inbox.send(core.Tick())
            await trio.sleep(self._tick_interval_s)

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

    def _set_watching(self, active):
        if self._note_watching is not None:
            self._note_watching(active)
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
            _tasks.start_joined(
                self._nursery, self._run_watch, self._watch_scope
            )

    async def _run_watch(self, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                _tasks.start_lasting(nursery, self._watch)

    def _start_sending(self, send, command):
        if self._in_flight_count >= IN_FLIGHT_MAX:
            # Unresponsive peers hold all slots. The message is dropped; a
            # later exchange of digests transfers its content.
            return
        self._in_flight_count += 1
        _tasks.start_isolated(
            self._nursery, send, command, subject=f'VM {command.vm}'
        )

    async def _ask(self, command):
        await self._send(command, self.call)

    async def _notify(self, command):
        await self._send(command, self._links.send)

    async def _send(self, command, send):
        vm, message = command.vm, command.message
        event = core.PeerFailed(vm=vm, message=message)
        try:
            member = self._fleet.view.find(vm)
            if member is not None:
                answer = await send(member, message)
                event = core.PeerAnswered(
                    vm=vm, message=answer, request=message
                )
                if self._note_answer is not None and isinstance(
                    answer, core.ManifestAnswer
                ):
                    self._note_answer(answer)
        except _peers.PeerUnreachableError:
            # The link has logged the error.
            pass
        finally:
            self._in_flight_count -= 1
        if not (isinstance(event, core.PeerAnswered) and answer is None):
            await self.inbox.send(event)


_CORE_EVENTS = (
    core.Tick,
    core.RevisionPublished,
    core.PlatformAnswered,
    core.PlatformFailed,
    core.PublishedInvalid,
    core.PeerAnswered,
    core.PeerFailed,
)


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
