"""Passes news on to other VMs, and takes it from them.

Each VM tells a few partners what is new to it, so that news reaches the VMs
that the platform turns away. A new partner is told all that is known.
"""

import attrs
import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _state
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 1024
MESSAGE_BYTES = 256 * 1024
"""Size at which a message is full, a fraction of the longest frame. One item
may take as much again."""

ITEM_BYTES = 150
"""Approximate size of an item that has no lists."""

GATHER_S = 0.02
"""Pause before a message, so that news of one moment is sent together."""

ANSWER_TIMEOUT_MS = 400
"""How long a partner's answer is waited for: several round trips between
regions."""

PAUSE_FIRST_S = 0.2
PAUSE_MAX_S = 0.8
"""First and longest pause before news is sent again to a partner that did not
answer."""

OLD_BUILD_PAUSE_MAX_S = 60.0
"""Longest pause for a partner that has never answered. One of an older build
closes its connection at a message that it doesn't know."""


@attrs.frozen(kw_only=True)
class Topic:
    """One kind of news.

    Parameters
    ----------
    field : str
        Field of `News` that carries its items.
    key_of : callable
        Takes an item; returns what it is about. A later item replaces an
        earlier one with the same key.
    list_known : callable
        Takes the time; returns all items that are known.
    learn : callable
        Takes an item, the VM that told it and the time; returns whether the
        item is new.
    size_of : callable
        Takes an item; returns its approximate size in bytes.
    """

    field: str
    key_of: object
    list_known: object
    learn: object
    size_of: object = lambda item: ITEM_BYTES


@attrs.define(eq=False)
class _Partner:
    """A VM that this one tells, and what it is still to be told."""

    member: core.Member
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    pending: dict = attrs.field(factory=dict)
    changed: trio.Event = attrs.field(factory=trio.Event)
    has_answered: bool = False

    def add(self, key, item):
        self.pending[key] = item
        self.changed.set()


class NewsTask:
    """Tells and learns news, among it which servers have left.

    Parameters
    ----------
    state : EntryState
        Supplies the membership view and the list of servers.
    links : PeerLinks
        Connections to the other VMs for news only.
    """

    def __init__(self, *, state, links):
        self._state = state
        self._links = links
        self._partners = {}
        self._nursery = None
        self._inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)
        self._topics = {
            topic.field: topic
            for topic in (
                Topic(
                    field='departures',
                    key_of=lambda departure: departure.name,
                    list_known=state.directory.list_departures,
                    learn=self._learn_departure,
                ),
            )
        }

    def add_topic(self, topic):
        """Tell and learn one more kind of news; before `run` only."""
        self._topics[topic.field] = topic

    def register(self, mailboxes):
        """Route the news of other VMs to this task."""
        mailboxes.register(routing.News, self._inbox)

    async def run(self):
        """Tell and learn news until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._follow_members)
            await _mailboxes.handle_each(
                self._receive,
                lambda inbound: self._handle(inbound, _clock.read_clock_ms()),
            )

    # Learning

    def _handle(self, inbound, now_ms):
        vm = inbound.envelope.sender
        for field, topic in self._topics.items():
            items = getattr(inbound.message, field)
            self._learn(topic, items, vm, now_ms)
        inbound.answer(routing.NewsNoted())

    def _learn(self, topic, items, vm, now_ms):
        news = [item for item in items if topic.learn(item, vm, now_ms)]
        self._tell(topic, news, besides=vm)

    def hear_departures(self, departures, vm):
        """Learn departures that a VM told, and pass them on."""
        topic = self._topics['departures']
        self._learn(topic, departures, vm, _clock.read_clock_ms())

    def _learn_departure(self, departure, vm, now_ms):
        if not self._state.directory.hear_departure(departure, now_ms):
            return False
        emit(
            events.SERVER_HEARD_LEAVING,
            server=departure.name,
            incarnation=departure.incarnation,
            vm=vm,
            has_drained=departure.has_drained,
            era=departure.era,
            revision=departure.revision,
        )
        return True

    # Telling

    def tell_departures(self, departures):
        """Tell the partners which servers have left."""
        self.tell('departures', departures)

    def tell(self, field, items):
        """Tell the partners items of one kind of news."""
        self._tell(self._topics[field], items)

    def _tell(self, topic, items, *, besides=''):
        for partner in self._partners.values():
            if partner.member.name != besides:
                self._add_pending(partner, topic, items)

    def _add_pending(self, partner, topic, items):
        for item in items:
            partner.add((topic.field, topic.key_of(item)), item)

    async def _follow_members(self):
        """Keep the partners up to date with the membership view."""
        while True:
            changed = self._state.view_changed
            self._update_partners(_clock.read_clock_ms())
            await changed.wait()

    def _update_partners(self, now_ms):
        members = {
            member.name: member
            for member in self._state.view.members
            if member.state in _state.HOLDER_STATES
        }
        names = routing.choose_partners(self._state.settings.vm, members)
        chosen = {_key_of(members[name]): members[name] for name in names}
        for key in self._partners.keys() - chosen.keys():
            self._partners.pop(key).scope.cancel()
        for key in chosen.keys() - self._partners.keys():
            partner = self._partners[key] = _Partner(chosen[key])
            for topic in self._topics.values():
                known = topic.list_known(now_ms)
                self._add_pending(partner, topic, known)
            _tasks.start_joined(self._nursery, self._run_partner, partner)

    async def _run_partner(self, partner):
        with partner.scope:
            async with trio.open_nursery() as nursery:
                _tasks.start_lasting(nursery, self._tell_partner, partner)

    async def _tell_partner(self, partner):
        pause_s = PAUSE_FIRST_S
        while True:
            await partner.changed.wait()
            await trio.sleep(GATHER_S)
            if await self._send(partner, self._choose_items(partner)):
                pause_s = PAUSE_FIRST_S
                continue
            await trio.sleep(pause_s)
            pause_max_s = (
                PAUSE_MAX_S if partner.has_answered else OLD_BUILD_PAUSE_MAX_S
            )
            pause_s = min(pause_max_s, 2 * pause_s)

    def _choose_items(self, partner):
        """Return the oldest pending items that fit into one message."""
        chosen = {}
        size_bytes = 0
        for (field, key), item in partner.pending.items():
            chosen[field, key] = item
            size_bytes += self._topics[field].size_of(item)
            if size_bytes >= MESSAGE_BYTES:
                break
        return chosen

    async def _send(self, partner, sent):
        """Send items to a partner; return whether it has noted them."""
        message = routing.News(
            **{
                field: tuple(
                    item
                    for (item_field, _), item in sent.items()
                    if item_field == field
                )
                for field in self._topics
            }
        )
        error = 'it does not know this message'
        try:
            answer = await self._links.call(
                partner.member,
                message,
                deadline_ms=_clock.read_clock_ms() + ANSWER_TIMEOUT_MS,
            )
        except _peers.PeerUnreachableError as unreachable:
            answer, error = None, unreachable
        if not isinstance(answer, routing.NewsNoted):
            emit(
                events.NEWS_NOT_SENT,
                count=len(sent),
                vm=partner.member.name,
                error=error,
            )
            return False
        partner.has_answered = True
        for key, item in sent.items():
            if partner.pending.get(key) is item:
                del partner.pending[key]
        if not partner.pending:
            partner.changed = trio.Event()
        return True


def _key_of(member):
    return (member.name, member.incarnation, member.host, member.peer_port)
