"""Directory of the backend servers that the platform lists."""

import attrs

LAPSE_RETURN_MS = 2000
"""Entries whose lease expired during an outage of the platform are listed
again within this time (platform documentation)."""

LAPSE_OUTAGE_MS = 2500
"""Shortest platform outage after which leases may have expired: three of the
intervals at which servers report, in the deployment where that interval is
shortest, minus a margin."""

DEPARTURE_MEMORY_MS = 60_000
"""How long it is remembered that a server has left. The platform comes back
from a copy that is seconds old, after having been away for a moment (platform
documentation), so the copy contains all earlier departures."""

RESTORE_HOLD_MS = 30_000
"""How long after a restore of the platform a server that has left stays
unused although it is listed. An entry that no process renews lapses after
three of the intervals at which servers report, which are seconds long."""


@attrs.frozen(kw_only=True)
class ListedServer:
    """One process of a backend server, as the platform lists it.

    Parameters
    ----------
    name : str
        Id of the server on the platform.
    incarnation : int
        Start of the process in Unix milliseconds; 0 if unknown.
    role : str
        ``'prefill'`` or ``'decode'``; empty for a plain service.
    is_draining : bool
        Whether the server drains before its shutdown.
    cold_ms : int
        Milliseconds for which the process, just started, will still be slow.
    software_version : str
        Version of the server's software; empty if the platform tells none.
        Versions have no order.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    incarnation: int = 0
    slot_count: int = 1
    role: str = ''
    is_draining: bool = False
    cold_ms: int = 0
    software_version: str = ''


@attrs.frozen(kw_only=True)
class _Departure:
    """The last entry of a server that left, and how long it is remembered."""

    server: ListedServer
    deadline_ms: int


class ServerDirectory:
    """Track which backend servers may get requests.

    A removal during normal operation of the platform means that the server
    has stopped. An entry that is missing just after an outage may only have
    an expired lease, so it is kept until `LAPSE_RETURN_MS` after the outage.

    A platform that is restored from a copy lists entries as they were before
    its latest changes. An entry that the copy lacks is kept like a lapsed
    one. A process that was seen to drain or leave stays unused although the
    copy lists it as ready; if it is still listed `RESTORE_HOLD_MS` later and
    never drained, its entry was renewed and it is used again.

    Examples
    --------
    >>> directory = ServerDirectory()
    >>> directory.put(ListedServer(name='a', service='s', host='h', port=1,
    ...     data_centre='d'))
    >>> [server.name for server in directory.usable('s')]
    ['a']
    >>> directory.remove('a', 0)
    >>> directory.usable('s')
    ()
    """

    def __init__(self):
        self._servers = {}
        self._lapsed_deadlines_ms = {}
        self._returned_ms = None
        self._departures = {}
        self._hold_deadline_ms = None
        self._barred = {}
        self._held = {}
        self._by_service = {}
        self.version = 0

    def find(self, name):
        """Return the server with a name, or None if it is not listed."""
        return self._servers.get(name)

    @property
    def names(self):
        """Names of all listed servers."""
        return self._servers.keys()

    @property
    def engine_versions(self):
        """Service and software version of each listed engine."""
        return {
            (server.service, server.software_version)
            for server in self._servers.values()
            if server.role
        }

    @property
    def has_deadlines(self):
        """Whether `expire` or `release` has something to do later."""
        return bool(
            self._lapsed_deadlines_ms or self._hold_deadline_ms is not None
        )

    @property
    def departure_count(self):
        """Number of servers that are remembered to have left."""
        return len(self._departures)

    def is_held(self, name):
        """Return whether a listed server is unused as it was seen to leave."""
        return name in self._held

    def usable(self, service):
        """Return the servers of a service that may get new requests."""
        known = self._by_service.get(service)
        if known is None:
            known = tuple(
                server
                for server in self._servers.values()
                if server.service == service and not server.is_draining
            )
            self._by_service[service] = known
        return known

    def note_outage_end(self, silent_ms, now_ms):
        """Record the end of a platform outage that lasted ``silent_ms``."""
        if silent_ms >= LAPSE_OUTAGE_MS:
            self._returned_ms = now_ms

    def note_restore(self, now_ms):
        """Record that the platform was restored from a copy.

        The complete list that is read next may be some seconds old.
        """
        self._returned_ms = now_ms
        self._hold_deadline_ms = now_ms + RESTORE_HOLD_MS
        self._lapsed_deadlines_ms = dict.fromkeys(
            self._lapsed_deadlines_ms, now_ms + LAPSE_RETURN_MS
        )
        for name, departure in self._departures.items():
            if now_ms < departure.deadline_ms:
                self._barred[name] = departure.server
        for name, server in self._servers.items():
            if server.is_draining:
                self._barred[name] = server

    def put(self, server):
        """Add or update an entry, unless it is older than the known one.

        After a restore of the platform, an entry of a process that was seen
        to drain or leave is held back.
        """
        name = server.name
        barred = self._barred.get(name)
        if barred is not None and server.incarnation <= barred.incarnation:
            if not server.is_draining:
                self._held[name] = server
                return
        else:
            self._barred.pop(name, None)
            self._departures.pop(name, None)
        self._held.pop(name, None)
        self._lapsed_deadlines_ms.pop(name, None)
        known = self._servers.get(name)
        if known is not None and _is_older(server, known):
            return
        if known != server:
            self._servers[name] = server
            self._invalidate_index()

    def remove(self, name, now_ms, *, has_left=True):
        """Remove an entry.

        ``has_left`` is false if the entry only became unusable, which does
        not tell that the server has left.

        Within `LAPSE_RETURN_MS` after a platform outage, keep it until that
        period ends, since only its lease may have expired.
        """
        self._held.pop(name, None)
        if self._hold_deadline_ms is None:
            self._barred.pop(name, None)
        server = self._servers.get(name)
        if server is None:
            return
        if self._may_have_lapsed(now_ms):
            deadline_ms = self._returned_ms + LAPSE_RETURN_MS
            self._lapsed_deadlines_ms.setdefault(name, deadline_ms)
            return
        self._drop(name)
        if has_left:
            self._note_departure(server, now_ms)

    def replace(self, servers, now_ms):
        """Apply a complete list of servers; remove entries that it lacks."""
        listed = {server.name for server in servers}
        for server in servers:
            self.put(server)
        for name in {**self._servers, **self._held}:
            if name not in listed:
                self.remove(name, now_ms)

    def expire(self, now_ms):
        """Remove the entries that were kept after an outage until now.

        Returns
        -------
        list of str
            Names of the removed entries.
        """
        due = [
            name
            for name, deadline_ms in self._lapsed_deadlines_ms.items()
            if now_ms >= deadline_ms
        ]
        for name in due:
            self._note_departure(self._servers[name], now_ms)
            self._drop(name)
        return due

    def release(self, now_ms):
        """Use the servers that were held back after a restore until now.

        Returns
        -------
        list of str
            Names of these servers.
        """
        if self._hold_deadline_ms is None or now_ms < self._hold_deadline_ms:
            return []
        self._hold_deadline_ms = None
        barred, self._barred = self._barred, {}
        held, self._held = self._held, {}
        released = []
        for name, server in held.items():
            if _has_drained(server, barred[name]):
                self._barred[name] = barred[name]
                self._held[name] = server
            else:
                self.put(server)
                released.append(name)
        return released

    def _may_have_lapsed(self, now_ms):
        returned_ms = self._returned_ms
        return (
            returned_ms is not None and now_ms < returned_ms + LAPSE_RETURN_MS
        )

    def _drop(self, name):
        self._lapsed_deadlines_ms.pop(name, None)
        if self._servers.pop(name, None) is not None:
            self._invalidate_index()

    def _note_departure(self, server, now_ms):
        self._departures = {
            name: departure
            for name, departure in self._departures.items()
            if now_ms < departure.deadline_ms and name != server.name
        }
        self._departures[server.name] = _Departure(
            server=server, deadline_ms=now_ms + DEPARTURE_MEMORY_MS
        )

    def _invalidate_index(self):
        self._by_service = {}
        self.version += 1


def _is_older(server, known):
    """Return whether an entry was written before the known one.

    A draining process never becomes ready again, so an entry that lists it
    as ready was delayed in transit.
    """
    if server.incarnation != known.incarnation:
        return known.incarnation > server.incarnation > 0
    return (
        known.is_draining and not server.is_draining and known.incarnation > 0
    )


def _has_drained(server, barred):
    """Return whether the process of a listed server was seen to drain."""
    return barred.is_draining and server.incarnation == barred.incarnation > 0
