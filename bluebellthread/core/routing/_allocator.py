"""Pairs of engines for model requests, as the owner of a service gives them.

Room on a decode server is reserved before a prompt is read, since the read
prompt is kept for a fraction of a second only. Nothing is stored: a new
owner learns of the places in use from the VMs that use them.
"""

import random

import attrs

from bluebellthread.core.routing import _engine_account
from bluebellthread.core.routing import _engine_pool
from bluebellthread.core.routing import _memory_models
from bluebellthread.core.routing import _placement_messages as messages
from bluebellthread.core.routing import _reading_time
from bluebellthread.core.routing import _waiting_orders

REFUSAL_PERIOD_MS = 50
"""How often waiting asks are looked over for refusals when none arrives: a
fraction of what a refusal may be late by without a caller noticing."""

NOTICE_DELAY_MS = 1000
"""Longest time that a VM's notice is on its way to a new owner: the time
that a connection may take."""

RETRY_FIRST_MS = 3000
RETRY_LAST_MS = 4600
"""Refused callers are told to come back between these: bursts last four to
five seconds, and callers heed up to a third of the time that they have."""


@attrs.frozen(kw_only=True)
class AllocatorOptions:
    """How an owner gives places.

    Parameters
    ----------
    waiting_order : str
        Name in `waiting_orders`.
    memory_model : str
        Name in `memory_models`.
    prefill_depth : int
        Prompts given to one prefill server at a time: one that it reads
        and one that is on its way, so that it never idles for a round
        trip between regions.
    late_per_server : float
        Requests for each decode server that may wait though they can't be
        on time any more. The others are told at once when to come back.
    own_read_slack_ms : float
        While all prefill servers are busy, a request that has at most this
        long left to begin on time is read by its decode server.
    """

    waiting_order: str = 'on-time-first'
    memory_model: str = 'growth'
    prefill_depth: int = 2
    late_per_server: float = 1.5
    own_read_slack_ms: float = 300


@attrs.define(kw_only=True)
class _Waiting:
    ask: messages.PlacementAsk
    arrived_ms: int


