"""The owner of one pool: grants permits for engine memory.

Decode memory and the prefill slot are reserved together before a prefill
starts, since its result is evicted in under a second.
"""

import random

import attrs

from bluebellthread.core import _messages
from bluebellthread.core import _model
from bluebellthread.core import _policies
from bluebellthread.core import _prefill_policies
from bluebellthread.core import _prefix_index
from bluebellthread.core import _scheduler_events as events

PREFILL_SLOTS = 2
"""Prompts reserved at a time on one prefill server."""


@attrs.define(kw_only=True)
class SchedulerOptions:
    """Names of the policies that a scheduler uses."""

    prefill_policy: str = 'least-loaded'
    decode_policy: str = 'most-free'
    queue_policy: str = 'first-come'
    prefill_slots: int = PREFILL_SLOTS
    queue: _policies.QueueOptions = attrs.field(factory=_policies.QueueOptions)


class Scheduler:
    """Pure state machine of one pool's owner.

    Parameters
    ----------
    pool : PoolKey
        The pool.
    vm, incarnation : str, int
        The owning VM process.
    options : SchedulerOptions
        Policies.
    rng : random.Random
        The only source of randomness.

    Examples
    --------
    >>> scheduler = Scheduler(
    ...     pool=_model.PoolKey(serves='m', data_centre='cluj-a'),
    ...     vm='vm1', incarnation=7)
    >>> scheduler.handle(events.Tick(), 0)
    []
    """

    def __init__(self, *, pool, vm, incarnation, options=None, rng=None):
        self.pool = pool
        self.vm = vm
        self.incarnation = incarnation
        self._options = options or SchedulerOptions()
        self._rng = rng or random.Random(0)
        self._servers = {}
        self._reports = {}
        self._permits = {}
        self._queue = None
        self._make_policies()
        self._prefix_index = _prefix_index.PrefixIndex()
        self._counter = 0
        self._handlers = {
            _messages.PermitRequest: self._on_request,
            _messages.PermitProgressed: self._on_progress,
            _messages.PermitReleased: self._on_release,
            _model.LoadReport: self._on_report,
            events.ServersChanged: self._on_servers,
            events.OptionsChanged: self._on_options,
            events.Tick: self._on_tick,
        }

    @property
    def permits(self):
        """The granted permits by id."""
        return dict(self._permits)

    @property
    def waiting_count(self):
        """Requests that wait for a permit."""
        return len(self._queue)

    def handle(self, event, now_ms):
        """Take one event in and return the commands that follow."""
        commands = self._handlers[type(event)](event, now_ms)
        expired = self._queue.pop_expired(now_ms=now_ms)
        commands += [self._refuse_from_queue(item) for item in expired]
        return commands + self._grant_waiting(now_ms)

    def _on_request(self, request, now_ms):
        if not self._has_role(_model.ROLE_PREFILL) or not self._has_role(
            _model.ROLE_DECODE
        ):
            return [self._refuse(request, 'no-backend')]
        refused = self._queue.push(request, now_ms=now_ms)
        return [self._refuse_from_queue(item) for item in refused]

    def _on_progress(self, event, now_ms):
        permit = self._permits.get(event.permit_id)
        if permit is not None:
            if event.stage == 'decoding':
                self._queue.note_first_output(permit.request_id, now_ms=now_ms)
            self._permits[event.permit_id] = attrs.evolve(
                permit, stage=event.stage
            )
        return []

    def _on_release(self, event, now_ms):
        permit = self._permits.pop(event.permit_id, None)
        if permit is None or event.clean:
            return []
        return self._cancel_both(permit)

    def _on_report(self, report, now_ms):
        self._reports[report.server] = report
        return []

    def _on_servers(self, event, now_ms):
        self._servers = {server.name: server for server in event.servers}
        return []

    def _on_options(self, event, now_ms):
        if event.options == self._options:
            return []
        self._options = event.options
        waiting = self._queue
        self._make_policies()
        refused = []
        while (request := waiting.pop_next(_any, now_ms=now_ms)) is not None:
            refused += self._queue.push(request, now_ms=now_ms)
        return [self._refuse_from_queue(item) for item in refused]

    def _make_policies(self):
        options = self._options
        prefill = _policies.prefill_policies.get(options.prefill_policy)
        decode = _policies.decode_policies.get(options.decode_policy)
        queue = _policies.queue_policies.get(options.queue_policy)
        self._prefill_policy = prefill()
        self._decode_policy = decode()
        self._queue = queue(options.queue)

    def _on_tick(self, event, now_ms):
        return []

    def _grant_waiting(self, now_ms):
        commands = []
        while True:
            request = self._queue.pop_next(self._fits, now_ms=now_ms)
            if request is None:
                return commands
            commands.append(self._grant(request))
            self._queue.note_granted(request, now_ms=now_ms)

    def _fits(self, request):
        return bool(
            self._prefill_candidates() and self._decode_candidates(request)
        )

    def _grant(self, request):
        prefill_server = self._prefill_policy.choose(
            request,
            _policies.prefer_others(
                self._with_cached_tokens(request, self._prefill_candidates()),
                request.avoid_servers,
            ),
            self._rng,
        )
        decode_server = self._decode_policy.choose(
            request,
            _policies.prefer_others(
                self._decode_candidates(request), request.avoid_servers
            ),
            self._rng,
        )
        self._prefix_index.note_granted(prefill_server, request.prefix_hashes)
        self._counter += 1
        permit = _model.Permit(
            permit_id=f'{self.vm}-{self.incarnation:x}-{self._counter}',
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            gateway=request.gateway,
            gateway_incarnation=request.gateway_incarnation,
            caller=request.caller,
            pool=self.pool,
            prefill_server=prefill_server,
            decode_server=decode_server,
            prompt_tokens=request.prompt_tokens,
            pieces=_pieces_of(request),
            deadline_ms=request.deadline_ms,
        )
        self._permits[permit.permit_id] = permit
        granted = _messages.PermitGranted(
            permit=permit,
            scheduler=self.vm,
            scheduler_incarnation=self.incarnation,
        )
        return events.SendToGateway(gateway=request.gateway, message=granted)

    def _with_cached_tokens(self, request, candidates):
        return tuple(
            attrs.evolve(
                item,
                cached_tokens=self._prefix_index.cached_tokens(
                    item.name, request.prefix_hashes
                ),
            )
            for item in candidates
        )

    def _refuse_from_queue(self, refusal):
        return self._refuse(
            refusal.request, refusal.kind, refusal.retry_after_ms
        )

    def _refuse(self, request, kind, retry_after_ms=_policies.RETRY_AFTER_MS):
        refusal = _messages.PermitRefused(
            request_id=request.request_id,
            attempt_number=request.attempt_number,
            kind=kind,
            retry_after_ms=retry_after_ms,
        )
        return events.SendToGateway(gateway=request.gateway, message=refusal)

    def _cancel_both(self, permit):
        return [
            events.CancelAtEngine(server=server, permit_id=permit.permit_id)
            for server in (permit.prefill_server, permit.decode_server)
        ]

    def _has_role(self, role):
        return any(server.role == role for server in self._servers.values())

    def _usable(self, role):
        for name in sorted(self._servers):
            server = self._servers[name]
            report = self._reports.get(name)
            if server.role != role or server.leaving or report is None:
                continue
            if not report.leaving:
                yield server, report

    def _prefill_candidates(self):
        candidates = []
        for server, report in self._usable(_model.ROLE_PREFILL):
            reserved = [
                permit.prompt_tokens
                for permit in self._permits.values()
                if permit.prefill_server == server.name
                and permit.stage in ('reserved', 'prefilling')
            ]
            if not self._prefill_policy.reserves or _prefill_policies.has_room(
                reserved, self._options.prefill_slots
            ):
                candidates.append(
                    _policies.PrefillCandidate(
                        name=server.name,
                        reserved_tokens=sum(reserved),
                        reported_queued=report.queued_count,
                    )
                )
        return tuple(candidates)

    def _decode_candidates(self, request):
        candidates = []
        for server, report in self._usable(_model.ROLE_DECODE):
            held = [
                permit.pieces
                for permit in self._permits.values()
                if permit.decode_server == server.name
            ]
            free_pieces = report.total_pieces - sum(held)
            if (
                free_pieces >= _pieces_of(request)
                or not self._decode_policy.reserves
            ):
                candidates.append(
                    _policies.DecodeCandidate(
                        name=server.name,
                        free_pieces=free_pieces,
                        running_count=len(held),
                        reported_free_pieces=report.free_pieces,
                    )
                )
        return tuple(candidates)


def _pieces_of(request):
    return _model.count_pieces(request.prompt_tokens, request.output_tokens)


def _any(request):
    return True
