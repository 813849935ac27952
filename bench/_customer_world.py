"""VMs that share customers' limits, replayed without a network."""

import random

from bluebellthread.core import routing
from bluebellthread import wire

STEP_MS = 20
WINDOW_MS = 8000
LIMIT = routing.CustomerLimit(
    rate_per_s=243_410, burst=243_410, counts_tokens=True, plain_cost=200
)
STREAM_COST = 4200


class World:
    """Runs VMs and owners in steps; messages take 20 to 60 ms.

    Parameters
    ----------
    vm_count : int
        Number of VMs.
    limit : CustomerLimit
        Limit of every customer.
    loss : float
        Part of the reports, and of the replies, that get lost, and of the
        reports that arrive twice.
    measure : bool
        Whether the messages are encoded, to count their bytes.
    """

    def __init__(
        self, vm_count, limit=LIMIT, *, loss=0.0, seed=11, measure=False
    ):
        self.rng = random.Random(seed)
        self.limit = limit
        self.loss = loss
        self.measure = measure
        self.now_ms = 0
        self.vms = [
            routing.CustomerCredits(rng=self.rng) for _ in range(vm_count)
        ]
        self.starts_ms = [0] * vm_count
        self.jumps_ms = [0] * vm_count
        self.owners = {0: routing.CustomerAccounts()}
        self.owner_of = lambda vm, name: 0
        self.share_of = {}
        self.cut = set()
        self.incarnations = [1] * vm_count
        self.waiting = {}
        self.flights = []
        self.admitted = []
        self.refused = []
        self.asked_units = 0
        self.sizes = {}

    def run(self, length_ms, loads):
        """Replay requests.

        Parameters
        ----------
        loads : dict of str to float
            Units asked for per second, by customer; a third of the requests
            are streams.
        """
        end_ms = self.now_ms + length_ms
        mean = STREAM_COST / 3 + self.limit.plain_cost * 2 / 3
        if not self.limit.counts_tokens:
            mean = 1
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._deliver()
            for name, units_per_s in loads.items():
                expected = units_per_s / mean * STEP_MS / 1000
                count = int(expected) + (
                    self.rng.random() < expected - int(expected)
                )
                for _ in range(count):
                    self._request(name)
            if self.now_ms % 100 == 0:
                for vm in range(len(self.vms)):
                    self._report_due(vm)

    def replace_vm(self, vm):
        """Restart the process of a VM."""
        self.vms[vm] = routing.CustomerCredits(rng=self.rng)
        self.incarnations[vm] += 1
        self.waiting = {
            key: item for key, item in self.waiting.items() if key[0] != vm
        }

    def find_most(self, since_ms=0, until_ms=None):
        """Return the most units admitted in a window."""
        items = [item for item in self.admitted if item[0] >= since_ms]
        if until_ms is not None:
            items = [item for item in items if item[0] < until_ms]
        most = total = first = 0
        for time_ms, cost in items:
            total += cost
            while items[first][0] <= time_ms - WINDOW_MS:
                total -= items[first][1]
                first += 1
            most = max(most, total)
        return most

    def find_rate(self, since_ms):
        """Return the units admitted per second since a time."""
        units = sum(cost for at_ms, cost in self.admitted if at_ms >= since_ms)
        return 1000 * units / (self.now_ms - since_ms)

    def _clock(self, vm):
        return self.now_ms + self.jumps_ms[vm]

    def _request(self, name):
        vm = self.rng.randrange(len(self.vms))
        if self.starts_ms[vm] > self.now_ms:
            vm = 0
        cost = self.limit.plain_cost if self.limit.counts_tokens else 1
        if self.limit.counts_tokens and self.rng.random() < 1 / 3:
            cost = STREAM_COST
        self.asked_units += cost
        verdict = self._admit(vm, name, cost, is_new=True)
        if verdict == routing.ASK:
            batch = self.waiting.setdefault((vm, name), [])
            batch.append(cost)
            if len(batch) == 1:
                self._send(vm, [name], self.owner_of(vm, name))

    def _admit(self, vm, name, cost, *, is_new):
        verdict = self.vms[vm].admit(
            name,
            cost,
            self.limit,
            self.owner_of(vm, name),
            self._clock(vm),
            vm_count=len(self.vms),
            is_new=is_new,
        )
        if verdict is None:
            self.admitted.append((self.now_ms, cost))
        elif verdict != routing.ASK:
            self.refused.append((self.now_ms, name, vm))
        return verdict

    def _report_due(self, vm):
        by_owner = {}
        for name, owner in self.vms[vm].list_due(self._clock(vm)):
            if (vm, name) not in self.waiting:
                by_owner.setdefault(owner, []).append(name)
        for owner, names in by_owner.items():
            self._send(vm, names, owner)

    def _send(self, vm, names, owner):
        uses = tuple(
            self.vms[vm].make_use(
                name, sum(self.waiting.get((vm, name), ())), self._clock(vm)
            )
            for name in names
        )
        due_ms = self.now_ms + self.rng.randrange(10, 30)
        message = routing.CustomerUsage(uses=uses)
        sender = (vm, self.incarnations[vm])
        self._count(vm, owner, message)
        is_lost = vm in self.cut or owner not in self.owners
        if is_lost or self.rng.random() < self.loss:
            self._fly(self.now_ms + 150, sender, message, None, owner)
        else:
            self._fly(due_ms, sender, message, owner, owner)
            if self.rng.random() < self.loss:
                late_ms = due_ms + self.rng.randrange(100)
                self._fly(late_ms, sender, message, owner, None)

    def _fly(self, due_ms, sender, message, target, reply_from):
        self.flights.append((due_ms, sender, message, target, reply_from))

    def _deliver(self):
        due = [item for item in self.flights if item[0] <= self.now_ms]
        self.flights = [i for i in self.flights if i[0] > self.now_ms]
        due.sort(key=lambda item: item[0])
        for _, sender, message, target, owner in due:
            reply = None
            if target is not None and target in self.owners:
                reply = self._note(target, sender, message)
                if owner is None:
                    continue
                self._count(sender[0], owner, reply)
                if self.rng.random() < self.loss:
                    reply = None
            if self.incarnations[sender[0]] == sender[1]:
                self._take_reply(sender[0], message, reply, owner)

    def _note(self, owner, sender, message):
        return routing.CustomerUsageNoted(
            grants=tuple(
                self.owners[owner].note(
                    *sender,
                    use,
                    self.limit,
                    self.now_ms,
                    vm_count=len(self.vms),
                    share=self.share_of.get(owner, 1.0),
                )
                for use in message.uses
            )
        )

    def _take_reply(self, vm, message, reply, owner):
        credits = self.vms[vm]
        now_ms = self._clock(vm)
        for index, use in enumerate(message.uses):
            if reply is None:
                credits.note_unreached(
                    use.customer, owner, now_ms, vm_count=len(self.vms)
                )
            else:
                credits.note_grant(reply.grants[index], use, owner, now_ms)
            batch = self.waiting.get((vm, use.customer), [])
            left, again = use.needed, []
            while left > 0 and batch:
                cost = batch.pop(0)
                left -= cost
                verdict = self._admit(vm, use.customer, cost, is_new=False)
                if verdict == routing.ASK:
                    again.append(cost)
            batch += again
            if use.needed and batch:
                target = self.owner_of(vm, use.customer)
                self._send(vm, [use.customer], target)
            elif use.needed:
                self.waiting.pop((vm, use.customer), None)

    def _count(self, vm, owner, message):
        if not self.measure:
            return
        envelope = wire.Envelope(
            message=message,
            sender=f'bluebell-{vm:03}',
            sender_incarnation=2**61,
            correlation=1000,
        )
        size = len(wire.encode_frame(envelope, now_ms=0))
        for end in (('vm', vm), ('owner', owner)):
            self.sizes[end] = self.sizes.get(end, 0) + size
