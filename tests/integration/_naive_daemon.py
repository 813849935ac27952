"""A daemon with naive tickets, which runs some calls twice.

A hash of the ticket ranks the VMs. A gateway sends a call to the first VM and,
if no answer arrives, retries at the next one. Each VM runs a call that it has
not seen itself, so a retry at another VM runs the call again.
"""

import sys

from bluebellthread import core
from bluebellthread.daemon import __main__
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _ticket_finder
from bluebellthread.daemon import _ticket_parts
from bluebellthread.daemon import _ticket_path
from tests.unit import _ticket_world

RETRY_TIMEOUT_MS = 250


class NaiveFinder(_ticket_finder.TicketFinder):
    def find(self, ticket):
        members = {m.name: m for m in self._fleet.view.members}
        members[self._vm] = self.own
        names = core.rank_by_rendezvous(ticket.ticket_id, members)
        return [members[name] for name in names]

    def issuer_seems_replaced(self, ticket):
        return False


class NaivePath(_ticket_path.TicketPath):
    async def _call_member(self, member, message, deadline_ms):
        retry_ms = _clock.read_clock_ms() + RETRY_TIMEOUT_MS
        return await super()._call_member(
            member, message, min(deadline_ms, retry_ms)
        )


def make_keeper(settings, incarnation, signer):
    return _ticket_world.NaiveKeeper(
        vm=settings.vm,
        incarnation=incarnation,
        host=settings.host,
        peer_port=settings.peer_port,
        signer=signer,
    )


if __name__ == '__main__':
    _ticket_finder.TicketFinder = NaiveFinder
    _ticket_path.TicketPath = NaivePath
    _ticket_parts.make_keeper = make_keeper
    sys.exit(__main__.main())
