"""Compares this VM's member table with the tables of other VMs."""

from bluebellthread.core import _delegates
from bluebellthread.core import _gossip_queue
from bluebellthread.core import _membership_messages as messages


class TableExchange:
    """Repair differences between tables that gossip has not resolved.

    Parameters
    ----------
    context : MembershipContext
        State shared by the parts of the membership.
    disseminator : UpdateDisseminator
        Holds the updates that are still being sent.
    """

    def __init__(self, *, context, disseminator):
        self._context = context
        self._disseminator = disseminator
        self._next_table_ms = 0
        self._next_remote_ms = 0
        self._remote_index = 0

    def on_tick(self):
        """If this VM is a delegate, compare tables with a remote VM.

        The other data centres take turns, and the VM is chosen at random
        among the delegates of the data centre whose turn it is.
        """
        context = self._context
        if context.now_ms < self._next_remote_ms:
            return
        self._next_remote_ms = (
            context.now_ms + context.options.remote_period_ms
        )
        data_centres = _delegates.remote_data_centres(context)
        if not data_centres or not _delegates.is_delegate(context):
            return
        self._remote_index += 1
        data_centre = data_centres[self._remote_index % len(data_centres)]
        targets = _delegates.remote_targets(context, data_centre)
        for record in context.sample(targets, 1):
            context.send(record.member, self._digests(is_answer=False))

    def compare(self, event, digest):
        """Start a repair if a peer's table differs from this VM's table.

        Updates that this VM is still sending may be the cause of the
        difference, so no repair starts while there are any.

        Parameters
        ----------
        event : DatagramReceived
            The peer's datagram.
        digest : int
            Checksum of the peer's table.
        """
        context = self._context
        if digest == context.table.digest() or len(self._disseminator):
            return
        if context.now_ms < self._next_table_ms:
            return
        self._next_table_ms = context.now_ms + context.options.table_period_ms
        context.answer(event, self._digests(is_answer=False))

    def on_digests(self, event):
        """Send the records of the data centres whose checksums differ."""
        theirs = {d.data_centre: d.digest for d in event.message.digests}
        differing = {
            ours.data_centre
            for ours in self._context.table.place_digests()
            if theirs.get(ours.data_centre) != ours.digest
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

    def send_local_table(self, event):
        """Send all but the last page of this data centre's table.

        Returns
        -------
        tuple of MemberUpdate
            The last page, which the `Ack` carries.
        """
        context = self._context
        local = [
            record.update()
            for record in context.table
            if context.is_local(record) and record.member.incarnation
        ]
        pages = _gossip_queue.split_pages(local)
        for page in pages[:-1]:
            context.answer(event, messages.Gossip(updates=page))
        return pages[-1]

    def _digests(self, *, is_answer):
        return messages.TableDigests(
            digests=self._context.table.place_digests(), is_answer=is_answer
        )
