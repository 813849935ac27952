"""Replay of requests to a plain service, in virtual time and without network.

The model: servers with slots and a bounded queue, on machines whose speed
varies; VMs that know a server only by the reports in its answers.
"""

import heapq
import itertools
import random
import statistics

import attrs

from bluebellthread.core import routing

TARGET_MS = 250
DEADLINE_MS = 2000
SLOT_COUNT = 6
QUEUE_MAX = 24
WORK_MS = 45.0
ONE_WAY_MS = {True: 1.4, False: 20.0}
SPELL_MS, SPELL_PART, SPELL_FACTOR = 600, 0.15, 2.5
PLACES = tuple('abcdef')
REGIONS = {place: 'east' if place in 'abc' else 'west' for place in PLACES}
CALM_MS, BURST_MS = 3000, 2000
CALM_RATE, BURST_RATE = 0.1, 0.2
SAMPLE_MS = 50
TRIES_MAX = 3
IDEMPOTENT_PART = 0.18


@attrs.define(kw_only=True)
class Trouble:
    """What is wrong with a server for some time."""

    server: int
    begin_ms: int
    end_ms: int
    factor: float = 1.0
    failing_part: float = 0.0
    is_down: bool = False


TROUBLES = (
    Trouble(server=0, begin_ms=6000, end_ms=10_000, factor=6.0),
    Trouble(server=3, begin_ms=13_000, end_ms=16_000, failing_part=0.5),
    Trouble(server=1, begin_ms=19_000, end_ms=21_000, is_down=True),
    Trouble(server=4, begin_ms=24_000, end_ms=28_000, factor=4.0),
)


@attrs.define(eq=False)
class _Request:
    vm: int
    arrived_ms: float
    is_idempotent: bool
    work_ms: float
    sent_ms: float = 0.0
    tried: list = attrs.field(factory=list)


@attrs.frozen
class Figures:
    """Result of one replay.

    Parameters
    ----------
    requests, on_time, sheds, failed : int
        Requests, those answered within the target, refusals by full servers,
        and requests that ended without an answer.
    peak_over_mean : float
        Requests at the fullest server over the mean of all, averaged over
        time.
    largest_queue : int
        Most requests that were at one server.
    """

    requests: int
    on_time: int
    sheds: int
    failed: int
    peak_over_mean: float
    largest_queue: int


