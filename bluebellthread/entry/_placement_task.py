"""The task that gives places where other VMs take this one for the owner.

Any VM that is asked answers: who owns a service follows from the asking
VM's view alone. Two owners at a time cost refused places, never an answer.
"""

import random

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 4096
GONE_PERIOD_MS = 1000
"""How often asks and places of processes that are gone are looked for when
the membership has not changed: a message of theirs may come late."""

TICK_PERIOD_S = 0.05
"""How often waiting requests are looked at without an event: a few times
in the time that reading a prompt takes."""


class PlacementTask:
    """Runs an allocator for each service that others ask about.

    Parameters
    ----------
    state : EntryState
    find_owner : callable
        Takes a service; returns the VM that owns it by this VM's view.
    options : AllocatorOptions
    """

    def __init__(self, *, state, find_owner, options=None):
        self._state = state
        self._find_owner = find_owner
        self._options = options
        self._owned = {}
        self._asked = {}
        self._activated = trio.Event()
        self._seen_view = None
        self._next_gone_ms = 0
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    def register(self, mailboxes):
        """Have the messages to owners delivered here."""
        for message_class in (
            routing.PlacementAsk,
            routing.PromptRead,
            routing.PlacementEnded,
            routing.PlacementsHeld,
        ):
            mailboxes.register(message_class, self.inbox)

    @property
    def counts(self):
        """Waiting requests and places in use, by service."""
        return {
            service: (
                owned.allocator.waiting_count,
                owned.allocator.place_count,
            )
            for service, owned in self._owned.items()
        }

    async def run(self):
        """Handle messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for inbound in self._receive:
                self._handle(inbound, _clock.read_clock_ms())

    async def _tick(self):
        while True:
            await self._activated.wait()
            self._activated = trio.Event()
            while any(owned.is_active for owned in self._owned.values()):
                await trio.sleep(TICK_PERIOD_S)
                self._look_after_all(_clock.read_clock_ms())

    def _look_after_all(self, now_ms):
        drops_gone = self._must_drop_gone(now_ms)
        for service, owned in self._owned.items():
            self._follow_ownership(service, owned, now_ms)
            if not owned.allocator.is_idle:
                owned.allocator.set_servers(self._state.engines_of(service))
                if drops_gone:
                    owned.allocator.drop_gone(self._is_gone)
                self._decide(owned, now_ms)
        self._answer_polls(now_ms)

    def _must_drop_gone(self, now_ms):
        view = self._state.view
        if self._seen_view is view and now_ms < self._next_gone_ms:
            return False
        self._seen_view = view
        self._next_gone_ms = now_ms + GONE_PERIOD_MS
        return True

    def _follow_ownership(self, service, owned, now_ms):
        owner = self._find_owner(service)
        is_owner = owner is not None and owner.name == self._state.settings.vm
        if owned.check_ended(is_owner, now_ms):
            emit(events.PLACEMENT_LEFT, service=service)

    def _handle(self, inbound, now_ms):
        message = inbound.message
        owned = self._owned_of(message.serves)
        if isinstance(message, routing.PlacementAsk):
            self._take_ask(owned, inbound, now_ms)
        elif isinstance(message, routing.PromptRead):
            owned.allocator.note_read(message.ask_id, now_ms)
        elif isinstance(message, routing.PlacementEnded):
            self._asked.pop(message.ask_id, None)
            owned.allocator.end(
                message.ask_id, now_ms, failed_server=message.failed_server
            )
        else:
            owned.hold(message, now_ms)
        if owned.is_active:
            self._activated.set()
        self._decide(owned, now_ms)

    def _take_ask(self, owned, inbound, now_ms):
        ask = inbound.message
        owned.note_asked(now_ms)
        owned.allocator.set_servers(self._state.engines_of(ask.serves))
        known = owned.allocator.ask(ask, now_ms)
        if known is not None:
            inbound.answer(known)
            return
        self._asked[ask.ask_id] = inbound

    def _owned_of(self, service):
        owned = self._owned.get(service)
        if owned is None:
            owned = routing.OwnedAllocator(
                options=self._options, rng=random.Random()
            )
            self._owned[service] = owned
            emit(events.PLACEMENT_OWNED, service=service)
        return owned

    def _decide(self, owned, now_ms):
        if not owned.may_grant(self._state.holders, now_ms):
            return
        for answer in owned.allocator.decide(now_ms):
            inbound = self._asked.pop(answer.ask_id, None)
            if inbound is not None:
                inbound.answer(answer)

    def _answer_polls(self, now_ms):
        """Tell those whose poll is due that their requests still wait."""
        due = [
            ask_id
            for ask_id, inbound in self._asked.items()
            if now_ms >= inbound.message.poll_deadline_ms
        ]
        for ask_id in due:
            inbound = self._asked.pop(ask_id)
            inbound.answer(routing.PlacementPending(ask_id=ask_id))

    def _is_gone(self, vm, incarnation):
        member = self._state.find_vm(vm)
        if member is None or not member.incarnation:
            return False
        return member.state == 'dead' or member.incarnation != incarnation
