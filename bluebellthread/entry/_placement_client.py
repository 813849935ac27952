"""Requests placements from the owners of services."""

import itertools

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

POLL_TIMEOUT_MS = 400
"""How long an owner may hold a placement request before it answers that the
request is still queued. A lost owner is noticed within this time, while the
caller's answer can still be on time."""

POLL_MARGIN_MS = 250
"""Time for the answer to a poll to arrive: several round trips between
regions."""

SUSPICION_MS = 2000
"""How long an owner that did not answer is skipped. By the end of that time
the membership has declared it dead, or it answers again."""

OWNER_CHECK_PERIOD_S = 0.5
"""How often the owner of each service is determined again while the
membership view does not change: a fraction of `SUSPICION_MS`."""

NO_OWNER_PAUSE_S = 0.1
"""Pause before the next search for an owner if none was found. A VM that
starts is in its own membership view within one tick."""


class PlacementRefusedError(Exception):
    """Raised when an owner refuses a placement; the request has not run.

    Parameters
    ----------
    refusal : PlacementRefused
        The owner's answer.
    owner : str
        The VM that refused.
    """

    def __init__(self, refusal, owner):
        self.refusal = refusal
        self.owner = owner
        super().__init__(refusal.kind)


@attrs.define(kw_only=True)
class Placement:
    """A pair of engines that is reserved for a request.

    Parameters
    ----------
    ask_id : str
        Id of the placement request that was granted.
    service : str
        The service that the engines belong to.
    prefill_server : str
        Runs the prefill; empty if the decode server does.
    decode_server : str
        Runs the decode.
    prompt_tokens, output_tokens : int
        Prompt length, and maximum output length.
    deadline_ms : int
        When the owner frees the reservation by itself.
    owner : str
        The VM that granted the placement.
    waited_ms : int
        Time from the first placement request to the grant.
    granted_ms : int
        When the grant arrived.
    read_ms : int or None
        When the prefill ended; None before that.
    failed_prefill : str
        The prefill server, if the KV cache that it computed could not be
        fetched; else empty.
    token_servers : tuple of str
        Those of the servers for which the owner has taken tokens.
    token_deadline_ms : int
        Until when the request may be sent to these.
    """

    ask_id: str
    service: str
    prefill_server: str
    decode_server: str
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int
    owner: str
    waited_ms: int
    granted_ms: int = 0
    read_ms: int | None = None
    failed_prefill: str = ''
    token_servers: tuple = ()
    token_deadline_ms: int = 0


