"""News of VMs: merging what comes, passing on what is new."""

from bluebellthread.core import _delegates
from bluebellthread.core import _gossip_queue
from bluebellthread.core import _member_table as tables
from bluebellthread.core import _membership_messages as messages

FEW_UPDATES = 4
"""News above which a datagram is part of a table and is not passed on."""


class MemberNews:
    """Takes in and passes on what VMs say of each other.

    Parameters
    ----------
    context : MembershipContext
        Shared state.
    prober : MemberProber
        Numbers the pings.
    """

    def __init__(self, *, context, prober):
        self._context = context
        self._prober = prober
        self._queue = _gossip_queue.GossipQueue()
        self._queue.push(context.me.update())
        self._fresh = []

    def __len__(self):
        return len(self._queue)

    def merge_all(self, updates):
        """Take in what another VM says."""
        applied = []
        for update in updates:
            if update.member.name == self._context.me.member.name:
                self._refute(update)
            elif self._merge(update):
                applied.append(update)
        if len(applied) > FEW_UPDATES:
            return
        for update in applied:
            self._queue.push(update)
            self._fresh.append(update)

    def announce(self, record):
        """Spread a change that this VM has made or found."""
        update = record.update()
        self._queue.push(update)
        self._fresh.append(update)

    def pass_on(self):
        """Send what is new to a few peers at once, not with the pings."""
        if not self._fresh:
            return
        context = self._context
        page = _gossip_queue.split_pages(self._fresh)[0]
        peers = context.sample(context.near_peers(), context.options.fanout)
        for record in peers:
            context.send(record.member, messages.Gossip(updates=page))
        self._pass_on_to_remote()
        self._fresh = []

    def updates_for(self, record):
        """Return news, first what the receiver should know of itself."""
        count = len(self._context.near_peers()) + 1
        updates = self._queue.take(member_count=count)
        doubted = record.member.state in (tables.SUSPECT, tables.DEAD)
        if doubted and record.member.incarnation:
            first = (record.update(), self._context.me.update())
            names = {update.member.name for update in first}
            rest = (u for u in updates if u.member.name not in names)
            updates = (*first, *rest)
        return updates[: _gossip_queue.fit_datagram(updates)]

    def _merge(self, update):
        context = self._context
        outcome = context.table.merge(update, context.now_ms)
        record = context.table.find(update.member.name)
        if outcome == 'conflict':
            self._ask_directly(record, update)
        if outcome != 'applied':
            return False
        if record.member.state == tables.SUSPECT and context.is_near(record):
            record.suspicion_deadline_ms = (
                context.now_ms + context.options.suspicion_timeout_ms
            )
        return True

    def _ask_directly(self, record, update):
        # Only the VM itself can tell which of its processes runs.
        ping = messages.Ping(digest=self._context.table.digest())
        for member in (record.member, update.member):
            correlation = self._prober.next_correlation()
            self._context.send(member, ping, correlation)

    def _refute(self, update):
        context = self._context
        theirs = update.member.incarnation
        if theirs == context.me.member.incarnation:
            doubted = update.member.state in (tables.SUSPECT, tables.DEAD)
            if not doubted or update.counter < context.me.counter:
                return
            context.table.change(context.me, counter=update.counter + 1)
        elif theirs in (0, context.me.replaced_incarnation):
            return
        else:
            context.table.change(context.me, replaced_incarnation=theirs)
        self.announce(context.me)

    def _pass_on_to_remote(self):
        context = self._context
        place = context.me.member.data_centre
        near = [u for u in self._fresh if u.member.data_centre == place]
        if not near or not _delegates.is_delegate(context):
            return
        page = _gossip_queue.split_pages(near)[0]
        for other in _delegates.remote_places(context):
            for record in _delegates.remote_targets(context, other)[:1]:
                context.send(record.member, messages.Gossip(updates=page))