class Allocator:
    """Pure state machine of the owner of one service's engines.

    Parameters
    ----------
    options : AllocatorOptions
    rng : random.Random
        Spreads the return of refused callers.

    Examples
    --------
    >>> allocator = Allocator()
    >>> allocator.decide(0)
    []
    """

    def __init__(self, *, options=None, rng=None):
        self._options = options or AllocatorOptions()
        self._rng = rng or random.Random(0)
        self._order = _waiting_orders.waiting_orders.get(
            self._options.waiting_order
        )
        self._pool = _engine_pool.EnginePool(
            fits=_memory_models.memory_models.get(self._options.memory_model),
            prefill_depth=self._options.prefill_depth,
        )
        self._waiting = {}
        self._next_refusal_ms = 0
        self._reading_time = _reading_time.ReadingTime()

    @property
    def waiting_count(self):
        """Requests without a place."""
        return len(self._waiting)

    @property
    def place_count(self):
        """Places in use."""
        return len(self._pool)

    @property
    def is_idle(self):
        """Whether nobody waits for or uses a place."""
        return not self._waiting and not len(self._pool)

    def set_servers(self, servers):
        """Replace the list of engines."""
        self._pool.set_servers(servers)

    # What VMs say

    def ask(self, ask, now_ms):
        """Take a request in, or keep its place in the queue.

        Returns
        -------
        PlacementGranted or None
            The grant again, where an earlier answer was lost.
        """
        place = self._pool.find_place(ask.ask_id)
        if place is not None:
            return _grant_message(place)
        known = self._waiting.get(ask.ask_id)
        if known is None:
            known = _Waiting(ask=ask, arrived_ms=now_ms)
            self._waiting[ask.ask_id] = known
            self._next_refusal_ms = now_ms
        known.ask = ask
        return None

    def note_read(self, ask_id, now_ms):
        """Free the prefill server of a request."""
        place = self._pool.find_place(ask_id)
        if place is None or place.read_ms is not None:
            return
        place.read_ms = now_ms
        account = self._pool.find_account(place.prefill_server)
        if account is not None:
            tokens = account.reading_tokens
            account.reading.pop(ask_id, None)
            account.note_success()
            self._reading_time.note(
                tokens=tokens, took_ms=now_ms - place.granted_ms
            )

    def end(self, ask_id, now_ms, *, failed_server=''):
        """Free what a request holds; spare the server that failed it."""
        self._waiting.pop(ask_id, None)
        self._pool.free(ask_id)
        account = self._pool.find_account(failed_server)
        if account is not None:
            account.note_failure(now_ms)

    def hold(self, held, now_ms):
        """Take in all places that one VM uses, in place of those known.

        A place that was granted while the list was on its way stays.
        """
        self._pool.free_where(
            lambda place: (
                place.vm == held.vm
                and now_ms - place.granted_ms >= NOTICE_DELAY_MS
            )
        )
        for item in held.places:
            self._waiting.pop(item.ask_id, None)
            self._pool.free(item.ask_id)
            self._pool.add(
                _engine_account.Place(
                    ask_id=item.ask_id,
                    vm=held.vm,
                    vm_incarnation=held.vm_incarnation,
                    prefill_server=item.prefill_server,
                    decode_server=item.decode_server,
                    prompt_tokens=item.prompt_tokens,
                    output_tokens=item.output_tokens,
                    deadline_ms=item.deadline_ms,
                    granted_ms=now_ms,
                    read_ms=now_ms - item.writing_ms,
                )
            )

    def drop_gone(self, is_gone):
        """Free what processes hold for which ``is_gone`` says true.

        Parameters
        ----------
        is_gone : callable
            Takes a VM's name and incarnation.
        """
        self._pool.free_where(
            lambda place: is_gone(place.vm, place.vm_incarnation)
        )
        for ask_id, waiting in list(self._waiting.items()):
            if is_gone(waiting.ask.vm, waiting.ask.vm_incarnation):
                del self._waiting[ask_id]

    # Decisions

    def decide(self, now_ms):
        """Return the grants and refusals that are due.

        Returns
        -------
        list of PlacementGranted or PlacementRefused
        """
        self._pool.expire(now_ms)
        if not self._waiting:
            return []
        answers = self._refuse_hopeless(now_ms)
        for waiting in self._in_order(now_ms):
            grant = self._grant(waiting.ask, now_ms)
            if grant is None:
                break
            answers.append(grant)
        return answers

    def _in_order(self, now_ms):
        first_event_ms = self._reading_time.first_event_ms
        return sorted(
            self._waiting.values(),
            key=lambda waiting: self._order(
                waiting.ask,
                waiting.arrived_ms,
                first_event_ms(waiting.ask.prompt_tokens),
                now_ms,
            ),
        )

    def _refuse_hopeless(self, now_ms):
        if now_ms < self._next_refusal_ms:
            return []
        self._next_refusal_ms = now_ms + REFUSAL_PERIOD_MS
        kinds = self._find_refusals(now_ms)
        return [self._refuse(ask_id, kind) for ask_id, kind in kinds.items()]

    def _refuse(self, ask_id, kind):
        del self._waiting[ask_id]
        return messages.PlacementRefused(
            ask_id=ask_id,
            kind=kind,
            retry_after_ms=self._rng.randint(RETRY_FIRST_MS, RETRY_LAST_MS),
            waiting_count=len(self._waiting),
            place_count=len(self._pool),
        )

    def _find_refusals(self, now_ms):
        """Return the kinds of refusals that are due, by ask id."""
        first_event_ms = self._reading_time.first_event_ms
        kinds = {}
        late = []
        for ask_id, waiting in self._waiting.items():
            ask = waiting.ask
            event_ms = now_ms + first_event_ms(ask.prompt_tokens)
            kind = self._find_refusal(ask, event_ms)
            if kind:
                kinds[ask_id] = kind
            if event_ms > ask.target_deadline_ms:
                late.append((ask.deadline_ms, ask_id))
        for ask_id in self._find_over_limit(late):
            kinds.setdefault(ask_id, 'overloaded')
        return kinds

    def _find_over_limit(self, late):
        """Return the ids of the late asks that are too many to wait.

        Those whose callers leave first stay: most of them have come back
        after a refusal.

        Parameters
        ----------
        late : list of (int, str)
            Deadlines and ids.
        """
        server_count = len(self._pool.by_role['decode'])
        most = max(1, round(self._options.late_per_server * server_count))
        if len(late) <= most:
            return []
        return [ask_id for _, ask_id in sorted(late)[most:]]

    def _find_refusal(self, ask, event_ms):
        if event_ms >= ask.start_deadline_ms:
            return 'too-late'
        if not self._pool.by_role['decode']:
            return 'no-server'
        if ask.prompt_tokens + ask.output_tokens > self._pool.largest_tokens:
            return 'too-large'
        return ''

    # Places

    def _is_urgent(self, ask, now_ms, own_read_ms):
        """Return whether an ask should not wait for a prefill server."""
        event_ms = now_ms + own_read_ms + _reading_time.OVERHEAD_MS
        slack_ms = ask.target_deadline_ms - event_ms
        return slack_ms <= self._options.own_read_slack_ms

    def _grant(self, ask, now_ms):
        own_read_ms = self._reading_time.own_read_ms(ask.prompt_tokens)
        pair = self._pool.choose_pair(
            ask,
            now_ms,
            is_urgent=self._is_urgent(ask, now_ms, own_read_ms),
        )
        if pair is None:
            return None
        prefill, decode = pair
        del self._waiting[ask.ask_id]
        place = _engine_account.Place(
            ask_id=ask.ask_id,
            vm=ask.vm,
            vm_incarnation=ask.vm_incarnation,
            prefill_server=prefill.server.name if prefill else '',
            decode_server=decode.server.name,
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.output_tokens,
            deadline_ms=ask.deadline_ms,
            granted_ms=now_ms,
            read_ms=None if prefill else now_ms,
        )
        self._pool.add(place)
        if prefill is not None:
            prefill.reading[ask.ask_id] = place
        else:
            decode.own_read_end_ms = now_ms + own_read_ms
        return _grant_message(place)


def _grant_message(place):
    return messages.PlacementGranted(
        ask_id=place.ask_id,
        prefill_server=place.prefill_server,
        decode_server=place.decode_server,
    )
