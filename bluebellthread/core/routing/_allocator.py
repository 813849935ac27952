"""Grant placements (pairs of engines); runs on the VM that owns a service.

KV cache on a decode server is reserved before the prefill starts, because a
prefill server keeps the cache of a prompt for a fraction of a second only.
Nothing is persisted: a new owner learns the current placements from the VMs
that hold them.
"""

import random

import attrs

from bluebellthread.core.routing import _allocator_options
from bluebellthread.core.routing import _answer_pace
from bluebellthread.core.routing import _demand_shares
from bluebellthread.core.routing import _engine_account
from bluebellthread.core.routing import _engine_pool
from bluebellthread.core.routing import _first_event_time
from bluebellthread.core.routing import _grant_pace
from bluebellthread.core.routing import _memory_models
from bluebellthread.core.routing import _overtaking
from bluebellthread.core.routing import _placement_messages as messages
from bluebellthread.core.routing import _prefill_time
from bluebellthread.core.routing import _queue_refusals
from bluebellthread.core.routing import _silence_reports
from bluebellthread.core.routing import _waiting_orders

REFUSAL_PERIOD_MS = 50
"""Interval of the search for queued requests to refuse while no request
arrives: a fraction of the delay that a refused caller would notice."""

REGISTRATION_DELAY_MAX_MS = 1000
"""Longest time for a VM's list of held placements to reach a new owner: the
time that opening a connection may take."""

TOKEN_MS = 1500
"""How long a request may be sent to an engine after a token was taken for it:
the time of a prefill, which goes before the decode."""

RETRY_FIRST_MS = 3000
RETRY_LAST_MS = 4600
"""Range of the retry delay sent with a refusal: bursts last four to five
seconds, and callers wait at most a third of their remaining time before
a retry."""


@attrs.define(kw_only=True)
class _WaitingRequest:
    request: messages.PlacementAsk
    arrived_ms: int


