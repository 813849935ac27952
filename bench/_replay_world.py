"""Replays a recorded load against the allocator in virtual time.

Engines are modelled by their published figures. A prefill server processes
one prompt after another. A decode server generates one token for each
request per step and preempts the newest requests when its memory runs out.
"""

import collections
import heapq
import itertools
import random

import attrs

from bluebellthread.core import routing

STEP_MS = 2.2
STEP_MS_PER_K_TOKENS = 0.0175
PREFILL_TOKENS_PER_MS = 33.3
TRANSFER_MS = 6
LOCAL_PREFILL_FACTOR = 2
LOCAL_PREFILL_CHUNK_TOKENS = 512
PIECE_TOKENS = 18
"""Published performance figures of the engines.

A transfer takes the same time for every prompt, as most of it is set-up. A
local prefill takes twice as long as one on a prefill server and runs in
chunks between decode steps.
"""

VM_LATENCY_MS = 12
"""Latency of a message between VMs, averaged over all pairs of regions."""

TICK_MS = 10
START_TIMEOUT_MS = 3600
TIMEOUT_MS = 14000
MAX_BACKOFF_SHARE = 1 / 3
"""Longest back-off of a caller, as a share of the time to its deadline.

If a refusal asks for a longer back-off, the caller waits only this long.
"""

VM_COUNT = 64
"""VMs that share the requests in turn."""

SILENCE_MS = 1200
"""Time without a byte after which a VM takes an engine for silent."""

GIVE_UP_MS = 2500
"""Time after which a caller leaves a stream that brings nothing more."""

SLOW_SHARE = 0.2
SLOW_FACTOR = 1.3
NOISY_FACTOR = 2.5
NOISY_MS = 600
NOISY_PERIOD_MS = 6000
"""Share of the decode servers that are slow in loads with slow engines, how
much longer they take for a token, and how much longer, for how long and how
often each engine does because of other work on its machine."""


@attrs.define(kw_only=True)
class _Job:
    """State of one caller's request over all its attempts."""

    number: int
    request: object
    first_sent_ms: int
    sent_ms: int
    attempts: int = 0
    ask_id: str = ''
    prefill_server: str = ''
    decode_server: str = ''
    generated_tokens: float = 0.0
    decode_start_ms: float = 0.0
    granted_ms: float = 0.0
    first_event_ms: float | None = None
    last_event_ms: float = 0.0
    next_event_tokens: int = 0
    longest_gap_ms: float = 0.0
    outcome: str = ''

    @property
    def vm(self):
        return f'vm{self.number % VM_COUNT}'

    @property
    def memory(self):
        return self.request.prompt_tokens + self.generated_tokens


@attrs.define(kw_only=True)
class _DecodeServer:
    engine: object
    is_slow: bool = False
    noise_offset_ms: int = 0
    running: list = attrs.field(factory=list)
    preempted: list = attrs.field(factory=list)
    local_prefill_end_ms: float = 0.0


@attrs.define(kw_only=True)
class Result:
    """Results of a replay.

    Parameters
    ----------
    on_time, late, unserved : int
        Number of requests by outcome.
    preemptions : int
        Number of preemptions by decode servers.
    wasted_tokens : int
        Tokens computed again after a preemption or an engine failure.
    worth, worth_owed : float
        Total value of the answers, and what it would be if all requests
        had been answered on time.
    samples : list of (int, int)
        Times, and the number of requests that waited for a placement.
    refused_ms, held_ms : list of int
        Time of each refusal, and the time since the refused attempt was sent.
    on_time_ms : list of int
        Completion times of the answers that were on time.
    dark_grants_ms : list of int
        Times of the grants of engines that had gone dark.
    by_kind, by_customer : dict of Counter
        Number of requests by outcome (``'on_time'``, ``'late'`` or
        ``'unserved'``), by index of their kind and by customer.
    grant_to_event_ms : list of (int, float)
        Prompt length, and time from the grant to the first event.
    waits_ms : list of float
        Time from the last attempt of a caller to the grant.
    """

    on_time: int = 0
    late: int = 0
    unserved: int = 0
    preemptions: int = 0
    wasted_tokens: int = 0
    worth: float = 0.0
    worth_owed: float = 0.0
    samples: list = attrs.field(factory=list)
    refused_ms: list = attrs.field(factory=list)
    held_ms: list = attrs.field(factory=list)
    on_time_ms: list = attrs.field(factory=list)
    dark_grants_ms: list = attrs.field(factory=list)
    by_kind: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    by_customer: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    grant_to_event_ms: list = attrs.field(factory=list)
    waits_ms: list = attrs.field(factory=list)

    @property
    def refusals(self):
        """Number of refusals."""
        return len(self.refused_ms)

    @property
    def worth_share(self):
        return self.worth / self.worth_owed if self.worth_owed else 0.0

    @property
    def served_share(self):
        """Share of the requests that were answered, on time or late."""
        total = self.on_time + self.late + self.unserved
        return 1 - self.unserved / total if total else 1.0


