"""Callers of a soak test that go on at VMs through their whole stops."""

import functools
import math
import random

import attrs
import trio

from tests.integration import _entry_site
from tests.soak import _callers
from tests.soak import _site

DEADLINE_MS = 12000
"""Longer than a stop: it is the stop that ends these requests, if any does."""

HEAD_MAX_S = 2.0
BODY_MAX_S = 5.0
"""Longest times over which a head and a body are sent: shorter than those
after which a VM gives up reading either."""

PIECES = 8
PADDING = b'.' * 40
"""Begins each body, so that it can be sent in pieces."""

AHEAD_MAX = 3
STOPPING_SHARE = 0.7
"""Share of choices at which a VM that is being stopped is preferred."""

CLOSE_WAIT_S = 2.0
KINDS = ('ask', 'ask', 'once', 'order', 'read')

MANNERS = ('trickle', 'ahead', 'anew', 'hold')
"""Ways to call: bytes that come late; requests written while the answer to
the one before runs; a new connection for each; a connection that is kept until
the VM closes it."""


@attrs.frozen(kw_only=True)
class Sending:
    """How the bytes of a request are sent.

    Parameters
    ----------
    pause_s : float
        Pause before the first byte.
    head_s, body_s : float
        Time over which the head and then the body are sent; 0 for at once.
    """

    pause_s: float = 0.0
    head_s: float = 0.0
    body_s: float = 0.0

    def cut(self, data):
        """Return the pieces of a request, each with the pause before it."""
        head, end, body = data.partition(b'\r\n\r\n')
        if not self.head_s and not self.body_s:
            return [(0.0, data)]
        return [
            (duration_s / PIECES, piece)
            for duration_s, part in (
                (self.head_s, head + end),
                (self.body_s, body),
            )
            for piece in _cut(part)
        ]


def _cut(data):
    """Return the pieces of some bytes, `PIECES` at the most."""
    length = math.ceil(len(data) / PIECES)
    return [
        data[start : start + length] for start in range(0, len(data), length)
    ]


class StopCallers:
    """Sends requests as `MANNERS` says; `Callers` keeps the records.

    Parameters
    ----------
    callers : Callers
        Keeps the records and says when to stop.
    seed : int
        Seed of the requests.
    """

    def __init__(self, callers, seed):
        self._callers = callers
        self._site = callers.site
        self._seed = seed

    async def run_caller(self, number):
        """Call in one manner, one connection after another."""
        manner = MANNERS[number % len(MANNERS)]
        talk = _Talk(
            callers=self._callers,
            rng=random.Random(f'{self._seed} stop caller {number}'),
            manner=manner,
            name=f's{number}',
        )
        vm = None
        while not self._callers.is_stopped:
            stays = manner in ('anew', 'hold')
            if vm is None or not stays or talk.must_move(vm):
                vm = talk.choose_vm()
            await talk.connect_and_call(vm)
            await trio.sleep(talk.rng.uniform(0.02, 0.1))


