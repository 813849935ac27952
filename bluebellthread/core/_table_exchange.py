"""Comparing tables, with peers and with the other data centres."""

from bluebellthread.core import _delegates
from bluebellthread.core import _gossip_queue
from bluebellthread.core import _membership_messages as messages


class TableExchange:
    """Repairs what news have missed.

    Parameters
    ----------
    context : MembershipContext
        Shared state.
    news : MemberNews
        What is still on its way.
    """

    def __init__(self, *, context, news):
        self._context = context
        self._news = news
        self._next_table_ms = 0
        self._next_remote_ms = 0
        self._remote_turn = 0

    def on_tick(self):
        """As a delegate, compare with the next data centre in turn."""
        context = self._context
        if context.now_ms < self._next_remote_ms:
            return
        self._next_remote_ms = (
            context.now_ms + context.options.remote_period_ms
        )
        places = _delegates.remote_places(context)
        if not places or not _delegates.is_delegate(context):
            return
        self._remote_turn += 1
        place = places[self._remote_turn % len(places)]
        targets = _delegates.remote_targets(context, place)
        for record in context.sample(targets, 1):
            context.send(record.member, self._digests(is_answer=False))

    def compare(self, event, digest):
        """Start a repair if a peer's table differs and no news explain it."""
        context = self._context
        if digest == context.table.digest() or len(self._news):
            return
        if context.now_ms < self._next_table_ms:
            return
        self._next_table_ms = context.now_ms + context.options.table_period_ms
        context.answer(event, self._digests(is_answer=False))

    def on_digests(self, event):
        """Send the data centres in which another's table differs."""
        theirs = {d.data_centre: d.digest for d in event.message.digests}
        differing = {
            place.data_centre
            for place in self._context.table.place_digests()
            if theirs.get(place.data_centre) != place.digest
        }
        updates = [
            record.update()
            for record in self._context.table
            if record.member.data_centre in differing
            and record.member.incarnation
        ]
        for page in _gossip_queue.split_pages(updates):
            self._context.answer(event, messages.Gossip(updates=page))
        if not event.message.is_answer:
            self._context.answer(event, self._digests(is_answer=True))

    def send_near(self, event):
        """Send this data centre's table but for the last page.

        Returns
        -------
        tuple of MemberUpdate
            The last page, for the answer itself.
        """
        context = self._context
        near = [
            record.update()
            for record in context.table
            if context.is_near(record) and record.member.incarnation
        ]
        pages = _gossip_queue.split_pages(near)
        for page in pages[:-1]:
            context.answer(event, messages.Gossip(updates=page))
        return pages[-1]

    def _digests(self, *, is_answer):
        return messages.TableDigests(
            digests=self._context.table.place_digests(), is_answer=is_answer
        )
