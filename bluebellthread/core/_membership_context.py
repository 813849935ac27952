"""What the parts of the membership share while one event is handled."""

from bluebellthread.core import _member_table as tables
from bluebellthread.core import _membership_events as events


class MembershipContext:
    """The table, the options, the time and the commands so far.

    Parameters
    ----------
    member : Member
        This VM process.
    options : MembershipOptions
        Times and counts.
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
        self._near_version = None
        self._near = ()

    def is_near(self, record):
        """Return whether a VM is in this VM's data centre."""
        return record.member.data_centre == self.me.member.data_centre

    def near_peers(self):
        """Return the other VMs of this data centre that are not dead."""
        if self._near_version != self.table.version:
            self._near_version = self.table.version
            self._near = tuple(
                record
                for record in self.table
                if record is not self.me
                and record.member.state != tables.DEAD
                and self.is_near(record)
            )
        return self._near

    def sample(self, items, count):
        """Return up to so many random items."""
        return self.rng.sample(items, min(count, len(items)))

    def send(self, member, message, correlation=0):
        """Ask for a datagram to a VM."""
        self.send_to(member.host, member.peer_port, message, correlation)

    def answer(self, event, message):
        """Ask for a datagram to the sender of another.

        A known VM is answered where it says that it is reached, any other
        where the datagram came from.
        """
        record = self.table.find(event.sender)
        if record is not None:
            self.send(record.member, message, event.correlation)
        else:
            self.send_to(event.host, event.port, message, event.correlation)

    def send_to(self, host, port, message, correlation):
        """Ask for a datagram to an address."""
        self.commands.append(
            events.SendDatagram(
                host=host, port=port, correlation=correlation, message=message
            )
        )