@attrs.define(kw_only=True)
class _Talk:
    """What one caller says, on one connection at a time."""

    callers: object
    rng: random.Random
    manner: str
    name: str
    _count: int = 0
    _run: object = None
    _broken: object = None

    def must_move(self, vm):
        """Return whether the VM has restarted, or has broken a stream."""
        return vm.runs[-1] is not self._run or self._broken is not None

    def choose_vm(self):
        """Choose a VM; another one than that of a broken stream."""
        vms = self.callers.site.vms
        if self._broken is not None:
            vms = [vm for vm in vms if vm.name != self._broken.vm]
        stopping = [vm for vm in vms if vm.runs[-1].is_stopping]
        if stopping and self.rng.random() < STOPPING_SHARE:
            vms = stopping
        vm = self.rng.choice(vms)
        self._run = vm.runs[-1]
        return vm

    async def connect_and_call(self, vm):
        """Call on a new connection until it is closed, or once."""
        try:
            caller = await self.callers.connect(vm)
        except OSError:
            # The VM starts; `Callers.refusals` has it otherwise.
            return
        async with caller:
            if self.manner == 'hold':
                while await self._exchange(caller, vm):
                    if self.callers.is_stopped:
                        return
                    pause_s = self.rng.choice((0.05, 0.3, 3.0))
                    await trio.sleep(self.rng.uniform(0.0, pause_s))
            else:
                await self._exchange(caller, vm)

    def _plan(self):
        if self.manner == 'trickle':
            return [
                Sending(
                    head_s=self.rng.uniform(0.0, HEAD_MAX_S),
                    body_s=self.rng.uniform(0.5, BODY_MAX_S),
                )
            ]
        if self.manner == 'ahead':
            count = self.rng.randint(2, AHEAD_MAX)
            return [
                Sending(pause_s=self.rng.choice((0.0, 0.02, 0.5)))
                for _ in range(count)
            ]
        return [Sending()]

    async def _exchange(self, caller, vm):
        """Send requests and read answers; return whether to go on."""
        exchange = Exchange(
            callers=self.callers,
            caller=caller,
            make_record=functools.partial(self._make_record, vm),
            close_wait_s=_site.STOP_GRACE_S
            if self.manner == 'hold'
            else CLOSE_WAIT_S,
        )
        goes_on = await exchange.run(self._plan())
        # A stream is taken up again once.
        self._broken = next(
            filter(_callers.is_broken_stream, exchange.records), None
        )
        return goes_on and self._broken is None

    def _make_record(self, vm, *, is_kept):
        self._count += 1
        record = _callers.CallRecord(
            request_id=f'{self.name}-{self._count}',
            kind=self.rng.choice(KINDS),
            vm=vm.name,
            begun_s=trio.current_time(),
            is_kept=is_kept,
            deadline_ms=DEADLINE_MS,
            manner=self.manner,
        )
        if self._broken is not None:
            record.take_up(self._broken)
            self._broken = None
        return record


@attrs.define(kw_only=True)
class Exchange:
    """Some requests that are written while the answers are read in turn.

    Parameters
    ----------
    callers : Callers
        Keeps the records and says when to stop.
    caller : Caller
        The connection.
    make_record : callable
        Returns the record of the next request; takes ``is_kept``.
    close_wait_s : float
        Time in which a connection may end after an answer that says so.

    Attributes
    ----------
    records : list of CallRecord
        The requests that were begun.
    """

    callers: object
    caller: object
    make_record: object
    close_wait_s: float = CLOSE_WAIT_S
    records: list = attrs.field(factory=list, init=False)

    async def run(self, sendings):
        """Send requests and read answers; return whether to go on."""
        send, receive = trio.open_memory_channel(len(sendings))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all, sendings, send)
            goes_on = await self._read_answers(receive)
            nursery.cancel_scope.cancel()
        now_s = trio.current_time()
        for record in self.records:
            if record.ended_s is None:
                record.ended_s = now_s
        return goes_on

    async def _send_all(self, sendings, channel):
        async with channel:
            for index, sending in enumerate(sendings):
                if index and self.callers.is_stopped:
                    return
                await trio.sleep(sending.pause_s)
                record = self.make_record(is_kept=index > 0)
                self.records.append(record)
                self.callers.records.append(record)
                await channel.send(record)
                try:
                    await self._send(record, sending)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    # The VM may have answered and closed before.
                    return

    async def _send(self, record, sending):
        data = _entry_site.make_request(
            *_callers.line_of(record),
            PADDING + record.request_id.encode(),
            request_id=record.request_id,
            deadline_ms=record.deadline_ms,
            headers=_callers.make_headers(record),
        )
        for pause_s, piece in sending.cut(data):
            if not self.callers.is_stopped:
                await trio.sleep(pause_s)
            await self.caller.stream.send_all(piece)
        record.sent_s = trio.current_time()

    async def _read_answers(self, channel):
        """Read the answers in turn; return whether the connection lasts."""
        turn_s = -math.inf
        async for record in channel:
            record.turn_s = turn_s
            limit_s = record.deadline_ms / 1000 + 2
            is_whole = False
            with trio.move_on_after(limit_s):
                is_whole = await _callers.read_answer(self.caller, record)
            turn_s = record.ended_s = trio.current_time()
            if is_whole and not record.closes:
                continue
            if is_whole:
                with trio.move_on_after(self.close_wait_s):
                    record.brings_more = await self.caller.has_more()
            index = self.records.index(record)
            for other in self.records[index + 1 :]:
                other.is_behind_end = True
            return False
        return True


def start_callers(nursery, callers, seed, count):
    """Start some callers, of all manners in turn."""
    stop_callers = StopCallers(callers, seed)
    for number in range(count):
        nursery.start_soon(functools.partial(stop_callers.run_caller, number))
