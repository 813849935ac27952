"""The backend servers that may get work, as the platform lists them."""

import attrs

LAPSE_RETURN_MS = 2000
"""Entries that lapsed while the platform was away return within this time
(the platform's pages)."""

LAPSE_OUTAGE_MS = 2500
"""Shortest silence of the platform after which entries may have lapsed: a
margin below three report intervals of the shortest deployment."""


@attrs.frozen(kw_only=True)
class ListedServer:
    """One process of a backend server.

    Parameters
    ----------
    name : str
        The platform's id.
    incarnation : int
        Start of the process in Unix milliseconds; 0 if not told.
    role : str
        ``'prefill'`` or ``'decode'``; empty for a plain service.
    leaving : bool
        Whether it has said that it is going.
    cold_ms : int
        How much longer it stays slow after its start.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    incarnation: int = 0
    slot_count: int = 1
    role: str = ''
    leaving: bool = False
    cold_ms: int = 0


class ServerDirectory:
    """Knows which backend servers may be used.

    An entry that is removed while the platform is steady names a server
    that is gone. One that is missing just after the platform was away may
    only have lapsed: it stays for `LAPSE_RETURN_MS`.

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
        self._by_service = {}
        self.version = 0

    def find(self, name):
        """Return a listed server, or None."""
        return self._servers.get(name)

    @property
    def names(self):
        """The names of all listed servers."""
        return self._servers.keys()

    @property
    def has_lapsed(self):
        """Whether the entry of any server may have lapsed."""
        return bool(self._lapsed_deadlines_ms)

    def usable(self, service):
        """Return the servers of a service that may get new work."""
        known = self._by_service.get(service)
        if known is None:
            known = tuple(
                server
                for server in self._servers.values()
                if server.service == service and not server.leaving
            )
            self._by_service[service] = known
        return known

    def note_return(self, silent_ms, now_ms):
        """Note that the platform answers again after some silence."""
        if silent_ms >= LAPSE_OUTAGE_MS:
            self._returned_ms = now_ms

    def put(self, server):
        """Take a new or changed entry in."""
        self._lapsed_deadlines_ms.pop(server.name, None)
        known = self._servers.get(server.name)
        if known is not None and _is_older(server, known):
            return
        if known != server:
            self._servers[server.name] = server
            self._changed()

    def remove(self, name, now_ms):
        """Take the removal of an entry in."""
        if name not in self._servers:
            return
        if self._may_have_lapsed(now_ms):
            deadline_ms = self._returned_ms + LAPSE_RETURN_MS
            self._lapsed_deadlines_ms.setdefault(name, deadline_ms)
            return
        self._drop(name)

    def replace(self, servers, now_ms):
        """Take a whole list in."""
        listed = {server.name for server in servers}
        for server in servers:
            self.put(server)
        for name in list(self._servers):
            if name not in listed:
                self.remove(name, now_ms)

    def expire(self, now_ms):
        """Drop lapsed entries that did not return; return their names."""
        due = [
            name
            for name, deadline_ms in self._lapsed_deadlines_ms.items()
            if now_ms >= deadline_ms
        ]
        for name in due:
            self._drop(name)
        return due

    def _may_have_lapsed(self, now_ms):
        returned_ms = self._returned_ms
        return (
            returned_ms is not None and now_ms < returned_ms + LAPSE_RETURN_MS
        )

    def _drop(self, name):
        self._lapsed_deadlines_ms.pop(name, None)
        if self._servers.pop(name, None) is not None:
            self._changed()

    def _changed(self):
        self._by_service = {}
        self.version += 1


def _is_older(server, known):
    """Return whether an entry was written before the known one.

    A process that has said that it is leaving does not come back, so an
    entry of it that says otherwise was delayed on its way.
    """
    if server.incarnation != known.incarnation:
        return known.incarnation > server.incarnation > 0
    return known.leaving and not server.leaving and known.incarnation > 0
