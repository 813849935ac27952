"""Tracks the pings that await an answer and detects their timeouts."""

import attrs

DIRECT = 'direct'
INDIRECT = 'indirect'


@attrs.define(kw_only=True)
class Probe:
    """A ping that awaits an answer.

    ``name`` and ``incarnation`` identify the pinged process.
    """

    name: str
    incarnation: int
    stage: str
    deadline_ms: int


@attrs.frozen(kw_only=True)
class Relay:
    """A ping sent on behalf of another VM, which receives the answer.

    ``subject`` is the pinged VM. ``sender``, ``host``, ``port`` and
    ``correlation`` are those of the `IndirectPing` that asked for it.
    """

    subject: str
    sender: str
    host: str
    port: int
    correlation: int
    deadline_ms: int


class MemberProber:
    """Track the pings that await an answer.

    Examples
    --------
    >>> prober = MemberProber()
    >>> prober.start('vm2', 5, deadline_ms=100)
    1
    >>> [probe.name for probe in prober.pop_expired(now_ms=100)]
    ['vm2']
    """

    def __init__(self):
        self._correlation = 0
        self._probes = {}
        self._relays = {}

    @property
    def last_correlation(self):
        """Number of the latest ping."""
        return self._correlation

    def next_correlation(self):
        """Return the number for a new ping, without tracking the ping."""
        self._correlation += 1
        return self._correlation

    def start(self, name, incarnation, *, deadline_ms, stage=DIRECT):
        """Track a new ping to a VM and return its number."""
        correlation = self.next_correlation()
        self._probes[correlation] = Probe(
            name=name,
            incarnation=incarnation,
            stage=stage,
            deadline_ms=deadline_ms,
        )
        return correlation

    def is_probing(self, name):
        """Return whether a ping to a VM awaits its answer."""
        return any(probe.name == name for probe in self._probes.values())

    def stop(self, name):
        """Stop tracking the pings to a VM that has proved to be alive."""
        self._probes = {
            correlation: probe
            for correlation, probe in self._probes.items()
            if probe.name != name
        }

    def clear(self):
        """Stop tracking all pings and relays."""
        self._probes = {}
        self._relays = {}

    def extend(self, pause_ms):
        """Extend all deadlines by a pause in which no datagram was read."""
        for probe in self._probes.values():
            probe.deadline_ms += pause_ms

    def pop_expired(self, *, now_ms):
        """Remove and return the probes whose deadline has passed."""
        expired = [
            correlation
            for correlation, probe in self._probes.items()
            if probe.deadline_ms <= now_ms
        ]
        return [self._probes.pop(correlation) for correlation in expired]

    def add_relay(self, relay):
        """Track a ping on behalf of another VM and return its number."""
        correlation = self.next_correlation()
        self._relays[correlation] = relay
        return correlation

    def pop_relay(self, correlation):
        """Remove and return the relay for a ping's number, or None."""
        return self._relays.pop(correlation, None)

    def expire_relays(self, *, now_ms):
        """Remove the relays whose deadline has passed."""
        self._relays = {
            correlation: relay
            for correlation, relay in self._relays.items()
            if relay.deadline_ms > now_ms
        }
