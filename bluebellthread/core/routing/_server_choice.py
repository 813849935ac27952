"""Which backend server of a plain service gets a request.

The load pattern: few servers with few slots each, requests of some ten
milliseconds, VMs that see only their own requests and what answers tell of
a server's load.
"""

import attrs

FOREIGN_LOAD_AGE_MS = 500
"""A server's own word about its load counts for this long, a few dozen of
its requests."""

SPARE_FIRST_MS = 400
"""How long a server is spared after a first failure: a restart takes
longer, a lost answer says nothing more by then."""

SPARE_MAX_MS = 3000
"""Longest time that a failing server is spared between two tries."""

DISTANCE_COST = {'data_centre': 0.0, 'region': 0.15, 'remote': 1.5}
"""What distance counts in parts of a server's slots: a round trip between
regions takes about as long as one and a half requests."""


@attrs.define
class _Account:
    """What this VM knows of one server."""

    in_flight: int = 0
    told_running: int = 0
    told_waiting: int = 0
    told_ms: int | None = None
    failures: int = 0
    spared_until_ms: int = 0
    slow_ms: float = 0.0


class ServerChoice:
    """Accounts of the servers of plain services, and the choice by them.

    Parameters
    ----------
    data_centre, region : str
        Where this VM is.
    regions : dict of str to str
        The region of each data centre.
    rng : random.Random
        Breaks ties.

    Examples
    --------
    >>> import random
    >>> from bluebellthread.core.routing import _directory
    >>> servers = [_directory.ListedServer(name=n, service='s', host='h',
    ...     port=1, data_centre=d, slot_count=6) for n, d in
    ...     (('far', 'z'), ('near', 'a'))]
    >>> choice = ServerChoice(data_centre='a', region='r',
    ...     regions={'a': 'r', 'z': 'q'}, rng=random.Random(1))
    >>> choice.choose(servers, 0).name
    'near'
    """

    def __init__(self, *, data_centre, region, regions, rng):
        self._data_centre = data_centre
        self._region = region
        self._regions = regions
        self._rng = rng
        self._accounts = {}

    def choose(self, servers, now_ms, *, avoid=()):
        """Return the best server, or None if there is none at all.

        Parameters
        ----------
        servers : iterable of ListedServer
        now_ms : int
        avoid : collection of str
            Names that have failed this request.
        """
        candidates = [item for item in servers if item.name not in avoid]
        rested = [
            item
            for item in candidates
            if self._account(item).spared_until_ms <= now_ms
        ]
        pool = rested or candidates
        if not pool:
            return None
        return min(
            pool,
            key=lambda item: (self._score(item, now_ms), self._rng.random()),
        )

    def begin(self, server):
        """Count a request that goes to a server."""
        self._account(server).in_flight += 1

    def end(self, server):
        """Count a request that has left a server."""
        account = self._account(server)
        account.in_flight = max(0, account.in_flight - 1)

    def note_load(self, server, load, now_ms):
        """Take in what an answer says of its server's load.

        Parameters
        ----------
        load : tuple of int or None
            Running, waiting and slots.
        """
        if load is None:
            return
        account = self._account(server)
        account.told_running, account.told_waiting = load[0], load[1]
        account.told_ms = now_ms

    def note_success(self, server, took_ms):
        """Take in a good answer and how long it took."""
        account = self._account(server)
        account.failures = 0
        account.spared_until_ms = 0
        account.slow_ms += 0.2 * (took_ms - account.slow_ms)

    def note_failure(self, server, now_ms):
        """Spare a server that failed, longer each time in a row."""
        account = self._account(server)
        account.failures += 1
        spare_ms = min(
            SPARE_MAX_MS, SPARE_FIRST_MS * 2 ** min(account.failures - 1, 8)
        )
        account.spared_until_ms = now_ms + spare_ms

    def keep_only(self, names):
        """Forget the accounts of servers that are not among some."""
        for name in set(self._accounts) - set(names):
            del self._accounts[name]

    def _account(self, server):
        return self._accounts.setdefault(server.name, _Account())

    def _score(self, server, now_ms):
        account = self._account(server)
        busy = account.in_flight
        if (
            account.told_ms is not None
            and now_ms - account.told_ms < FOREIGN_LOAD_AGE_MS
        ):
            busy = max(busy, account.told_running + account.told_waiting)
        slots = max(1, server.slot_count)
        slowness = account.slow_ms / 100.0
        return (
            (busy + 1) / slots + slowness + self._distance(server.data_centre)
        )

    def _distance(self, data_centre):
        if data_centre == self._data_centre:
            return DISTANCE_COST['data_centre']
        if self._regions.get(data_centre) == self._region:
            return DISTANCE_COST['region']
        return DISTANCE_COST['remote']