class Allocator:
    """State machine that queues the requests for a service and grants engines.

    It does no I/O and reads no clock.

    Parameters
    ----------
    options : AllocatorOptions
        Queue order, memory model and limits.
    rng : random.Random
        Source of jitter for the retry delay of refused callers.
    limits : object or None
        Limits of engines: ``has_token(engine)``, ``reserve(engine)`` and
        ``find_rate_per_s(engine)``; None if engines have no limits.

    Examples
    --------
    >>> allocator = Allocator()
    >>> allocator.decide(0)
    []
    """

    def __init__(self, *, options=None, rng=None, limits=None):
        self._options = None
        self._rng = rng or random.Random(0)
        self._limits = limits or _queue_refusals.NoLimits()
        self._pool = _engine_pool.EnginePool(has_token=self._limits.has_token)
        self._waiting = {}
        self._next_refusal_ms = 0
        self._silences = _silence_reports.SilenceReports()
        self._grant_pace = _grant_pace.GrantPace()
        self.set_options(options)

    def set_options(self, options):
        """Decide by other options from now on; None for the defaults.

        Queue and placements are kept, what was learned is not.
        """
        options = options or _allocator_options.AllocatorOptions()
        if options == self._options:
            return
        self._options = options
        self._order = _waiting_orders.waiting_orders.get(options.waiting_order)
        self._pool.set_model(
            fits=_memory_models.memory_models.get(options.memory_model),
            prefill_depth=options.prefill_depth,
        )
        self._prefill_time = _first_event_time.first_event_times.get(
            options.first_event_time
        )()
        self._pace = _answer_pace.AnswerPace() if options.learns_pace else None
        self._shares = (
            _demand_shares.DemandShares()
            if options.weighs_demand
            else _demand_shares.NoShares()
        )
        self._refusals = _queue_refusals.QueueRefusals(
            options=options,
            pool=self._pool,
            limits=self._limits,
            first_event_ms=self._prefill_time.first_event_ms,
            grant_pace=self._grant_pace,
        )
        self._overtaking = _overtaking.Overtaking(
            count_max=options.overtaking_max,
            age_max_ms=options.overtaking_ms,
        )

    @property
    def options(self):
        """The options in force."""
        return self._options

    @property
    def waiting_count(self):
        """Number of queued requests without a placement."""
        return len(self._waiting)

    @property
    def place_count(self):
        """Number of placements in use."""
        return len(self._pool)

    @property
    def late_event_share(self):
        """Share of first events later than expected; 0 if not followed."""
        return self._prefill_time.late_share

    @property
    def is_idle(self):
        """Whether no request is queued and no placement is in use."""
        return not self._waiting and not len(self._pool)

    def set_servers(self, servers):
        """Replace the list of the service's engines."""
        self._pool.set_servers(servers)

    # Messages from VMs

    def add_request(self, request, now_ms):
        """Queue a request; one that is queued already keeps its position.

        Returns
        -------
        PlacementGranted or None
            The earlier grant if the request already has a placement, since
            the answer that carried it may have been lost.
        """
        self._silences.note(request.vm, request.avoid_servers, now_ms)
        placement = self._pool.find_placement(request.ask_id)
        if placement is not None:
            return _grant_message(placement)
        known = self._waiting.get(request.ask_id)
        if known is None:
            known = _WaitingRequest(request=request, arrived_ms=now_ms)
            self._waiting[request.ask_id] = known
            self._next_refusal_ms = now_ms
            self._shares.note_asked(request, now_ms)
            self._grant_pace.note_asked(now_ms)
        known.request = request
        return None

    def note_prefill_ended(self, ask_id, now_ms):
        """Release the prefill server of a request whose prefill has ended."""
        placement = self._pool.find_placement(ask_id)
        if placement is None or placement.prefilled_ms is not None:
            return
        placement.prefilled_ms = now_ms
        account = self._pool.find_account(placement.prefill_server)
        if account is not None:
            tokens = account.queued_prefill_tokens
            account.prefilling.pop(ask_id, None)
            account.note_success()
            self._prefill_time.note(
                tokens=tokens, took_ms=now_ms - placement.granted_ms
            )

    def release(
        self,
        ask_id,
        now_ms,
        *,
        failed_server='',
        first_event_ms=0,
        writing_ms=0,
    ):
        """Remove a request from the queue and release its placement, if any.

        If ``failed_server`` is given, the back-off of that engine starts.

        Parameters
        ----------
        first_event_ms, writing_ms : int
            As in `PlacementEnded`.
        """
        self._waiting.pop(ask_id, None)
        placement = self._pool.find_placement(ask_id)
        if placement is not None and first_event_ms:
            self._prefill_time.note_first_event(
                tokens=placement.prompt_tokens, took_ms=first_event_ms
            )
        if placement is not None and writing_ms:
            self._learn_pace(placement, writing_ms)
        self._pool.free(ask_id)
        account = self._pool.find_account(failed_server)
        if account is not None:
            account.note_failure(now_ms)

    def _learn_pace(self, placement, writing_ms):
        if self._pace is None or placement.expected_tokens <= 0:
            return
        self._pace.note_ended(
            account=self._pool.find_account(placement.decode_server),
            expected_tokens=placement.expected_tokens,
            writing_ms=writing_ms,
        )

    def register_held(self, held, now_ms):
        """Replace the known placements of a VM by the list that it sent.

        Placements granted less than `REGISTRATION_DELAY_MAX_MS` ago are kept,
        since they may have been granted while the list was in flight.
        """
        self._pool.free_where(
            lambda placement: (
                placement.vm == held.vm
                and now_ms - placement.granted_ms >= REGISTRATION_DELAY_MAX_MS
            )
        )
        for item in held.places:
            self._waiting.pop(item.ask_id, None)
            self._pool.free(item.ask_id)
            self._pool.add(
                _engine_account.Placement(
                    ask_id=item.ask_id,
                    vm=held.vm,
                    vm_incarnation=held.vm_incarnation,
                    prefill_server=item.prefill_server,
                    decode_server=item.decode_server,
                    prompt_tokens=item.prompt_tokens,
                    output_tokens=item.output_tokens,
                    deadline_ms=item.deadline_ms,
                    granted_ms=now_ms,
                    prefilled_ms=now_ms - item.writing_ms,
                )
            )

    def release_dead_vms(self, is_dead):
        """Release placements and queued requests of ended VM processes.

        Parameters
        ----------
        is_dead : callable
            Takes a VM's name and incarnation; returns whether that process
            has ended.
        """
        self._pool.free_where(
            lambda placement: is_dead(placement.vm, placement.vm_incarnation)
        )
        for ask_id, waiting in list(self._waiting.items()):
            if is_dead(waiting.request.vm, waiting.request.vm_incarnation):
                del self._waiting[ask_id]

    # Decisions

    def decide(self, now_ms):
        """Return the grants and refusals to send now.

        Returns
        -------
        list of PlacementGranted or PlacementRefused
        """
        self._pool.expire(now_ms)
        if not self._waiting:
            return []
        reviews_queue = now_ms >= self._next_refusal_ms
        answers = self._collect_refusals(now_ms) if reviews_queue else []
        silent = self._silences.list_silent(now_ms)
        self._overtaking.begin_decision(self._waiting)
        for waiting in self._overtaking.put_holders_first(
            self._in_order(now_ms)
        ):
            if not self._overtaking.may_fit(waiting.request):
                continue
            grant = self._grant(waiting.request, now_ms, silent)
            if grant is not None:
                answers.append(grant)
                self._overtaking.note_granted(grant.ask_id)
            elif (
                # Streams that have begun wait for engines of their version
                # only; those of the others stay in use meanwhile.
                not waiting.request.has_begun
                and not self._overtaking.may_pass(
                    waiting.request,
                    self._pool,
                    now_ms,
                    is_late=self._is_late(waiting.request, now_ms),
                )
            ):
                break
        if reviews_queue:
            answers += self._refuse_unreached(now_ms)
        return answers

    def _is_late(self, request, now_ms):
        first_event_ms = self._prefill_time.first_event_ms
        return (
            now_ms + first_event_ms(request.prompt_tokens)
            > request.target_deadline_ms
        )

    def _in_order(self, now_ms):
        self._shares.review(now_ms)
        first_event_ms = self._prefill_time.first_event_ms
        return sorted(
            self._waiting.values(),
            key=lambda waiting: self._order(
                waiting.request,
                waiting.arrived_ms,
                first_event_ms(waiting.request.prompt_tokens),
                now_ms,
                self._shares.level(waiting.request),
            ),
        )

    def _refuse_unreached(self, now_ms):
        return [
            self._refuse(ask_id, 'overloaded', now_ms)
            for ask_id in self._refusals.find_unreached(
                self._waiting, self._in_order, now_ms
            )
        ]

    def _collect_refusals(self, now_ms):
        self._next_refusal_ms = now_ms + REFUSAL_PERIOD_MS
        kinds = self._refusals.find_kinds(
            self._waiting, self._in_order, now_ms
        )
        return [
            self._refuse(ask_id, kind, now_ms)
            for ask_id, kind in kinds.items()
        ]

    def _refuse(self, ask_id, kind, now_ms):
        del self._waiting[ask_id]
        if self._options.refuses_unreached:
            retry_after_ms = self._grant_pace.choose_retry_ms(
                len(self._waiting), now_ms, self._rng
            )
        else:
            retry_after_ms = self._rng.randint(RETRY_FIRST_MS, RETRY_LAST_MS)
        return messages.PlacementRefused(
            ask_id=ask_id,
            kind=kind,
            retry_after_ms=retry_after_ms,
            waiting_count=len(self._waiting),
            place_count=len(self._pool),
        )

    # Placements

    def _is_urgent(self, request, now_ms, local_prefill_ms):
        """Return whether a wait for a prefill server may miss the target."""
        expected_event_ms = (
            now_ms + local_prefill_ms + _prefill_time.OVERHEAD_MS
        )
        slack_ms = request.target_deadline_ms - expected_event_ms
        return slack_ms <= self._options.local_prefill_slack_ms

    def _grant(self, request, now_ms, silent):
        local_prefill_ms = self._prefill_time.local_prefill_ms(
            request.prompt_tokens
        )
        pair = self._choose_pair(
            request,
            now_ms,
            silent,
            is_urgent=self._is_urgent(request, now_ms, local_prefill_ms),
        )
        if pair is None:
            return None
        prefill, decode = pair
        del self._waiting[request.ask_id]
        placement = _engine_account.Placement(
            ask_id=request.ask_id,
            vm=request.vm,
            vm_incarnation=request.vm_incarnation,
            prefill_server=prefill.server.name if prefill else '',
            decode_server=decode.server.name,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            deadline_ms=request.deadline_ms,
            granted_ms=now_ms,
            prefilled_ms=None if prefill else now_ms,
            expected_tokens=request.expected_tokens,
        )
        if self._pace is not None:
            placement.token_ms = self._pace.token_ms * decode.slowness
        self._pool.add(placement)
        self._shares.note_granted(request, now_ms)
        self._grant_pace.note_granted(now_ms)
        if prefill is not None:
            prefill.prefilling[request.ask_id] = placement
        else:
            decode.local_prefill_end_ms = now_ms + local_prefill_ms
        placement.token_servers = tuple(
            account.server.name
            for account in (prefill, decode)
            if account is not None and self._limits.reserve(account.server)
        )
        return _grant_message(placement)

    def _choose_pair(self, request, now_ms, silent, *, is_urgent):
        """Choose engines, those that are silent only if no others have room.

        Silence alone takes no room away: VMs may have lost their paths.
        """
        if silent:
            pair = self._pool.choose_pair(
                attrs.evolve(
                    request, avoid_servers=(*request.avoid_servers, *silent)
                ),
                now_ms,
                is_urgent=is_urgent,
            )
            if pair is not None:
                return pair
        return self._pool.choose_pair(request, now_ms, is_urgent=is_urgent)


def _grant_message(placement):
    return messages.PlacementGranted(
        ask_id=placement.ask_id,
        prefill_server=placement.prefill_server,
        decode_server=placement.decode_server,
        token_servers=placement.token_servers,
        token_deadline_ms=placement.granted_ms + TOKEN_MS,
    )
