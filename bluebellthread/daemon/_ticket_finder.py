"""Finds the VMs that may hold the record of a ticket."""

from bluebellthread import core

LIKELY_HOLDERS_MAX = 2
"""How many of the issuer's preferred hand-over receivers to ask.

They are asked because this VM may have missed the message about a hand-over.
"""


class TicketFinder:
    """Lists the VMs to ask about a ticket.

    Asking several VMs is safe, because only the issuer ever runs the call.

    Parameters
    ----------
    vm, data_centre, incarnation : str, str, int
        Name and data centre of this VM, and incarnation of this process.
    fleet : Fleet
        Provides the membership view.
    task : TicketTask
        Knows which records this VM holds and which were handed over.
    """

    def __init__(self, *, vm, data_centre, incarnation, fleet, task):
        self._vm = vm
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._fleet = fleet
        self._task = task
        self.own = self._make_member(vm, '', 0)

    def find(self, ticket):
        """Return the VMs that may hold a ticket's record, likeliest first."""
        if self._is_own(ticket) or self._task.knows(ticket.ticket_id):
            return [self.own]
        found = list(self._task.find_holders(ticket.ticket_id))
        if ticket.issuer != self._vm:
            found.append(self._issuer_of(ticket))
        found += self._likely_holders(ticket)
        return list({member.name: member for member in found}.values())

    def issuer_seems_replaced(self, ticket):
        """Return whether the issuer's VM seems to run another process now.

        The result may be wrong: a membership view that is older than the
        ticket shows the process that ran there before the issuer.
        """
        known = self._fleet.view.find(ticket.issuer)
        incarnation = known.incarnation if known else 0
        if ticket.issuer == self._vm:
            incarnation = self._incarnation
        return incarnation not in (0, ticket.issuer_incarnation)

    def may_be_issuer(self, member, ticket):
        """Return whether a message to a VM might reach the ticket's issuer."""
        if member is self.own:
            return self._is_own(ticket)
        address = (member.host, member.peer_port)
        return member.name == ticket.issuer or address == (
            ticket.host,
            ticket.peer_port,
        )

    def _issuer_of(self, ticket):
        known = self._fleet.view.find(ticket.issuer)
        if known is not None and not self.issuer_seems_replaced(ticket):
            return known
        return self._make_member(ticket.issuer, ticket.host, ticket.peer_port)

    def _is_own(self, ticket):
        own = (self._vm, self._incarnation)
        return own == (ticket.issuer, ticket.issuer_incarnation)

    def _likely_holders(self, ticket):
        """Return the VMs that the issuer asks first to take its records."""
        peers = {
            member.name: member
            for member in self._fleet.view.in_data_centre(self._data_centre)
            if member.name not in (self._vm, ticket.issuer)
        }
        key = hand_over_key(ticket.issuer, ticket.issuer_incarnation)
        names = core.rank_by_rendezvous(key, peers)
        return [peers[name] for name in names[:LIKELY_HOLDERS_MAX]]

    def _make_member(self, name, host, peer_port):
        return core.Member(
            name=name,
            data_centre=self._data_centre,
            region='',
            host=host,
            peer_port=peer_port,
            caller_port=0,
        )


def hand_over_key(vm, incarnation):
    """Return the key by which a process ranks peers to take its records over.

    Examples
    --------
    >>> hand_over_key('vm1', 255)
    'vm1-ff'
    """
    return f'{vm}-{incarnation:x}'
