"""Choose backend servers by the estimated time until a request is answered.

The load pattern: some hundred VMs that all send to the same few servers, and
that learn the load of a server only from its answers. VMs that choose the
best server by the same reports overload it, so the choice is random, with
weights that fall with the expected time.
"""

import math

import attrs

from bluebellthread.core.routing import _server_choice
from bluebellthread.core.routing import _server_load

ROUND_TRIP_MS = {'data_centre': 0.0, 'region': 3.0, 'remote': 40.0}
"""Round trips by where a server is (platform documentation: 1.4 ms one way
between data centres, 20 ms between regions)."""

WORK_FIRST_MS = 45.0
"""Assumed time of a request before the first answer."""

WORK_STEP = 0.05
"""Weight of one answer in the average time of a request."""

SPREAD_MIN_MS = 6.0
SPREAD_PART = 0.15
"""A server whose expected time is longer by this much, a part of the shortest
one at least, is chosen 2.7 times less often."""

FAILURE_COST_MS = 250.0
"""Cost of a recent failure: a request that fails misses its target."""

OVERDUE_FACTOR = 2
"""A server is slow if a request has been there for this many times as long
as expected: with 8 VMs, several more are sent before the first answer."""

SURE_AGE_MS = 250
"""Age up to which a report can show that a server is full: the queue of a
server empties in about that time."""

WORK_LEAST_PART = 0.5
"""Part of the expected time of a request that it takes at the least, for
refusing only what can't be served."""

WAIT_MIN_MS = 5
WAIT_MAX_MS = 100
"""Bounds of one wait for a place; after it the choice is made anew."""

PRIORITY_COUNT = 10


@attrs.frozen
class PlainVerdict:
    """What to do with a request for which no server has a place.

    Parameters
    ----------
    wait_ms : int
        Milliseconds until a server probably has a place.
    is_refused : bool
        Whether no server can answer in the caller's time.
    """

    wait_ms: int
    is_refused: bool


