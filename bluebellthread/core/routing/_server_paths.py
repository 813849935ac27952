"""Whether this VM has a path to the backend servers of each service.

A server that can't be reached may have ended. If no server of a service can
be reached, the VM's own paths may be cut, and another VM may have paths.
"""

import attrs

SAMPLE_COUNT = 3
"""Servers beside the first one that must be unreachable, too, before the path
to a service counts as lost; fewer if it has fewer."""

DOUBT_MS = 3000
"""How long it is remembered that a server was not reached: the longest
back-off between two tries of a failing server."""


@attrs.define
class _Path:
    """What is known of the path to one server."""

    answered_ms: int | None = None
    failed_ms: int | None = None

    def is_doubtful(self, now_ms):
        return (
            self.failed_ms is not None and now_ms < self.failed_ms + DOUBT_MS
        )


class ServerPaths:
    """Track which servers this VM reaches, and which services it does not.

    Examples
    --------
    >>> paths = ServerPaths()
    >>> paths.note_failed('a', 0)
    >>> paths.note_lost('s', 5), paths.find_lost_ms('s')
    (True, 5)
    >>> paths.note_connected('a', 's', 9), paths.find_lost_ms('s')
    (4, None)
    """

    def __init__(self):
        self._paths = {}
        self._lost_ms = {}

    @property
    def lost_services(self):
        """Services of which no server can be reached."""
        return tuple(self._lost_ms)

    def find_lost_ms(self, service):
        """Return since when a service can't be reached; None if it can."""
        return self._lost_ms.get(service)

    def note_failed(self, server, now_ms):
        """Note that no connection to a server could be opened."""
        self._paths.setdefault(server, _Path()).failed_ms = now_ms

    def note_answered(self, server, now_ms):
        """Note an answer of a server.

        It may have come over a connection that lives on while no other can
        be opened, so it does not end the loss of a path.
        """
        self._paths.setdefault(server, _Path()).answered_ms = now_ms

    def has_answered_since(self, server, start_ms):
        """Return whether a server has answered since some time."""
        path = self._paths.get(server)
        return (
            path is not None
            and path.answered_ms is not None
            and path.answered_ms >= start_ms
        )

    def note_connected(self, server, service, now_ms):
        """Note that a connection to a server was opened.

        Returns
        -------
        int or None
            For how many milliseconds the service was lost, if that ends now.
        """
        self._paths.pop(server, None)
        lost_ms = self._lost_ms.pop(service, None)
        return None if lost_ms is None else now_ms - lost_ms

    def note_lost(self, service, now_ms):
        """Note that no server of a service was reached; return if it's new."""
        if service in self._lost_ms:
            return False
        self._lost_ms[service] = now_ms
        return True

    def choose_sample(self, servers, first, rng):
        """Return the servers to check after one was not reached.

        Parameters
        ----------
        servers : iterable of ListedServer
            The servers of the service.
        first : str
            Name of the server that was not reached.
        rng : random.Random
            Chooses among them.
        """
        others = [server for server in servers if server.name != first]
        return rng.sample(others, min(SAMPLE_COUNT, len(others)))

    def list_unreached(self, servers, now_ms):
        """Return the names of the servers that were not reached of late."""
        return tuple(
            server.name
            for server in servers
            if server.name in self._paths
            and self._paths[server.name].is_doubtful(now_ms)
        )

    def keep_only(self, servers, services):
        """Forget the servers and services that are no longer listed."""
        self._paths = {
            name: path for name, path in self._paths.items() if name in servers
        }
        self._lost_ms = {
            name: lost_ms
            for name, lost_ms in self._lost_ms.items()
            if name in services
        }
