"""Choice of the VM that serves a request for one without a path."""

import collections

import attrs

LOST_MS = 2000
"""How long a VM that has no path to a service either is passed over for it,
and VMs of other data centres go first: mostly all VMs of a data centre lose
their paths together."""

BUSY_MS = 300
"""How long a VM that can't take more requests now is passed over."""

UNREACHED_MS = 1000
"""The same for a VM that was not reached. By then the membership mostly
knows whether it has ended."""

DISTANCES = ('data_centre', 'region', 'remote')


@attrs.frozen
class _Key:
    vm: str
    service: str


class HelperChoice:
    """Choose VMs that serve for this one, the nearest and least busy first.

    Parameters
    ----------
    vm, data_centre, region : str
        Name and location of this VM.
    relay_port : int
        This VM's port for requests that other VMs hand on, which is tried at
        VMs whose port is unknown; 0 to ask none of them.
    rng : random.Random
        Breaks ties, so that VMs in need don't all ask the same one.
    """

    def __init__(self, *, vm, data_centre, region, relay_port=0, rng):
        self._vm = vm
        self._relay_port = relay_port
        self._data_centre = data_centre
        self._region = region
        self._rng = rng
        self._passed_over = {}
        self._doubtful = {}
        self._in_flight = collections.Counter()

    def choose(self, members, service, now_ms, *, avoid=()):
        """Return a VM to ask next, or None.

        Parameters
        ----------
        members : iterable of Member
            VMs that are alive.
        avoid : collection of str
            VMs that the request was sent to.
        """
        candidates = [
            member
            for member in members
            if member.name != self._vm
            and (member.relay_port or self._relay_port)
            and member.name not in avoid
            and self._is_open(member.name, service, now_ms)
        ]
        chosen = min(
            candidates,
            key=lambda member: (
                self._is_doubtful(member, service, now_ms),
                not member.relay_port,
                self._measure_distance(member),
                self._in_flight[member.name],
                self._rng.random(),
            ),
            default=None,
        )
        if chosen is None or chosen.relay_port:
            return chosen
        # VMs of builds without such a port leave it out of what they tell of
        # others, and nothing corrects that as long as the process runs.
        return attrs.evolve(chosen, relay_port=self._relay_port)

    def _is_open(self, vm, service, now_ms):
        return all(
            self._passed_over.get(_Key(vm, name), 0) <= now_ms
            for name in (service, '')
        )

    def _is_doubtful(self, member, service, now_ms):
        key = (member.data_centre, service)
        return self._doubtful.get(key, 0) > now_ms

    def _measure_distance(self, member):
        if member.data_centre == self._data_centre:
            return DISTANCES.index('data_centre')
        if member.region == self._region:
            return DISTANCES.index('region')
        return DISTANCES.index('remote')

    def begin(self, vm):
        """Count one more request of this VM at another."""
        self._in_flight[vm] += 1

    def end(self, vm):
        """Count one request less."""
        self._in_flight[vm] -= 1
        if not self._in_flight[vm]:
            del self._in_flight[vm]

    def note_lost(self, member, service, now_ms):
        """Note that a VM has no path to a service either."""
        until_ms = now_ms + LOST_MS
        self._pass_over(_Key(member.name, service), until_ms, now_ms)
        self._doubtful[member.data_centre, service] = until_ms

    def note_busy(self, member, service, now_ms):
        """Note that a VM can't take a request for a service now."""
        self._pass_over(_Key(member.name, service), now_ms + BUSY_MS, now_ms)

    def note_unreached(self, vm, now_ms):
        """Note that a VM was not reached."""
        self._pass_over(_Key(vm, ''), now_ms + UNREACHED_MS, now_ms)

    def _pass_over(self, key, deadline_ms, now_ms):
        self._passed_over = {
            known: until_ms
            for known, until_ms in self._passed_over.items()
            if until_ms > now_ms
        }
        self._passed_over[key] = deadline_ms