class PlainWorld:
    """Servers and VMs of one replay.

    Parameters
    ----------
    choice : str
        Name in `routing.server_choices`.
    vm_count, length_ms, seed : int
        Size of the replay.
    troubles : iterable of Trouble
        What happens to servers.
    rate_factor : float
        Multiplies the rate of requests.
    """

    def __init__(
        self,
        *,
        choice,
        vm_count,
        seed,
        length_ms=30_000,
        troubles=TROUBLES,
        rate_factor=1.0,
    ):
        self._rng = random.Random(seed)
        self._length_ms = length_ms
        self._troubles = troubles
        self._rate_factor = rate_factor
        self._servers = [
            routing.ListedServer(
                name=f's{number}',
                service='s',
                host='h',
                port=1,
                data_centre=place,
                slot_count=SLOT_COUNT,
            )
            for number, place in enumerate(PLACES)
        ]
        make = routing.server_choices.get(choice)
        self._is_estimated = choice == 'estimated-time'
        self._places = [
            PLACES[n % len(PLACES)] if n % 3 else 'a' for n in range(vm_count)
        ]
        self._choices = [
            make(
                data_centre=place,
                region=REGIONS[place],
                regions=REGIONS,
                rng=random.Random(seed * 1000 + number),
            )
            for number, place in enumerate(self._places)
        ]
        self._weights = [self._rng.gammavariate(2, 1) for _ in range(vm_count)]
        self._running = [set() for _ in PLACES]
        self._queues = [[] for _ in PLACES]
        self._spells = [1.0] * len(PLACES)
        self._events = []
        self._order = itertools.count()
        self._ends_ms = []
        self._counts = {'requests': 0, 'sheds': 0, 'failed': 0}
        self._ratios = []
        self._largest = 0
        self.now_ms = 0.0

    def run(self):
        """Replay everything; return `Figures`."""
        for number in range(len(PLACES)):
            self._change_spell(number)
        self._at(0, self._arrive)
        self._at(SAMPLE_MS, self._sample)
        for trouble in self._troubles:
            if trouble.is_down:
                self._at(trouble.begin_ms, self._crash, trouble.server)
        while self._events:
            self.now_ms, _, action, details = heapq.heappop(self._events)
            action(*details)
        return Figures(
            on_time=sum(took_ms <= TARGET_MS for took_ms in self._ends_ms),
            peak_over_mean=statistics.fmean(self._ratios),
            largest_queue=self._largest,
            **self._counts,
        )

    def _at(self, delay_ms, action, *details):
        item = (self.now_ms + delay_ms, next(self._order), action, details)
        heapq.heappush(self._events, item)

    def _change_spell(self, number):
        if self.now_ms > self._length_ms:
            return
        is_slow = self._rng.random() < SPELL_PART
        self._spells[number] = SPELL_FACTOR if is_slow else 1.0
        self._at(SPELL_MS, self._change_spell, number)

    def _sample(self):
        counts = [
            len(running) + len(queue)
            for running, queue in zip(self._running, self._queues, strict=True)
        ]
        if sum(counts):
            self._ratios.append(max(counts) / statistics.fmean(counts))
        self._largest = max(self._largest, *counts)
        if self.now_ms < self._length_ms:
            self._at(SAMPLE_MS, self._sample)

    def _arrive(self):
        if self.now_ms > self._length_ms:
            return
        self._counts['requests'] += 1
        work_ms = self._rng.lognormvariate(-0.125, 0.5) * WORK_MS / 1.04
        if self._rng.random() < 0.01:
            work_ms *= 5
        request = _Request(
            self._rng.choices(range(len(self._weights)), self._weights)[0],
            self.now_ms,
            self._rng.random() < IDEMPOTENT_PART,
            work_ms,
        )
        self._send(request)
        is_calm = self.now_ms % (CALM_MS + BURST_MS) < CALM_MS
        rate = (CALM_RATE if is_calm else BURST_RATE) * self._rate_factor
        self._at(self._rng.expovariate(rate), self._arrive)

    def _send(self, request):
        choice, now_ms = self._choices[request.vm], int(self.now_ms)
        verdict = choice.judge(
            self._servers,
            now_ms,
            deadline_ms=request.arrived_ms + DEADLINE_MS,
            priority=5,
        )
        if verdict is not None:
            if verdict.is_refused:
                self._counts['failed'] += 1
            else:
                self._at(verdict.wait_ms, self._send, request)
            return
        server = choice.choose(self._servers, now_ms, avoid=request.tried)
        request.tried.append(server.name)
        request.sent_ms = self.now_ms
        choice.begin(server, now_ms)
        number = self._servers.index(server)
        self._at(self._way_ms(request, number), self._reach, request, number)

    def _way_ms(self, request, number):
        place = self._places[request.vm]
        if place == PLACES[number]:
            return 0.1
        return ONE_WAY_MS[REGIONS[place] == REGIONS[PLACES[number]]]

    def _find_trouble(self, number):
        for trouble in self._troubles:
            if (
                trouble.server == number
                and trouble.begin_ms <= self.now_ms < trouble.end_ms
            ):
                return trouble
        return Trouble(server=number, begin_ms=0, end_ms=0)

    def _reach(self, request, number):
        trouble = self._find_trouble(number)
        if trouble.is_down:
            self._answer(request, number, 'unreached')
        elif self._rng.random() < trouble.failing_part:
            self._answer(request, number, 'failed')
        elif len(self._running[number]) < SLOT_COUNT:
            self._begin(request, number)
        elif len(self._queues[number]) < QUEUE_MAX:
            self._queues[number].append(request)
        else:
            self._counts['sheds'] += 1
            self._answer(request, number, 'shed')

    def _begin(self, request, number):
        self._running[number].add(request)
        factor = self._spells[number] * self._find_trouble(number).factor
        self._at(request.work_ms * factor, self._finish, request, number)

    def _finish(self, request, number):
        if request not in self._running[number]:
            return
        self._running[number].discard(request)
        if self._queues[number]:
            self._begin(self._queues[number].pop(0), number)
        self._answer(request, number, 'served')

    def _crash(self, number):
        lost = [*self._running[number], *self._queues[number]]
        self._running[number].clear()
        self._queues[number].clear()
        for request in sorted(lost, key=lambda item: item.arrived_ms):
            self._answer(request, number, 'cut')

    def _answer(self, request, number, result):
        report = None
        if result in ('served', 'shed', 'failed'):
            report = routing.LoadReport(
                # The answered request still counts when its head is written.
                len(self._running[number]) + (result == 'served'),
                len(self._queues[number]),
                SLOT_COUNT,
                int(100 * self._spells[number]),
            )
        self._at(
            self._way_ms(request, number),
            self._return,
            request,
            number,
            result,
            report,
        )

    def _return(self, request, number, result, report):
        choice, server = self._choices[request.vm], self._servers[number]
        now_ms = int(self.now_ms)
        # The latest report is read from answers only, not from refusals.
        if self._is_estimated and report is not None:
            is_refusal = result == 'shed'
            choice.note_load(server, report, now_ms, is_refusal=is_refusal)
        choice.end(server)
        if not self._is_estimated and result in ('served', 'failed'):
            choice.note_load(server, report, now_ms)
        if result == 'served':
            choice.note_success(server, self.now_ms - request.sent_ms, now_ms)
            self._ends_ms.append(self.now_ms - request.arrived_ms)
            return
        if result == 'failed':
            choice.note_error(server, now_ms)
        else:
            choice.note_failure(server, now_ms)
        may_repeat = request.is_idempotent or result in ('shed', 'unreached')
        if may_repeat and len(request.tried) < TRIES_MAX:
            self._send(request)
        else:
            self._counts['failed'] += 1
