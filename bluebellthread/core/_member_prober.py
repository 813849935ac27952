"""Which peer to ping next, and which pings have gone unanswered."""

import attrs

DIRECT = 'direct'
INDIRECT = 'indirect'


@attrs.define(kw_only=True)
class Probe:
    """A ping on its way."""

    name: str
    incarnation: int
    stage: str
    deadline_ms: int


@attrs.frozen(kw_only=True)
class Relay:
    """A ping sent for another VM, which wants to know of the answer."""

    subject: str
    sender: str
    host: str
    port: int
    correlation: int
    deadline_ms: int


class MemberProber:
    """Keeps the pings that wait for an answer.

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
        """The number of the newest ping."""
        return self._correlation

    def next_correlation(self):
        """Return the number of a new ping whose answer nobody awaits."""
        self._correlation += 1
        return self._correlation

    def start(self, name, incarnation, *, deadline_ms, stage=DIRECT):
        """Await an answer and return the number of the ping."""
        correlation = self.next_correlation()
        self._probes[correlation] = Probe(
            name=name,
            incarnation=incarnation,
            stage=stage,
            deadline_ms=deadline_ms,
        )
        return correlation

    def is_probing(self, name):
        """Return whether a ping to a VM waits for its answer."""
        return any(probe.name == name for probe in self._probes.values())

    def stop(self, name):
        """Forget the pings to a VM that has been heard from."""
        self._probes = {
            correlation: probe
            for correlation, probe in self._probes.items()
            if probe.name != name
        }

    def clear(self):
        """Forget all pings."""
        self._probes = {}
        self._relays = {}

    def extend(self, late_ms):
        """Move all deadlines by a time in which nothing was read."""
        for probe in self._probes.values():
            probe.deadline_ms += late_ms

    def pop_expired(self, *, now_ms):
        """Remove and return the probes whose deadline has passed."""
        expired = [
            correlation
            for correlation, probe in self._probes.items()
            if probe.deadline_ms <= now_ms
        ]
        return [self._probes.pop(correlation) for correlation in expired]

    def add_relay(self, relay):
        """Await an answer for another VM; return the ping's number."""
        correlation = self.next_correlation()
        self._relays[correlation] = relay
        return correlation

    def pop_relay(self, correlation):
        """Remove and return the relay of a ping, or None."""
        return self._relays.pop(correlation, None)

    def expire_relays(self, *, now_ms):
        """Forget relays that nobody waits for any more."""
        self._relays = {
            correlation: relay
            for correlation, relay in self._relays.items()
            if relay.deadline_ms > now_ms
        }
