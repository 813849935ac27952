"""Asks the owner of a service for places at its engines."""

import itertools

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _peers
from bluebellthread.observe import emit
from bluebellthread.observe import events

POLL_MS = 400
"""How long an owner may keep an ask before it says that it still waits, so
that a lost owner is noticed while an answer can still be on time."""

POLL_MARGIN_MS = 250
"""Time for the answer of a poll: several round trips between regions."""

SUSPICION_MS = 2000
"""How long an owner that did not answer is passed over; by then the
membership has noticed its death, or it is back."""

FOLLOW_PERIOD_S = 0.5
"""How often the owner is looked up without a change of the membership: a
fraction of the time for which an owner is passed over."""

NO_OWNER_PAUSE_S = 0.1
"""Pause before the owner is looked up again where there is none: a VM that
starts knows itself within a tick."""


class NoPlaceError(Exception):
    """There will be no place for a request; it has not run.

    Parameters
    ----------
    refusal : PlacementRefused
    owner : str
        The VM that refused.
    """

    def __init__(self, refusal, owner):
        self.refusal = refusal
        self.owner = owner
        super().__init__(refusal.kind)


@attrs.define(kw_only=True)
class Place:
    """A pair of engines that a request may use.

    Parameters
    ----------
    owner : str
        The VM that gave it.
    waited_ms : int
        From the first ask to the grant.
    read_ms : int or None
        When the prompt had been read.
    failed_prefill : str
        The prefill server, where its read prompt could not be fetched.
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
    read_ms: int | None = None
    failed_prefill: str = ''


class PlacementClient:
    """One VM's asks, and the places that it uses.

    Parameters
    ----------
    state : EntryState
    links : PeerLinks
    incarnation : int
        This process.
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
        self._notices, self._to_send = trio.open_memory_channel(4096)

    async def run(self):
        """Send notices and follow the owner until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._follow_owners)
            async for service, message in self._to_send:
                await self._notify(service, message)

    def start_soon(self, function, *arguments):
        """Run something that outlives the request that caused it."""
        self._nursery.start_soon(function, *arguments)

    async def ask(self, request, *, avoid=()):
        """Return a `Place`, waiting for it as long as it is of use.

        Parameters
        ----------
        request : PlacementAsk
            With an empty id; the id and the poll deadline are set here.
        avoid : tuple of str
            Servers that have failed the request.

        Raises
        ------
        NoPlaceError
            If the owner refuses.
        """
        ask = attrs.evolve(
            request,
            ask_id=self._make_id(),
            avoid_servers=tuple(avoid),
        )
        asked_ms = _clock.read_clock_ms()
        answered = False
        try:
            while True:
                answer, owner = await self._poll(ask)
                if isinstance(answer, routing.PlacementGranted):
                    answered = True
                    return self._take(ask, answer, owner, asked_ms)
                if isinstance(answer, routing.PlacementRefused):
                    answered = True
                    raise NoPlaceError(answer, owner)
        finally:
            if not answered:
                self._end(ask.ask_id, ask.serves)

    def note_read(self, place):
        """Tell the owner that the prompt has been read."""
        place.read_ms = _clock.read_clock_ms()
        self._post(
            place.service,
            routing.PromptRead(ask_id=place.ask_id, serves=place.service),
        )

    def end(self, place, *, failed_server=''):
        """Give a place back."""
        if self._held.pop(place.ask_id, None) is not None:
            self._end(place.ask_id, place.service, failed_server)

    def _end(self, ask_id, service, failed_server=''):
        self._post(
            service,
            routing.PlacementEnded(
                ask_id=ask_id, serves=service, failed_server=failed_server
            ),
        )

    def _take(self, ask, answer, owner, asked_ms):
        place = Place(
            ask_id=ask.ask_id,
            service=ask.serves,
            prefill_server=answer.prefill_server,
            decode_server=answer.decode_server,
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.output_tokens,
            deadline_ms=ask.deadline_ms,
            owner=owner,
            waited_ms=_clock.read_clock_ms() - asked_ms,
        )
        self._held[place.ask_id] = place
        return place

    def _make_id(self):
        vm = self._state.settings.vm
        return f'{vm}/{self.incarnation}/{next(self._numbers)}'

    # Owners

    def find_owner(self, service):
        """Return the VM to ask about a service."""
        now_ms = _clock.read_clock_ms()
        for member in self._state.rank_owners(service):
            if self._suspected_until_ms.get(member.name, 0) <= now_ms:
                return member
        return self._state.find_vm(self._state.settings.vm)

    async def _poll(self, ask):
        """Ask the owner once; return its answer and its name."""
        owner = self.find_owner(ask.serves)
        if owner is None:
            await trio.sleep(NO_OWNER_PAUSE_S)
            return None, ''
        self._register_with(ask.serves, owner)
        now_ms = _clock.read_clock_ms()
        ask = attrs.evolve(ask, poll_deadline_ms=now_ms + POLL_MS)
        try:
            answer = await self._links.call(
                owner, ask, deadline_ms=now_ms + POLL_MS + POLL_MARGIN_MS
            )
        except _peers.PeerUnreachableError as error:
            self._suspect(owner, ask.serves, error)
            return None, owner.name
        return answer, owner.name

    def _suspect(self, owner, service, error):
        if owner.name == self._state.settings.vm:
            return
        now_ms = _clock.read_clock_ms()
        self._suspected_until_ms[owner.name] = now_ms + SUSPICION_MS
        emit(
            events.PLACEMENT_OWNER_LOST,
            service=service,
            owner=owner.name,
            error=error,
        )

    async def _follow_owners(self):
        """Tell each new owner which places are in use here."""
        while True:
            with trio.move_on_after(FOLLOW_PERIOD_S):
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
        places = tuple(
            routing.HeldPlacement(
                ask_id=place.ask_id,
                prefill_server=place.prefill_server,
                decode_server=place.decode_server,
                prompt_tokens=place.prompt_tokens,
                output_tokens=place.output_tokens,
                writing_ms=_clock.read_clock_ms() - place.read_ms
                if place.read_ms is not None
                else 0,
                deadline_ms=place.deadline_ms,
            )
            for place in self._held.values()
            if place.service == service
        )
        emit(
            events.PLACEMENT_OWNER_CHANGED,
            service=service,
            owner=owner.name,
            previous=previous[0] if previous else '',
            places=len(places),
        )
        held = routing.PlacementsHeld(
            vm=self._state.settings.vm,
            vm_incarnation=self.incarnation,
            serves=service,
            places=places,
        )
        self._post(service, held)

    def _post(self, service, message):
        try:
            self._notices.send_nowait((service, message))
        except trio.WouldBlock:
            # The owner frees the place when its deadline has passed.
            emit(events.PLACEMENT_NOTICE_DROPPED, service=service)

    async def _notify(self, service, message):
        owner = self.find_owner(service)
        if owner is None:
            return
        try:
            with trio.fail_after(_peers.CONNECT_TIMEOUT_S):
                await self._links.send(owner, message)
        except (_peers.PeerUnreachableError, trio.TooSlowError) as error:
            self._suspect(owner, service, error)
