"""Merges membership updates from other VMs and forwards new ones."""

from bluebellthread.core import _delegates
from bluebellthread.core import _gossip_queue
from bluebellthread.core import _member_table as tables
from bluebellthread.core import _membership_messages as messages

FORWARDED_UPDATES_MAX = 4
"""Maximum new updates in a datagram whose updates are forwarded.

A datagram with more is part of a table and is not forwarded.
"""


class UpdateDisseminator:
    """Merge received membership updates and disseminate new ones.

    Parameters
    ----------
    context : MembershipContext
        State shared by the parts of the membership.
    prober : MemberProber
        Assigns correlation numbers to pings.
    """

    def __init__(self, *, context, prober):
        self._context = context
        self._prober = prober
        self._queue = _gossip_queue.GossipQueue()
        self._queue.push(context.me.update())
        self._unsent = []

    def __len__(self):
        return len(self._queue)

    def merge_all(self, updates):
        """Merge the updates received from another VM into the table."""
        applied = []
        for update in updates:
            if update.member.state not in tables.STATES:
                # A VM of a newer version may know more states.
                continue
            if update.member.name == self._context.me.member.name:
                self._refute(update)
            elif self._merge(update):
                applied.append(update)
        if len(applied) > FORWARDED_UPDATES_MAX:
            return
        for update in applied:
            self._queue.push(update)
            self._unsent.append(update)

    def announce(self, record):
        """Queue an update on a change that this VM made or detected."""
        update = record.update()
        self._queue.push(update)
        self._unsent.append(update)

    def forward_updates(self):
        """Send new updates to a few peers now, without waiting for pings."""
        if not self._unsent:
            return
        context = self._context
        page = _gossip_queue.split_pages(self._unsent)[0]
        peers = context.sample(context.local_peers(), context.options.fanout)
        for record in peers:
            context.send(record.member, messages.Gossip(updates=page))
        self._forward_to_remote()
        self._unsent = []

    def updates_for(self, record):
        """Return the updates to send to a VM, as many as a datagram holds.

        If the receiver is suspected or dead, an update about it comes
        first, so that the receiver can refute it.
        """
        count = len(self._context.local_peers()) + 1
        updates = self._queue.take(member_count=count)
        suspected = record.member.state in (tables.SUSPECT, tables.DEAD)
        if suspected and record.member.incarnation:
            leading = (record.update(), self._context.me.update())
            names = {update.member.name for update in leading}
            others = (u for u in updates if u.member.name not in names)
            updates = (*leading, *others)
        return updates[: _gossip_queue.fit_datagram(updates)]

    def _merge(self, update):
        context = self._context
        outcome = context.table.merge(update, context.now_ms)
        record = context.table.find(update.member.name)
        if outcome == 'conflict':
            self._ping_both_processes(record, update)
        if outcome != 'applied':
            return False
        if record.member.state == tables.SUSPECT and context.is_local(record):
            record.suspicion_deadline_ms = (
                context.now_ms + context.options.suspicion_timeout_ms
            )
        return True

    def _ping_both_processes(self, record, update):
        # Only the VM itself knows which of its two processes is running.
        ping = messages.Ping(digest=self._context.table.digest())
        for member in (record.member, update.member):
            correlation = self._prober.next_correlation()
            self._context.send(member, ping, correlation)

    def _refute(self, update):
        context = self._context
        reported_incarnation = update.member.incarnation
        if reported_incarnation == context.me.member.incarnation:
            suspected = update.member.state in (tables.SUSPECT, tables.DEAD)
            if not suspected or update.counter < context.me.counter:
                return
            context.table.change(context.me, counter=update.counter + 1)
        elif reported_incarnation in (0, context.me.replaced_incarnation):
            return
        else:
            context.table.change(
                context.me, replaced_incarnation=reported_incarnation
            )
        self.announce(context.me)

    def _forward_to_remote(self):
        context = self._context
        data_centre = context.me.member.data_centre
        local = [
            u for u in self._unsent if u.member.data_centre == data_centre
        ]
        if not local or not _delegates.is_delegate(context):
            return
        page = _gossip_queue.split_pages(local)[0]
        for remote in _delegates.remote_data_centres(context):
            for record in _delegates.remote_targets(context, remote)[:1]:
                context.send(record.member, messages.Gossip(updates=page))