@_server_choice.server_choices.register('estimated-time')
class EstimatedChoice:
    """Track the estimated load of servers and choose at random by it.

    Parameters
    ----------
    data_centre, region : str
        Location of this VM.
    regions : dict of str to str
        Region of each data centre.
    rng : random.Random
        Source of the random choice.

    Examples
    --------
    >>> import random
    >>> from bluebellthread.core.routing import _directory
    >>> server = _directory.ListedServer(name='a', service='s', host='h',
    ...     port=1, data_centre='d', slot_count=6)
    >>> choice = EstimatedChoice(data_centre='d', region='r',
    ...     regions={'d': 'r'}, rng=random.Random(1))
    >>> choice.choose([server], 0).name
    'a'
    """

    def __init__(self, *, data_centre, region, regions, rng):
        self._places = _server_choice.Places(
            data_centre=data_centre, region=region, regions=regions
        )
        self._rng = rng
        self._loads = {}
        self._work_ms = {}

    def choose(self, servers, now_ms, *, avoid=()):
        """Return a server, most often one that answers soon; or None.

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
        pool = [
            item
            for item in candidates
            if self._load(item).back_off_until_ms <= now_ms
        ] or candidates
        if not pool:
            return None
        costs_ms = [self._find_cost_ms(item, now_ms) for item in pool]
        least_ms = min(costs_ms)
        spread_ms = max(SPREAD_MIN_MS, SPREAD_PART * least_ms)
        weights = [
            math.exp((least_ms - cost_ms) / spread_ms) for cost_ms in costs_ms
        ]
        return self._rng.choices(pool, weights)[0]

    def judge(self, servers, now_ms, *, deadline_ms, priority):
        """Return a `PlainVerdict` if a request is not to be sent, else None.

        That is so if every server is full, or has so long a queue that the
        caller is gone when a slot is free. Only a fresh report can show
        either. The less urgent a request, the longer it waits, at
        this VM and beside those of other VMs.

        Parameters
        ----------
        deadline_ms : int
            When the caller gives up.
        priority : int
            0 to 9, 0 being the most urgent.
        """
        if not servers:
            return None
        least_ms = min(self._find_least_ms(item, now_ms) for item in servers)
        wait_ms = min(self._find_full_ms(item, now_ms) for item in servers)
        if now_ms + least_ms > deadline_ms and least_ms:
            return PlainVerdict(
                wait_ms=math.ceil(max(wait_ms, least_ms)), is_refused=True
            )
        if not wait_ms:
            return None
        wait_ms *= 1 + priority / PRIORITY_COUNT
        return PlainVerdict(
            wait_ms=int(min(WAIT_MAX_MS, max(WAIT_MIN_MS, wait_ms))),
            is_refused=False,
        )

    def begin(self, server, now_ms):
        """Count one more request in flight at a server."""
        self._load(server).begin(now_ms)

    def end(self, server):
        """Count one request less in flight at a server."""
        self._load(server).end()

    def note_load(self, server, load, now_ms, *, is_refusal=False):
        """Store the load report that came with an answer, if any."""
        if load is not None:
            self._load(server).note_report(load, now_ms, is_refusal=is_refusal)

    def note_success(self, server, took_ms, now_ms):
        """End the back-off; learn from how long the answer took."""
        load = self._load(server)
        load.failures = 0
        load.back_off_until_ms = 0
        load.note_outcome(now_ms, is_failure=False)
        usual_ms = self._usual_work_ms(server)
        worked_ms = max(1.0, took_ms - self._round_trip_ms(server)) / (
            load.find_reported_slowness() * (1 + load.find_queue_part())
        )
        ratio = worked_ms / (usual_ms * load.find_lasting_ratio())
        load.note_answer(ratio, now_ms)
        shift = max(-1.0, min(1.0, math.log(ratio)))
        self._work_ms[server.service] = usual_ms * math.exp(WORK_STEP * shift)

    def note_error(self, server, now_ms):
        """Note that the server has answered that it failed."""
        self._load(server).note_outcome(now_ms, is_failure=True)

    def note_failure(self, server, now_ms):
        """Start a back-off, twice as long after each consecutive failure."""
        load = self._load(server)
        load.failures += 1
        load.note_outcome(now_ms, is_failure=True)
        load.back_off_until_ms = now_ms + _server_choice.find_back_off_ms(
            load.failures
        )

    def keep_only(self, names):
        """Discard what is known of all servers except ``names``."""
        for name in set(self._loads) - set(names):
            del self._loads[name]

    def list_estimates(self, servers, now_ms):
        """Return (server, requests per slot, report's age or None) tuples."""
        estimates = []
        for server in servers:
            load = self._load(server)
            count = load.find_count(
                now_ms, work_ms=self._find_work_ms(server, now_ms)
            )
            age_ms = None
            if load.reported_ms is not None:
                age_ms = load.find_age_ms(now_ms)
            estimates.append((server, count / _slots(server), age_ms))
        return estimates

    def _load(self, server):
        load = self._loads.get(server.name)
        if load is None:
            load = self._loads[server.name] = _server_load.ServerLoad()
        return load

    def _usual_work_ms(self, server):
        return self._work_ms.get(server.service, WORK_FIRST_MS)

    def _find_work_ms(self, server, now_ms):
        load = self._load(server)
        work_ms = self._usual_work_ms(server) * load.find_slowness(now_ms)
        out_ms = load.find_oldest_ms(now_ms) - self._round_trip_ms(server)
        out_ms /= 1 + load.find_queue_part()
        return out_ms if out_ms > OVERDUE_FACTOR * work_ms else work_ms

    def _find_cost_ms(self, server, now_ms):
        """Return the expected time until an answer, and the cost of failing.

        The square stands for requests that come at the same time as this one:
        a server whose slots are nearly all in use makes some wait.
        """
        load = self._load(server)
        work_ms = self._find_work_ms(server, now_ms)
        slots = _slots(server)
        count = load.find_count(now_ms, work_ms=work_ms)
        queued = max(0.0, count + 1 - slots) / slots
        crowded = 0.5 * min(1.0, count / slots) ** 2
        return (
            self._round_trip_ms(server)
            + work_ms * (1 + queued + crowded)
            + FAILURE_COST_MS * load.find_failing(now_ms)
        )

    def _find_full_ms(self, server, now_ms):
        """Return how long a server surely stays full; 0 if it may not be."""
        full_count = self._load(server).full_count
        if full_count is None:
            return 0.0
        return self._find_drain_ms(server, now_ms, full_count)

    def _find_least_ms(self, server, now_ms):
        """Return how long a slot is surely not free; 0 if it may be."""
        return self._find_drain_ms(server, now_ms, _slots(server))

    def _find_drain_ms(self, server, now_ms, count_max):
        """Return how long at least as many requests are at a server."""
        load = self._load(server)
        if load.find_age_ms(now_ms) > SURE_AGE_MS:
            return 0.0
        slots = _slots(server)
        work_ms = WORK_LEAST_PART * self._find_work_ms(server, now_ms)
        count = load.find_count_min(now_ms, work_ms=work_ms, slots=slots)
        return max(0.0, count + 1 - count_max) * work_ms / slots

    def _round_trip_ms(self, server):
        return self._places.find_cost(server.data_centre, ROUND_TRIP_MS)


def _slots(server):
    return max(1, server.slot_count)
