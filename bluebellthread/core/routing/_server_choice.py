"""Choose the backend server of a plain service for each request.

The load pattern: few servers with few slots each, and requests that take
some ten milliseconds. A VM sees only its own requests and the load reports
that servers add to their answers.
"""

import attrs

LOAD_REPORT_MAX_AGE_MS = 500
"""Age up to which a load report of a server is used: the time of a few dozen
of its requests."""

BACK_OFF_FIRST_MS = 400
"""Back-off after the first failure of a server. A restart takes longer; a
server that lost a single answer can be used again by then."""

BACK_OFF_MAX_MS = 3000
"""Longest back-off between two tries of a failing server."""

DISTANCE_COST = {'data_centre': 0.0, 'region': 0.15, 'remote': 1.5}
"""Cost added to the load of a server, by where the server is: in this VM's
data centre, in another one of the same region, or in another region. The load
is the requests at the server as a fraction of its slots. A round trip between
regions takes about as long as one and a half requests."""


@attrs.define
class _Account:
    """Load and failures of one server, as known to this VM."""

    in_flight: int = 0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_ms: int | None = None
    failures: int = 0
    back_off_until_ms: int = 0
    smoothed_took_ms: float = 0.0


class ServerChoice:
    """Track the load of the servers of plain services and choose among them.

    Parameters
    ----------
    data_centre, region : str
        Location of this VM.
    regions : dict of str to str
        Region of each data centre.
    rng : random.Random
        Source of random numbers to break ties.

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
        """Return the best server by load and distance; None without servers.

        Parameters
        ----------
        servers : iterable of ListedServer
            Servers of the service that may get requests.
        now_ms : int
            Present time in milliseconds.
        avoid : collection of str
            Names of servers that failed this request.
        """
        candidates = [item for item in servers if item.name not in avoid]
        available = [
            item
            for item in candidates
            if self._account(item).back_off_until_ms <= now_ms
        ]
        pool = available or candidates
        if not pool:
            return None
        return min(
            pool,
            key=lambda item: (self._score(item, now_ms), self._rng.random()),
        )

    def begin(self, server):
        """Count one more request in flight at a server."""
        self._account(server).in_flight += 1

    def end(self, server):
        """Count one request less in flight at a server."""
        account = self._account(server)
        account.in_flight = max(0, account.in_flight - 1)

    def note_load(self, server, load, now_ms):
        """Store the load report that came with an answer.

        Parameters
        ----------
        load : LoadReport or None
            None if the answer carried no valid report.
        """
        if load is None:
            return
        account = self._account(server)
        account.reported_running = load.running
        account.reported_waiting = load.waiting
        account.reported_ms = now_ms

    def note_success(self, server, took_ms):
        """End the back-off; add an answer's duration to the moving average."""
        account = self._account(server)
        account.failures = 0
        account.back_off_until_ms = 0
        account.smoothed_took_ms += 0.2 * (took_ms - account.smoothed_took_ms)

    def note_failure(self, server, now_ms):
        """Start a back-off, twice as long after each consecutive failure."""
        account = self._account(server)
        account.failures += 1
        back_off_ms = min(
            BACK_OFF_MAX_MS,
            BACK_OFF_FIRST_MS * 2 ** min(account.failures - 1, 8),
        )
        account.back_off_until_ms = now_ms + back_off_ms

    def keep_only(self, names):
        """Discard the accounts of all servers except ``names``."""
        for name in set(self._accounts) - set(names):
            del self._accounts[name]

    def _account(self, server):
        return self._accounts.setdefault(server.name, _Account())

    def _score(self, server, now_ms):
        account = self._account(server)
        busy = account.in_flight
        if (
            account.reported_ms is not None
            and now_ms - account.reported_ms < LOAD_REPORT_MAX_AGE_MS
        ):
            busy = max(
                busy, account.reported_running + account.reported_waiting
            )
        slots = max(1, server.slot_count)
        slowness = account.smoothed_took_ms / 100.0
        return (
            (busy + 1) / slots
            + slowness
            + self._distance_cost(server.data_centre)
        )

    def _distance_cost(self, data_centre):
        if data_centre == self._data_centre:
            return DISTANCE_COST['data_centre']
        if self._regions.get(data_centre) == self._region:
            return DISTANCE_COST['region']
        return DISTANCE_COST['remote']
