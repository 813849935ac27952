"""Simulated network of `Membership` state machines in virtual time."""

import collections
import random

from bluebellthread import core
from bluebellthread import wire

TICK_MS = 50


def make_member(name, *, data_centre='cluj-a', incarnation=1, state='alive'):
    return core.Member(
        name=name,
        data_centre=data_centre,
        region='transilvania',
        host=f'10.0.0.{name.removeprefix("vm")}',
        peer_port=7000,
        caller_port=8000,
        incarnation=incarnation,
        state=state,
    )


class Net:
    """Runs VMs in virtual time; a datagram takes 1 ms in each direction.

    ``frozen`` holds the unread datagrams of each paused VM, by name.
    ``partitioned`` is a set of pairs of names whose datagrams to each
    other are lost.
    """

    def __init__(self, members, *, seed=1, options=None):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.vms = {}
        self.members = {member.name: member for member in members}
        self.frozen = {}
        self.partitioned = set()
        self.inbox = []
        self.views = collections.defaultdict(list)
        self.sent_bytes = collections.Counter()
        self.sent_counts = collections.Counter()
        self.largest_bytes = 0
        self.options = options
        self.phases_ms = {}
        for member in members:
            self.start(member)

    def start(self, member):
        self.members[member.name] = member
        self.vms[member.name] = core.Membership(
            member=member,
            options=self.options,
            rng=random.Random(self.rng.random()),
        )
        self.phases_ms[member.name] = self.rng.randrange(TICK_MS)
        listed = core.PlatformListed(members=tuple(self.members.values()))
        self.handle(member.name, listed)

    def kill(self, name):
        del self.vms[name]

    def freeze(self, name):
        self.frozen[name] = []

    def thaw(self, name):
        for event in self.frozen.pop(name):
            self.handle(name, event)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            due, self.inbox = self.inbox, []
            for name, event in due:
                self._deliver(name, event)
            for name in list(self.vms):
                offset_ms = self.now_ms - self.phases_ms[name]
                if offset_ms % TICK_MS == 0 and name not in self.frozen:
                    self.handle(name, core.Tick())

    def run_until(self, condition, *, at_most_ms):
        start_ms = self.now_ms
        while not condition():
            self.run(1)
            if self.now_ms - start_ms > at_most_ms:
                raise AssertionError(
                    f'the condition did not hold within {at_most_ms} ms'
                )
        return self.now_ms - start_ms

    def handle(self, name, event):
        for command in self.vms[name].handle(event, self.now_ms):
            if isinstance(command, core.ViewChanged):
                self.views[name].append((self.now_ms, command.view))
            else:
                self._send(name, command)

    def state(self, observer, name):
        member = self.vms[observer].view.find(name)
        return member.state if member else None

    def _send(self, name, command):
        member = self.members[name]
        envelope = wire.Envelope(
            message=command.message,
            sender=name,
            sender_incarnation=member.incarnation,
            correlation=command.correlation,
        )
        data = wire.encode(envelope, now_ms=0)
        self.sent_bytes[name] += len(data)
        self.sent_counts[name] += 1
        self.largest_bytes = max(self.largest_bytes, len(data))
        target = next(
            (m.name for m in self.members.values() if m.host == command.host),
            None,
        )
        if target is None or frozenset((name, target)) in self.partitioned:
            return
        event = core.DatagramReceived(
            sender=name,
            sender_incarnation=member.incarnation,
            host=member.host,
            port=member.peer_port,
            correlation=command.correlation,
            message=wire.decode(data, now_ms=0).message,
        )
        self.inbox.append((target, event))

    def _deliver(self, name, event):
        if name in self.frozen:
            self.frozen[name].append(event)
        elif name in self.vms:
            self.handle(name, event)
