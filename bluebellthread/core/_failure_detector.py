"""Detects dead VMs by direct and indirect pings and suspicion timeouts."""

import attrs

from bluebellthread.core import _member_prober as probing
from bluebellthread.core import _member_table as tables
from bluebellthread.core import _membership_messages as messages


class FailureDetector:
    """Detect which VMs of this data centre have died.

    Parameters
    ----------
    context : MembershipContext
        State shared by the parts of the membership.
    prober : MemberProber
        Tracks the pings that await an answer.
    disseminator : UpdateDisseminator
        Sends the changes of state to other VMs.
    """

    def __init__(self, *, context, prober, disseminator):
        self._context = context
        self._prober = prober
        self._disseminator = disseminator
        self._next_probe_ms = 0
        self._next_recheck_ms = 0

    def on_tick(self):
        """Process expired deadlines; return whether a probe period begins."""
        now_ms = self._context.now_ms
        options = self._context.options
        for probe in self._prober.pop_expired(now_ms=now_ms):
            self._continue_probe(probe)
        self._prober.expire_relays(now_ms=now_ms)
        self._end_suspicions()
        if now_ms >= self._next_recheck_ms:
            self._next_recheck_ms = now_ms + options.recheck_period_ms
            self._recheck_dead()
        if now_ms < self._next_probe_ms:
            return False
        self.restart_period()
        if options.probes:
            self._probe_next()
        return True

    def restart_period(self):
        """Begin a probe period now; the calling code sends the pings."""
        options = self._context.options
        self._next_probe_ms = self._context.now_ms + options.probe_period_ms

    def ping(self, record, correlation, *, wants_table=False):
        """Send a ping with membership updates to a VM.

        Parameters
        ----------
        record : MemberRecord
            The VM to ping.
        correlation : int
            Number of the ping, which its answer repeats.
        wants_table : bool
            Whether the answer has to hold all VMs of the data centre.
        """
        message = messages.Ping(
            digest=self._context.table.digest(),
            updates=self._disseminator.updates_for(record),
            wants_table=wants_table,
        )
        self._context.send(record.member, message, correlation)

    def relay_ping(self, event):
        """Ping a VM on behalf of the sender of an `IndirectPing`."""
        record = self._context.table.find(event.message.subject)
        if record is None:
            return
        timeout_ms = self._context.options.indirect_timeout_ms
        relay = probing.Relay(
            subject=event.message.subject,
            sender=event.sender,
            host=event.host,
            port=event.port,
            correlation=event.correlation,
            deadline_ms=self._context.now_ms + timeout_ms,
        )
        self.ping(record, self._prober.add_relay(relay))

    def extend_deadlines(self, pause_ms):
        """Extend all deadlines by a pause in which no datagram was read."""
        self._prober.extend(pause_ms)
        for record in self._context.table:
            if record.suspicion_deadline_ms is not None:
                record.suspicion_deadline_ms += pause_ms

    def set_state(self, record, state):
        """Change the state of a VM and announce it to other VMs."""
        member = attrs.evolve(record.member, state=state)
        self._context.table.change(record, member=member)
        self._disseminator.announce(record)

    def _probe_next(self):
        """Ping the peer that was heard from least recently."""
        peers = [
            record
            for record in self._context.local_peers()
            if not self._prober.is_probing(record.member.name)
        ]
        if not peers:
            return
        rng = self._context.rng
        record = min(peers, key=lambda item: (item.heard_ms, rng.random()))
        silent_ms = self._context.now_ms - record.heard_ms
        if silent_ms >= self._context.options.probe_period_ms:
            timeout_ms = self._context.options.direct_timeout_ms
            self._probe(record, probing.DIRECT, timeout_ms)

    def _probe(self, record, stage, timeout_ms):
        correlation = self._prober.start(
            record.member.name,
            record.member.incarnation,
            deadline_ms=self._context.now_ms + timeout_ms,
            stage=stage,
        )
        self.ping(record, correlation)
        return correlation

    def _continue_probe(self, probe):
        record = self._context.table.find(probe.name)
        if record is None or record.member.incarnation != probe.incarnation:
            return
        if probe.stage == probing.INDIRECT:
            self._suspect(record)
            return
        options = self._context.options
        correlation = self._probe(
            record, probing.INDIRECT, options.indirect_timeout_ms
        )
        message = messages.IndirectPing(subject=probe.name)
        helpers = [r for r in self._context.local_peers() if r is not record]
        chosen = self._context.sample(helpers, options.indirect_count)
        for helper in chosen:
            self._context.send(helper.member, message, correlation)

    def _suspect(self, record):
        if record.suspicion_deadline_ms is not None:
            return
        record.suspicion_deadline_ms = (
            self._context.now_ms + self._context.options.suspicion_timeout_ms
        )
        if record.member.state == tables.ALIVE:
            self.set_state(record, tables.SUSPECT)
            suspicion = messages.Gossip(updates=(record.update(),))
            self._context.send(record.member, suspicion)

    def _end_suspicions(self):
        now_ms = self._context.now_ms
        for record in self._context.table:
            deadline_ms = record.suspicion_deadline_ms
            if deadline_ms is not None and deadline_ms <= now_ms:
                record.suspicion_deadline_ms = None
                record.died_ms = now_ms
                self.set_state(record, tables.DEAD)

    def _recheck_dead(self):
        """Ping one dead VM, and remove old records of dead VMs.

        The ping finds a VM that was only cut off from the network. A record
        is removed after the forget timeout if the platform does not list
        the VM.
        """
        context = self._context
        dead = [
            record
            for record in context.table
            if record.member.state == tables.DEAD and context.is_local(record)
        ]
        horizon_ms = context.now_ms - context.options.forget_timeout_ms
        for record in dead:
            if not record.listed_state and record.died_ms < horizon_ms:
                context.table.remove(record.member.name)
        for record in context.sample(dead, 1):
            self.ping(record, self._prober.next_correlation())