class ReplayWorld:
    """Simulates engines and callers around one allocator in virtual time.

    Parameters
    ----------
    load : Load
        The load to replay.
    options : AllocatorOptions
        Waiting order and memory model under test.
    recognises_retries : bool
        Whether the entry recognises retries, so that the target for the
        first output counts from the caller's first attempt.
    """

    def __init__(self, load, options=None, *, recognises_retries=True):
        self._load = load
        self._recognises_retries = recognises_retries
        self._allocator = routing.Allocator(options=options)
        self._events = []
        self._event_numbers = itertools.count()
        self._now_ms = 0
        self._jobs = {}
        self._down = set()
        self._dark = set()
        self._silent_for = collections.defaultdict(set)
        self._prefill_free_ms = {}
        decodes = [item for item in load.engines if item.role == 'decode']
        self._decodes = {
            item.name: _DecodeServer(
                engine=item,
                is_slow=number % round(1 / SLOW_SHARE) == 0,
                noise_offset_ms=number * NOISY_PERIOD_MS // len(decodes),
            )
            for number, item in enumerate(decodes)
        }
        self.result = Result()
        sizes = [_request_size(item) for item in load.requests]
        self._mean_request_size = sum(sizes) / max(1, len(sizes))
        self._unfinished_count = len(load.requests)

    def run(self):
        """Replay the whole load and return its `Result`."""
        for number, request in enumerate(self._load.requests):
            job = _Job(
                number=number,
                request=request,
                first_sent_ms=request.at_ms,
                sent_ms=request.at_ms,
            )
            self._schedule_at(request.at_ms, self._send, job)
        for failure in self._load.failures:
            self._schedule_at(failure.at_ms, self._fail, failure)
            self._schedule_at(failure.back_ms, self._restore, failure)
        self._list_servers()
        self._schedule_at(0, self._tick)
        while self._events and self._unfinished_count:
            self._now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.result

    def _schedule_at(self, at_ms, function, *arguments):
        heapq.heappush(
            self._events,
            (at_ms, next(self._event_numbers), function, arguments),
        )

    def _schedule_after(self, delay_ms, function, *arguments):
        self._schedule_at(self._now_ms + delay_ms, function, *arguments)

    # Callers

    def _send(self, job):
        job.attempts += 1
        job.sent_ms = self._now_ms
        job.ask_id = f'{job.number}/{job.attempts}'
        self._jobs[job.ask_id] = job
        self._schedule_after(
            VM_LATENCY_MS, self._request_placement, job, job.ask_id
        )

    def _request_placement(self, job, ask_id):
        request = job.request
        self._allocator.add_request(
            routing.PlacementAsk(
                ask_id=ask_id,
                vm=job.vm,
                vm_incarnation=1,
                data_centre='a',
                serves='m',
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
                target_deadline_ms=self._find_first_attempt_ms(job)
                + self._load.kinds[request.kind].target_ms,
                start_deadline_ms=job.sent_ms + START_TIMEOUT_MS,
                deadline_ms=job.first_sent_ms + TIMEOUT_MS,
                poll_deadline_ms=self._now_ms + TIMEOUT_MS,
                avoid_servers=tuple(sorted(self._silent_for[job.vm])),
                priority=self._load.kinds[request.kind].priority,
                customer=request.customer,
                expected_tokens=request.expected_tokens,
            ),
            self._now_ms,
        )
        self._decide()

    def _find_first_attempt_ms(self, job):
        """Return the time that the entry takes for the first attempt."""
        return job.first_sent_ms if self._recognises_retries else job.sent_ms

    def _refused(self, job, retry_after_ms):
        self.result.refused_ms.append(self._now_ms)
        self.result.held_ms.append(self._now_ms - job.sent_ms)
        left_ms = job.first_sent_ms + TIMEOUT_MS - self._now_ms
        if job.attempts > 1:
            self._finish(job, 'unserved')
            return
        self._schedule_after(
            min(retry_after_ms, left_ms * MAX_BACKOFF_SHARE), self._send, job
        )

    def _finish(self, job, outcome):
        if job.outcome:
            return
        job.outcome = outcome
        self._unfinished_count -= 1
        result = self.result
        value = (
            0.3 + 0.7 * _request_size(job.request) / self._mean_request_size
        )
        value = min(4.0, value)
        kind = self._load.kinds[job.request.kind]
        result.worth_owed += kind.value_on_time * value
        if outcome != 'unserved':
            first_ms = job.first_event_ms - job.first_sent_ms
            is_on_time = (
                first_ms <= kind.target_ms and job.longest_gap_ms <= 300
            )
            outcome = 'on_time' if is_on_time else 'late'
        result.by_kind[job.request.kind][outcome] += 1
        result.by_customer[job.request.customer][outcome] += 1
        if outcome == 'unserved':
            result.unserved += 1
        elif outcome == 'on_time':
            result.on_time += 1
            result.on_time_ms.append(self._now_ms)
            result.worth += kind.value_on_time * value
        else:
            result.late += 1
            result.worth += kind.value_late * value

    # Allocator

    def _decide(self):
        for answer in self._allocator.decide(self._now_ms):
            job = self._jobs[answer.ask_id]
            if isinstance(answer, routing.PlacementRefused):
                self._schedule_after(
                    VM_LATENCY_MS, self._refused, job, answer.retry_after_ms
                )
            else:
                job.prefill_server = answer.prefill_server
                job.decode_server = answer.decode_server
                if job.decode_server in self._dark:
                    self.result.dark_grants_ms.append(self._now_ms)
                self._schedule_after(
                    VM_LATENCY_MS + self._draw_delay(job, 'prefill_ms'),
                    self._prefill,
                    job,
                    answer.ask_id,
                )
                job.granted_ms = self._now_ms + VM_LATENCY_MS
                self.result.waits_ms.append(self._now_ms - job.sent_ms)

    def _draw_delay(self, job, name):
        """Draw a delay that is the same for a try under all policies."""
        quantiles = getattr(self._load.delays, name)
        rng = random.Random(f'{job.ask_id} {name}')
        point = rng.random() * (len(quantiles) - 1)
        index = int(point)
        low, high = quantiles[index : index + 2]
        return low + (point - index) * (high - low)

    def _list_servers(self):
        self._allocator.set_servers(
            tuple(
                routing.EngineServer(
                    name=item.name,
                    incarnation=1,
                    role=item.role,
                    data_centre=item.data_centre,
                    region='r',
                    slot_count=item.slot_count,
                    memory_tokens=item.memory_tokens,
                )
                for item in self._load.engines
                if item.name not in self._down
            )
        )

    # Prefill

    def _prefill(self, job, ask_id):
        if not job.prefill_server:
            self._prefill_on_decode_engine(job, ask_id)
            return
        if job.prefill_server in self._down:
            self._report_end(job, ask_id, job.prefill_server)
            self._retry(job)
            return
        free_ms = max(
            self._now_ms, self._prefill_free_ms.get(job.prefill_server, 0)
        )
        done_ms = free_ms + job.request.prompt_tokens / PREFILL_TOKENS_PER_MS
        self._prefill_free_ms[job.prefill_server] = done_ms
        self._schedule_at(
            done_ms + TRANSFER_MS + self._draw_delay(job, 'start_ms'),
            self._start_decode,
            job,
            ask_id,
        )
        self._schedule_at(
            done_ms + VM_LATENCY_MS, self._note_prefill_ended, ask_id
        )

    def _prefill_on_decode_engine(self, job, ask_id):
        decode = self._decodes[job.decode_server]
        begin_ms = max(self._now_ms, decode.local_prefill_end_ms)
        prefill_ms = job.request.prompt_tokens / PREFILL_TOKENS_PER_MS
        decode.local_prefill_end_ms = (
            begin_ms + LOCAL_PREFILL_FACTOR * prefill_ms
        )
        self._schedule_at(
            decode.local_prefill_end_ms, self._start_decode, job, ask_id
        )

    def _note_prefill_ended(self, ask_id):
        self._allocator.note_prefill_ended(ask_id, self._now_ms)
        self._decide()

    # Decode

    def _start_decode(self, job, ask_id):
        if job.outcome or job.ask_id != ask_id:
            return
        if job.decode_server in self._down:
            self._report_end(job, ask_id, job.decode_server)
            self._retry(job)
            return
        if job.decode_server in self._dark:
            self._lose_in_the_dark(job)
            return
        job.decode_start_ms = self._now_ms
        self._decodes[job.decode_server].running.append(job)

    def _retry(self, job):
        """Send a request again after its engine has failed.

        The gateway retries, so the retry is not an attempt of the caller.
        """
        self.result.wasted_tokens += int(job.memory)
        job.generated_tokens = 0.0
        self._send(job)
        job.attempts -= 1

    def _tick(self):
        for decode in self._decodes.values():
            self._step(decode)
        self._decide()
        waiting = self._allocator.waiting_count
        self.result.samples.append((self._now_ms, waiting))
        self._schedule_after(TICK_MS, self._tick)

    def _step(self, decode):
        context = sum(job.memory for job in decode.running)
        step_ms = STEP_MS + STEP_MS_PER_K_TOKENS * context / 1000
        if self._now_ms < decode.local_prefill_end_ms:
            # A chunk of the prompt is processed between two decode steps.
            step_ms += (
                LOCAL_PREFILL_FACTOR
                * LOCAL_PREFILL_CHUNK_TOKENS
                / PREFILL_TOKENS_PER_MS
            )
        step_ms *= self._find_slowness(decode)
        for job in list(decode.running):
            job.generated_tokens += TICK_MS / step_ms
            if job.first_event_ms is None and job.generated_tokens >= min(
                PIECE_TOKENS, job.request.written_tokens
            ):
                self._note_first_event(job)
            elif job.generated_tokens >= job.next_event_tokens > 0:
                self._note_event(job)
            if job.generated_tokens >= job.request.written_tokens:
                decode.running.remove(job)
                self._report_end(
                    job,
                    job.ask_id,
                    '',
                    first_event_ms=int(job.first_event_ms - job.granted_ms),
                    writing_ms=int(self._now_ms - job.first_event_ms),
                )
                self._finish(job, 'served')
        self._preempt(decode)
        self._resume(decode)

    def _find_slowness(self, decode):
        if not self._load.delays.is_slow_at_times:
            return 1
        phase_ms = (self._now_ms + decode.noise_offset_ms) % NOISY_PERIOD_MS
        noise = NOISY_FACTOR if phase_ms < NOISY_MS else 1
        return noise * (SLOW_FACTOR if decode.is_slow else 1)

    def _note_event(self, job):
        gap_ms = self._now_ms - job.last_event_ms
        job.longest_gap_ms = max(job.longest_gap_ms, gap_ms)
        job.last_event_ms = self._now_ms
        job.next_event_tokens += PIECE_TOKENS

    def _note_first_event(self, job):
        job.first_event_ms = self._now_ms
        self.result.grant_to_event_ms.append(
            (job.request.prompt_tokens, self._now_ms - job.granted_ms)
        )
        job.last_event_ms = self._now_ms
        job.next_event_tokens = 2 * PIECE_TOKENS
        if self._now_ms - job.sent_ms > START_TIMEOUT_MS:
            self._decodes[job.decode_server].running.remove(job)
            self._report_end(job, job.ask_id, '')
            self._finish(job, 'unserved')

    def _preempt(self, decode):
        """Preempt the newest requests until the rest fit into memory."""
        limit_tokens = decode.engine.memory_tokens
        while sum(job.memory for job in decode.running) > limit_tokens:
            job = decode.running.pop()
            self.result.preemptions += 1
            self.result.wasted_tokens += int(job.memory)
            decode.preempted.append((self._now_ms, job))

    def _resume(self, decode):
        """Resume recomputed requests that fit into memory again.

        The tokens of a preempted request are computed again by a local
        prefill, which takes twice as long as on a prefill server.
        """
        used = sum(job.memory for job in decode.running)
        for entry in list(decode.preempted):
            preempted_ms, job = entry
            recompute_ms = 2 * job.memory / PREFILL_TOKENS_PER_MS
            ready = self._now_ms - preempted_ms >= recompute_ms
            if ready and used + job.memory <= decode.engine.memory_tokens:
                decode.preempted.remove(entry)
                decode.running.append(job)
                used += job.memory

    def _report_end(self, job, ask_id, failed, **times_ms):
        self._schedule_after(
            VM_LATENCY_MS, self._note_end, ask_id, failed, times_ms
        )

    def _note_end(self, ask_id, failed, times_ms):
        self._allocator.release(
            ask_id, self._now_ms, failed_server=failed, **times_ms
        )
        self._decide()

    # Failures

    def _fail(self, failure):
        decode = self._decodes.get(failure.engine)
        lost = []
        if decode is not None:
            lost = decode.running + [job for _, job in decode.preempted]
            decode.running, decode.preempted = [], []
        if failure.is_dark:
            self._dark.add(failure.engine)
            for job in lost:
                self._lose_in_the_dark(job)
            return
        self._down.add(failure.engine)
        self._schedule_after(VM_LATENCY_MS, self._list_servers)
        for job in lost:
            self._report_end(job, job.ask_id, failure.engine)
            self._retry(job)

    def _lose_in_the_dark(self, job):
        """Lose a request that may run once only; its VM notices a silence."""
        self._schedule_after(
            SILENCE_MS, self._silent_for[job.vm].add, job.decode_server
        )
        self._schedule_after(GIVE_UP_MS, self._give_up, job, job.ask_id)

    def _give_up(self, job, ask_id):
        self._report_end(job, ask_id, '')
        self._finish(job, 'unserved')

    def _restore(self, failure):
        self._down.discard(failure.engine)
        self._dark.discard(failure.engine)
        for servers in self._silent_for.values():
            servers.discard(failure.engine)
        self._list_servers()


def _request_size(request):
    return request.prompt_tokens + 10 * request.written_tokens
