"""Grants placements for the services that this VM owns.

Every VM answers the placement requests that it receives, because the sender
determines the owner from its own membership view. While two VMs act as
owner, placements may be refused by engines, but no answer is lost.
"""

import random

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 4096
ENDED_CHECK_PERIOD_MS = 1000
"""How often placements and placement requests of ended VM processes are
searched for while the membership view does not change: a late message of
such a process may have added one."""

TICK_PERIOD_S = 0.05
"""How often waiting requests are checked if no message arrives: a few times
within the duration of a prefill."""


class PlacementTask:
    """Runs an allocator for each service that placements are requested for.

    Parameters
    ----------
    state : EntryState
        Supplies the membership view and the engines.
    find_owner : callable
        Takes a service; returns its owner by this VM's membership view.
    hear_departures : callable
        Takes the departures of servers that a VM tells, and its name.
    limits : ServerLimits
        Knows the limits that engines name.
    options : AllocatorOptions or None
        Options of each allocator; None for the defaults.
    """

    def __init__(
        self, *, state, find_owner, hear_departures, limits, options=None
    ):
        self._state = state
        self._limits = limits
        self._hear_departures = hear_departures
        self._find_owner = find_owner
        self._options = options
        self._owned = {}
        self._open_polls = {}
        self._activated = trio.Event()
        self._checked_view = None
        self._next_ended_check_ms = 0
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    def register(self, mailboxes):
        """Route the messages that owners receive to this task."""
        for message_class in (
            routing.PlacementAsk,
            routing.PromptRead,
            routing.PlacementEnded,
            routing.PlacementsHeld,
        ):
            mailboxes.register(message_class, self.inbox)

    @property
    def counts(self):
        """Numbers of waiting requests and of placements, by service."""
        return {
            service: (
                owned.allocator.waiting_count,
                owned.allocator.place_count,
            )
            for service, owned in self._owned.items()
        }

    @property
    def late_event_share(self):
        """Largest share of first events later than expected, of a service."""
        return max(
            (
                owned.allocator.late_event_share
                for owned in self._owned.values()
            ),
            default=0.0,
        )

    async def run(self):
        """Handle messages until cancelled."""
        async with trio.open_nursery() as nursery:
            _tasks.start_joined(nursery, self._tick)
            await _mailboxes.handle_each(
                self._receive,
                lambda inbound: self._handle(inbound, _clock.read_clock_ms()),
            )

    async def _tick(self):
        while True:
            await self._activated.wait()
            self._activated = trio.Event()
            while any(owned.is_active for owned in self._owned.values()):
                await trio.sleep(TICK_PERIOD_S)
                try:
                    self._update_all(_clock.read_clock_ms())
                except _tasks.FATAL_ERRORS:
                    raise
                except Exception as error:
                    # A request that hits a bug must not end the process.
                    _mailboxes.log_crash(self, self._state.settings.vm, error)

    def _update_all(self, now_ms):
        drops_ended = self._start_ended_check_if_due(now_ms)
        for service, owned in self._owned.items():
            self._end_epoch_if_idle(service, owned, now_ms)
            if not owned.allocator.is_idle:
                owned.allocator.set_servers(self._state.engines_of(service))
                if drops_ended:
                    owned.allocator.release_dead_vms(self._has_ended)
                self._decide(owned, now_ms)
        self._answer_polls(now_ms)

    def _start_ended_check_if_due(self, now_ms):
        view = self._state.view
        if self._checked_view is view and now_ms < self._next_ended_check_ms:
            return False
        self._checked_view = view
        self._next_ended_check_ms = now_ms + ENDED_CHECK_PERIOD_MS
        return True

    def _end_epoch_if_idle(self, service, owned, now_ms):
        owner = self._find_owner(service)
        is_owner = owner is not None and owner.name == self._state.settings.vm
        if owned.end_if_idle(is_owner, now_ms):
            emit(events.SERVICE_RELEASED, service=service)

    def _handle(self, inbound, now_ms):
        message = inbound.message
        owned = self._get_or_create_owned(message.serves)
        if isinstance(message, routing.PlacementAsk):
            self._handle_ask(owned, inbound, now_ms)
        elif isinstance(message, routing.PromptRead):
            owned.allocator.note_prefill_ended(message.ask_id, now_ms)
        elif isinstance(message, routing.PlacementEnded):
            self._open_polls.pop(message.ask_id, None)
            owned.allocator.release(
                message.ask_id,
                now_ms,
                failed_server=message.failed_server,
                first_event_ms=message.first_event_ms,
                writing_ms=message.writing_ms,
            )
        else:
            owned.register_held(message, now_ms)
        if owned.is_active:
            self._activated.set()
            owned.allocator.set_servers(self._state.engines_of(message.serves))
        self._decide(owned, now_ms)

    def _handle_ask(self, owned, inbound, now_ms):
        placement_ask = inbound.message
        owned.note_request(now_ms)
        if placement_ask.departures:
            self._hear_departures(placement_ask.departures, placement_ask.vm)
        owned.allocator.set_servers(
            self._state.engines_of(placement_ask.serves)
        )
        owned.note_contention(
            placement_ask.is_contended
            or self._state.is_contended(placement_ask.serves),
            now_ms,
        )
        earlier_grant = owned.allocator.add_request(placement_ask, now_ms)
        if earlier_grant is not None:
            inbound.answer(earlier_grant)
            return
        self._open_polls[placement_ask.ask_id] = inbound

    def _get_or_create_owned(self, service):
        owned = self._owned.get(service)
        if owned is None:
            owned = routing.OwnedAllocator(
                options=self._options,
                rng=random.Random(),
                limits=self._limits,
            )
            self._owned[service] = owned
            emit(events.SERVICE_OWNED, service=service)
        return owned

    def _decide(self, owned, now_ms):
        if not owned.may_grant(self._state.holders, now_ms):
            return
        for answer in owned.allocator.decide(now_ms):
            inbound = self._open_polls.pop(answer.ask_id, None)
            if inbound is not None:
                inbound.answer(answer)

    def _answer_polls(self, now_ms):
        """Answer each poll that is due with `PlacementPending`."""
        due = [
            ask_id
            for ask_id, inbound in self._open_polls.items()
            if now_ms >= inbound.message.poll_deadline_ms
        ]
        for ask_id in due:
            inbound = self._open_polls.pop(ask_id)
            inbound.answer(routing.PlacementPending(ask_id=ask_id))

    def _has_ended(self, vm, incarnation):
        member = self._state.find_vm(vm)
        if member is None or not member.incarnation:
            return False
        return member.state == 'dead' or member.incarnation != incarnation
