"""State that the parts of the membership share."""

from bluebellthread.core import _member_table as tables
from bluebellthread.core import _membership_events as events


class MembershipContext:
    """Hold the table, the options, the time and the pending commands.

    Parameters
    ----------
    member : Member
        This VM process.
    options : MembershipOptions
        Periods, timeouts and counts.
    rng : random.Random
        The only source of randomness.
    """

    def __init__(self, *, member, options, rng):
        self.options = options
        self.rng = rng
        self.me = tables.MemberRecord(member=member)
        self.table = tables.MemberTable()
        self.table.add(self.me)
        self.now_ms = None
        self.commands = []
        self._local_peers_version = None
        self._local_peers = ()

    def is_local(self, record):
        """Return whether a VM is in this VM's data centre."""
        return record.member.data_centre == self.me.member.data_centre

    def local_peers(self):
        """Return the other VMs of this data centre that are not dead."""
        if self._local_peers_version != self.table.version:
            self._local_peers_version = self.table.version
            self._local_peers = tuple(
                record
                for record in self.table
                if record is not self.me
                and record.member.state != tables.DEAD
                and self.is_local(record)
            )
        return self._local_peers

    def sample(self, items, count):
        """Return a random sample of up to ``count`` items."""
        return self.rng.sample(items, min(count, len(items)))

    def send(self, member, message, correlation=0):
        """Add a command that sends a datagram to a VM."""
        self.send_to(member.host, member.peer_port, message, correlation)

    def answer(self, event, message):
        """Add a command that answers a datagram.

        The answer goes to the address in the sender's record, or to the
        datagram's source address if the sender is unknown.
        """
        record = self.table.find(event.sender)
        if record is not None:
            self.send(record.member, message, event.correlation)
        else:
            self.send_to(event.host, event.port, message, event.correlation)

    def send_to(self, host, port, message, correlation):
        """Add a command that sends a datagram to an address."""
        self.commands.append(
            events.SendDatagram(
                host=host, port=port, correlation=correlation, message=message
            )
        )