class PlacementClient:
    """Requests placements for this VM and tracks those in use.

    Parameters
    ----------
    state : EntryState
        Supplies the membership view, which determines the owners.
    links : PeerLinks
        Connections to the other VMs.
    incarnation : int
        Incarnation of this process.
    """

    def __init__(self, *, state, links, incarnation):
        self._state = state
        self._links = links
        self.incarnation = incarnation
        self._nursery = None
        self._numbers = itertools.count(1)
        self._held = {}
        self._suspected_until_ms = {}
        self._registered = {}
        self._notices, self._queued_notices = trio.open_memory_channel(4096)

    async def run(self):
        """Send queued notices and register with new owners until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._register_with_new_owners)
            _tasks.start_lasting(nursery, self._send_notices)

    def start_isolated(self, function, *arguments, subject):
        """Start a task that may outlive the request that started it."""
        _tasks.start_isolated(
            self._nursery, function, *arguments, subject=subject
        )

    async def request_placement(
        self, request, *, avoid=(), departures=(), passed_over=frozenset()
    ):
        """Return a `Placement`, polling the owner until it grants or refuses.

        Parameters
        ----------
        request : PlacementAsk
            With an empty id; the id and the poll deadline are set here.
        avoid : tuple of str
            Servers that have failed the request.
        departures : tuple of Departure
            Servers that owners granted to the request although they have
            left.
        passed_over : collection of str
            Owners that the request does not ask.

        Raises
        ------
        PlacementRefusedError
            If the owner refuses.
        """
        placement_ask = attrs.evolve(
            request,
            ask_id=self._make_id(),
            avoid_servers=tuple(avoid),
            departures=tuple(departures),
        )
        requested_ms = _clock.read_clock_ms()
        answered = False
        asked = ''
        try:
            while True:
                answer, owner = await self._poll_owner(
                    placement_ask, passed_over
                )
                asked = owner or asked
                if isinstance(answer, routing.PlacementGranted):
                    answered = True
                    return self._accept_grant(
                        placement_ask, answer, owner, requested_ms
                    )
                if isinstance(answer, routing.PlacementRefused):
                    answered = True
                    raise PlacementRefusedError(answer, owner)
        finally:
            if not answered:
                self._queue_ended_notice(
                    placement_ask.ask_id, placement_ask.serves, asked
                )

    def note_prefill_ended(self, placement):
        """Notify the owner that the prefill has ended or failed."""
        placement.read_ms = _clock.read_clock_ms()
        self._queue_notice(
            placement.service,
            routing.PromptRead(
                ask_id=placement.ask_id, serves=placement.service
            ),
            placement.owner,
        )

    def release(
        self, placement, *, failed_server='', began_ms=None, is_whole=False
    ):
        """Release a placement and notify its owner, unless done already.

        Parameters
        ----------
        began_ms : int or None
            When the first event arrived, if these servers sent it.
        is_whole : bool
            Whether they have sent the answer to its end.
        """
        if self._held.pop(placement.ask_id, None) is None:
            return
        times_ms = {}
        if began_ms is not None and began_ms > placement.granted_ms:
            times_ms['first_event_ms'] = began_ms - placement.granted_ms
            if is_whole:
                times_ms['writing_ms'] = _clock.read_clock_ms() - began_ms
        self._queue_ended_notice(
            placement.ask_id,
            placement.service,
            placement.owner,
            failed_server=failed_server,
            **times_ms,
        )

    def _queue_ended_notice(self, ask_id, service, asked, **fields):
        self._queue_notice(
            service,
            routing.PlacementEnded(ask_id=ask_id, serves=service, **fields),
            asked,
        )

    def _accept_grant(self, placement_ask, answer, owner, requested_ms):
        now_ms = _clock.read_clock_ms()
        placement = Placement(
            ask_id=placement_ask.ask_id,
            service=placement_ask.serves,
            prefill_server=answer.prefill_server,
            decode_server=answer.decode_server,
            prompt_tokens=placement_ask.prompt_tokens,
            output_tokens=placement_ask.output_tokens,
            deadline_ms=placement_ask.deadline_ms,
            owner=owner,
            waited_ms=now_ms - requested_ms,
            granted_ms=now_ms,
            token_servers=answer.token_servers,
            token_deadline_ms=answer.token_deadline_ms,
        )
        self._held[placement.ask_id] = placement
        return placement

    def _make_id(self):
        vm = self._state.settings.vm
        return f'{vm}/{self.incarnation}/{next(self._numbers)}'

    # Owners

    def find_owner(self, service, passed_over=frozenset()):
        """Return the VM that owns a service, or None if none is known.

        Owners that recently did not answer, or that are passed over, are
        skipped; if all are, this VM is the owner.
        """
        now_ms = _clock.read_clock_ms()
        for member in self._state.rank_owners(service):
            if member.name in passed_over:
                continue
            if self._suspected_until_ms.get(member.name, 0) <= now_ms:
                return member
        return self._state.find_vm(self._state.settings.vm)

    async def _poll_owner(self, placement_ask, passed_over):
        """Send one poll to the owner; return its answer and its name.

        The answer is None if there is no owner or it can't be reached.
        """
        owner = self.find_owner(placement_ask.serves, passed_over)
        if owner is None:
            await trio.sleep(NO_OWNER_PAUSE_S)
            return None, ''
        if not passed_over:
            self._register_with(placement_ask.serves, owner)
        now_ms = _clock.read_clock_ms()
        placement_ask = attrs.evolve(
            placement_ask, poll_deadline_ms=now_ms + POLL_TIMEOUT_MS
        )
        try:
            answer = await self._links.call(
                owner,
                placement_ask,
                deadline_ms=now_ms + POLL_TIMEOUT_MS + POLL_MARGIN_MS,
            )
        except _peers.PeerUnreachableError as error:
            self._suspect(owner, placement_ask.serves, error)
            return None, owner.name
        return answer, owner.name

    def _suspect(self, owner, service, error):
        if owner.name == self._state.settings.vm:
            return
        now_ms = _clock.read_clock_ms()
        self._suspected_until_ms[owner.name] = now_ms + SUSPICION_MS
        emit(
            events.SERVICE_OWNER_UNREACHABLE,
            service=service,
            owner=owner.name,
            error=error,
        )

    async def _register_with_new_owners(self):
        """Register the placements in use with each new owner."""
        while True:
            with trio.move_on_after(OWNER_CHECK_PERIOD_S):
                await self._state.view_changed.wait()
            for traits in self._state.table.engine_services():
                owner = self.find_owner(traits.name)
                if owner is not None:
                    self._register_with(traits.name, owner)

    def _register_with(self, service, owner):
        key = (owner.name, owner.incarnation)
        previous = self._registered.get(service)
        if previous == key:
            return
        self._registered[service] = key
        held_placements = tuple(
            routing.HeldPlacement(
                ask_id=placement.ask_id,
                prefill_server=placement.prefill_server,
                decode_server=placement.decode_server,
                prompt_tokens=placement.prompt_tokens,
                output_tokens=placement.output_tokens,
                writing_ms=_clock.read_clock_ms() - placement.read_ms
                if placement.read_ms is not None
                else 0,
                deadline_ms=placement.deadline_ms,
            )
            for placement in self._held.values()
            if placement.service == service
        )
        emit(
            events.SERVICE_OWNER_CHANGED,
            service=service,
            owner=owner.name,
            previous=previous[0] if previous else '',
            places=len(held_placements),
        )
        held = routing.PlacementsHeld(
            vm=self._state.settings.vm,
            vm_incarnation=self.incarnation,
            serves=service,
            places=held_placements,
        )
        self._queue_notice(service, held)

    def _queue_notice(self, service, message, asked=''):
        """Queue a message to a service's owner, and to the VM that was asked.

        That may be another one if the owner was passed over.
        """
        try:
            self._notices.send_nowait((service, message, asked))
        except trio.WouldBlock:
            # Without the notice, the owner frees the reservation only at the
            # placement's deadline.
            emit(events.PLACEMENT_NOTICE_DROPPED, service=service)

    async def _send_notices(self):
        async for service, message, asked in self._queued_notices:
            await self._send_notice(service, message, asked)

    async def _send_notice(self, service, message, asked):
        owner = self.find_owner(service)
        receivers = [] if owner is None else [owner]
        if asked and (owner is None or owner.name != asked):
            receivers += [
                member
                for member in self._state.rank_owners(service)
                if member.name == asked
            ]
        for receiver in receivers:
            try:
                with trio.fail_after(_peers.CONNECT_TIMEOUT_S):
                    await self._links.send(receiver, message)
            except (_peers.PeerUnreachableError, trio.TooSlowError) as error:
                self._suspect(receiver, service, error)
