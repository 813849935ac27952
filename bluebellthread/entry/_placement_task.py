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
TICK_PERIOD_S = 0.05
"""How often waiting requests are looked at without an event: a few times
in the time that reading a prompt takes."""


class PlacementTask:
    """Runs an `Allocator` for each service that others ask about.

    Parameters
    ----------
    state : EntryState
    options : AllocatorOptions
    """

    def __init__(self, *, state, options=None):
        self._state = state
        self._options = options
        self._allocators = {}
        self._asked = {}
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
            service: (allocator.waiting_count, allocator.place_count)
            for service, allocator in self._allocators.items()
        }

    async def run(self):
        """Handle messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for inbound in self._receive:
                self._handle(inbound, _clock.read_clock_ms())

    async def _tick(self):
        while True:
            await trio.sleep(TICK_PERIOD_S)
            now_ms = _clock.read_clock_ms()
            for service, allocator in self._allocators.items():
                if not allocator.is_idle:
                    allocator.set_servers(self._state.engines_of(service))
                    allocator.drop_gone(self._is_gone)
                    self._answer_all(allocator.decide(now_ms))
            self._answer_polls(now_ms)

    def _handle(self, inbound, now_ms):
        message = inbound.message
        allocator = self._allocator_of(message.serves)
        if isinstance(message, routing.PlacementAsk):
            self._take_ask(allocator, inbound, now_ms)
        elif isinstance(message, routing.PromptRead):
            allocator.note_read(message.ask_id, now_ms)
        elif isinstance(message, routing.PlacementEnded):
            self._asked.pop(message.ask_id, None)
            allocator.end(
                message.ask_id, now_ms, failed_server=message.failed_server
            )
        else:
            allocator.hold(message, now_ms)
        self._answer_all(allocator.decide(now_ms))

    def _take_ask(self, allocator, inbound, now_ms):
        ask = inbound.message
        allocator.set_servers(self._state.engines_of(ask.serves))
        known = allocator.ask(ask, now_ms)
        if known is not None:
            inbound.answer(known)
            return
        self._asked[ask.ask_id] = inbound

    def _allocator_of(self, service):
        allocator = self._allocators.get(service)
        if allocator is None:
            allocator = routing.Allocator(
                options=self._options, rng=random.Random()
            )
            self._allocators[service] = allocator
            emit(events.PLACEMENT_OWNED, service=service)
        return allocator

    def _answer_all(self, answers):
        for answer in answers:
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
        member = self._state.view.find(vm)
        if member is None or not member.incarnation:
            return False
        return member.state == 'dead' or member.incarnation != incarnation
