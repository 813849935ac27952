"""Directory of the backend servers that the platform lists."""

import attrs

from bluebellthread.core.routing import _departures

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
    position: _departures.Position
    deadline_ms: int


class ServerDirectory:
    """Track which backend servers may get requests.

    A removal during normal operation of the platform means that the server
    has stopped. An entry that is missing just after an outage may only have
    an expired lease, so it is kept until `LAPSE_RETURN_MS` after the outage.
    That is counted from the platform's return, not from this VM's first read
    after it, which may be late.

    A platform that is restored from a copy lists entries as they were before
    its latest changes. An entry that the copy lacks is kept like a lapsed
    one. A process that was seen to drain or leave stays unused although the
    copy lists it as ready; if it is still listed `RESTORE_HOLD_MS` later and
    never drained, its entry was renewed and it is used again.

    A departure that another VM tells holds until the platform tells this VM
    something later of the server.

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
        self._outage_end_ms = None
        self._restored_ms = None
        self._departures = {}
        self._hold_deadline_ms = None
        self._barred = {}
        self._held = {}
        self._positions = {}
        self._position = _departures.Position()
        self._heard = _departures.HeardDepartures()
        self._news = {}
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
                if server.service == service
                and not server.is_draining
                and self._find_heard(server) is None
            )
            self._by_service[service] = known
        return known

    # Departures

    def hear_departure(self, departure, now_ms):
        """Note a departure that another VM told; return whether it is news."""
        self._heard.expire(now_ms, self._servers)
        known = self.find_departure(departure.name, now_ms)
        if known is not None and known.incarnation >= departure.incarnation:
            return False
        server = self._servers.get(departure.name)
        if server is not None and not self._is_later(departure, server):
            return False
        if not self._heard.add(departure):
            return False
        self._invalidate_index()
        return True

    def note_leaving(self, server, now_ms):
        """Note that a server has said in an answer that it leaves.

        Parameters
        ----------
        server : ListedServer
            The entry by which it was called.

        Returns
        -------
        Departure or None
            What other VMs have to know; None if it is not news.
        """
        position = self._positions.get(server.name, self._position)
        departure = _make_departure(
            attrs.evolve(server, is_draining=True),
            max(position, self._position),
            now_ms,
        )
        return departure if self.hear_departure(departure, now_ms) else None

    def find_departure(self, name, now_ms):
        """Return the `Departure` of a server, or None if it may be used."""
        server = self._servers.get(name)
        if server is not None:
            if server.is_draining:
                return _make_departure(server, self._positions[name], now_ms)
            return self._find_heard(server)
        departure = self._departures.get(name)
        if departure is not None and now_ms < departure.deadline_ms:
            return attrs.evolve(
                _make_departure(departure.server, departure.position, now_ms),
                keep_deadline_ms=departure.deadline_ms,
            )
        heard = self._heard.find(name)
        if heard is not None and now_ms < heard.keep_deadline_ms:
            return heard
        return None

    def list_departures(self, now_ms):
        """Return all departures that this VM knows of."""
        names = {departure.name for departure in self._heard.list_all()}
        names.update(self._departures, self._servers)
        return self._find_departures(names, now_ms)

    def take_news(self, now_ms):
        """Return the departures that the platform told since the last call."""
        names, self._news = self._news, {}
        return self._find_departures(names, now_ms)

    def note_position(self, position):
        """Record up to where the platform's history has been read."""
        self._position = position

    def _find_departures(self, names, now_ms):
        found = (self.find_departure(name, now_ms) for name in names)
        return [departure for departure in found if departure is not None]

    def _find_heard(self, server):
        """Return the departure that others told of a listed server."""
        heard = self._heard.find(server.name)
        if heard is not None and self._is_later(heard, server):
            return heard
        return None

    def _is_later(self, departure, server):
        return _departures.has_left(
            departure,
            server,
            self._positions[server.name],
            is_restored=self._hold_deadline_ms is not None,
        )

    # Changes

    def note_outage(self, outage):
        """Record the last `Outage` of the platform; it may be corrected."""
        if outage.length_ms >= LAPSE_OUTAGE_MS:
            self._outage_end_ms = outage.end_clock_ms

    def note_restore(self, now_ms):
        """Record that the platform was restored from a copy.

        The complete list that is read next may be some seconds old.
        """
        self._restored_ms = now_ms
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

    def put(self, server, *, position=None):
        """Add or update an entry, unless it is older than the known one.

        After a restore of the platform, an entry of a process that was seen
        to drain or leave is held back.

        Parameters
        ----------
        position : Position or None
            Where in the platform's history the entry is listed; None if that
            is unknown.
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
        self._positions[name] = position or self._position
        was_heard = self._heard.find(name) is not None
        if server.is_draining and (
            known is None or _is_ready_before(known, server)
        ):
            self._news[name] = None
        if known != server or was_heard:
            self._servers[name] = server
            self._invalidate_index()

    def remove(self, name, now_ms, *, has_left=True, position=None):
        """Remove an entry.

        ``has_left`` is false if the entry only became unusable, which does
        not tell that the server has left. ``position`` is where in the
        platform's history the entry is missing; None if that is unknown.

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
            deadline_ms = self._find_returned_ms() + LAPSE_RETURN_MS
            self._lapsed_deadlines_ms.setdefault(name, deadline_ms)
            return
        self._drop(name)
        if has_left:
            self._note_departure(server, now_ms, position or self._position)

    def replace(self, servers, now_ms, *, position=None):
        """Apply a complete list of servers; remove entries that it lacks."""
        listed = {server.name for server in servers}
        for server in servers:
            self.put(server, position=position)
        for name in {**self._servers, **self._held}:
            if name not in listed:
                self.remove(name, now_ms, position=position)

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
            self._note_departure(self._servers[name], now_ms, self._position)
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
        self._invalidate_index()
        return released

    def _may_have_lapsed(self, now_ms):
        returned_ms = self._find_returned_ms()
        return (
            returned_ms is not None and now_ms < returned_ms + LAPSE_RETURN_MS
        )

    def _find_returned_ms(self):
        """Return when the platform came back last; None if never."""
        times_ms = (self._outage_end_ms, self._restored_ms)
        return max(
            (time_ms for time_ms in times_ms if time_ms is not None),
            default=None,
        )

    def _drop(self, name):
        self._lapsed_deadlines_ms.pop(name, None)
        self._positions.pop(name, None)
        if self._servers.pop(name, None) is not None:
            self._invalidate_index()

    def _note_departure(self, server, now_ms, position):
        self._departures = {
            name: departure
            for name, departure in self._departures.items()
            if now_ms < departure.deadline_ms and name != server.name
        }
        self._departures[server.name] = _Departure(
            server=server,
            position=position,
            deadline_ms=now_ms + DEPARTURE_MEMORY_MS,
        )
        self._news[server.name] = None

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


def _is_ready_before(known, server):
    """Return whether an entry is the first that lists a process to drain."""
    return not known.is_draining or known.incarnation != server.incarnation


def _make_departure(server, position, now_ms):
    return _departures.Departure(
        name=server.name,
        incarnation=server.incarnation,
        has_drained=server.is_draining,
        era=position.era,
        revision=position.revision,
        keep_deadline_ms=now_ms + DEPARTURE_MEMORY_MS,
    )


def _has_drained(server, barred):
    """Return whether the process of a listed server was seen to drain."""
    return barred.is_draining and server.incarnation == barred.incarnation > 0
