"""Refuses requests that end servers, at every VM alike.

All VMs tell each other which servers ended under which requests and parts of
prompts, and what was answered whole. Each decides on the same evidence, and
tells the decision too, so that a VM that starts or comes back has it at once.
"""

import contextlib

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _news_task
from bluebellthread.observe import emit
from bluebellthread.observe import events

EXPIRE_PERIOD_S = 60.0
"""How often old evidence is dropped."""

JUDGE_DELAY_S = routing.SETTLE_MS / _clock.MS_PER_S + 0.05
"""Pause between a report and the decision, so that what other VMs know of the
same parts has arrived."""

QUEUE_LENGTH = 64
RUN_BYTES = 60
PART_BYTES = 4
"""Approximate size of a run in a report, and of a part without its id."""


class ShutOuts:
    """Collects evidence about what ends servers, and acts on it.

    Parameters
    ----------
    state : EntryState
        Supplies the routes.
    news : NewsTask
        Tells other VMs.
    """

    def __init__(self, *, state, news):
        self._state = state
        self._news = news
        self._evidence = routing.CrashEvidence()
        self._waiting = {}
        self._changed = trio.Event()
        self._inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)
        evidence = self._evidence
        for topic in (
            _news_task.Topic(
                field='ends',
                key_of=lambda end: (end.vm, end.server, end.number),
                list_known=evidence.list_ends,
                learn=self._learn_end,
                size_of=_find_size,
            ),
            _news_task.Topic(
                field='survivals',
                key_of=lambda item: (
                    item.serves,
                    item.part,
                    item.software_version,
                ),
                list_known=evidence.list_survivals,
                learn=self._learn_survival,
            ),
            _news_task.Topic(
                field='shut_outs',
                key_of=lambda item: (item.serves, item.parts),
                list_known=evidence.list_all_shut_outs,
                learn=self._learn_shut_out,
            ),
        ):
            news.add_topic(topic)

    def register(self, mailboxes):
        """Route operators' messages to this task."""
        mailboxes.register(routing.ShutOutsAsk, self._inbox)
        mailboxes.register(routing.ShutOutLift, self._inbox)

    async def run(self):
        """Judge new evidence and answer operators until cancelled."""
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(nursery, self._judge_changes)
            _tasks.start_lasting(nursery, self._expire)
            await _mailboxes.handle_each(self._receive, self._handle)

    # Requests

    def note_request(self, service, parts):
        """Count a caller's request."""
        self._evidence.note_request(service, parts)

    def note_survived(self, service, parts, software_version):
        """Note that a server has answered a request whole."""
        now_ms = _clock.read_clock_ms()
        survivals = self._evidence.note_survived(
            service, parts, software_version, now_ms
        )
        self._tell_survivals(survivals)

    def note_end(self, report):
        """Note that a server ended, as this VM has found out."""
        if self._learn_end(report, report.vm, _clock.read_clock_ms()):
            self._news.tell('ends', [report])

    def find(self, service, parts):
        """Return the `ShutOut` that a request meets, or None."""
        now_ms = _clock.read_clock_ms()
        return self._evidence.find_shut_out(service, parts, now_ms)

    def is_suspicious(self, service, parts):
        """Return whether a request may be what has ended its server."""
        now_ms = _clock.read_clock_ms()
        return self._evidence.is_suspicious(service, parts, now_ms)

    @contextlib.contextmanager
    def waiting(self, service, parts):
        """Return a cancel scope that ends when the parts are shut out."""
        with trio.CancelScope() as scope:
            self._waiting[scope] = (service, parts)
            try:
                yield scope
            finally:
                del self._waiting[scope]

    # Operators

    def list_all(self):
        """Return the shut-outs in force, as a tuple."""
        return tuple(self._evidence.list_shut_outs(_clock.read_clock_ms()))

    def lift(self, service, parts):
        """Lift the shut-outs that name one of the parts; return them."""
        vm, now_ms = self._state.settings.vm, _clock.read_clock_ms()
        lifted = self._evidence.lift(service, parts, now_ms)
        for item in lifted:
            self._log_shut_out(item, vm)
        self._news.tell('shut_outs', lifted)
        return tuple(lifted)

    def _handle(self, inbound):
        message = inbound.message
        lifted = ()
        if isinstance(message, routing.ShutOutLift):
            lifted = self.lift(message.serves, message.parts)
        inbound.answer(
            routing.ShutOutsAnswer(shut_outs=self.list_all(), lifted=lifted)
        )

    # Evidence

    def _learn_end(self, report, vm, now_ms):
        del vm
        if not self._evidence.add_end(report, now_ms):
            return False
        survivals = self._evidence.find_survivals(report, now_ms)
        self._tell_survivals(survivals)
        self._changed.set()
        return True

    def _tell_survivals(self, survivals):
        self._news.tell('survivals', survivals)
        for survival in survivals:
            self._log_survival(survival, self._state.settings.vm)

    def _learn_survival(self, survival, vm, now_ms):
        if not self._evidence.add_survival(survival, now_ms):
            return False
        self._log_survival(survival, vm)
        return True

    def _log_survival(self, survival, vm):
        emit(
            events.PART_SURVIVED,
            part=survival.part,
            service=survival.serves,
            version=survival.software_version,
            vm=vm,
        )

    def _learn_shut_out(self, item, vm, now_ms):
        if not self._evidence.add_shut_out(item, now_ms):
            return False
        self._log_shut_out(item, vm)
        self._refuse_waiting()
        return True

    def _log_shut_out(self, item, vm):
        parts = ','.join(item.parts)
        if item.is_lifted:
            emit(events.PARTS_LIFTED, service=item.serves, parts=parts, vm=vm)
            return
        emit(
            events.PARTS_SHUT_OUT,
            service=item.serves,
            parts=parts,
            vm=vm,
            attempts=item.attempt_count,
            engines=','.join(item.engines),
            versions=','.join(item.software_versions),
        )

    def _refuse_waiting(self):
        for scope, (service, parts) in list(self._waiting.items()):
            if self.find(service, parts) is not None:
                scope.cancel()

    async def _judge_changes(self):
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await trio.sleep(JUDGE_DELAY_S)
            found = self._evidence.judge(_clock.read_clock_ms())
            for item in found:
                self._log_shut_out(item, self._state.settings.vm)
            self._news.tell('shut_outs', found)
            self._refuse_waiting()

    async def _expire(self):
        while True:
            await trio.sleep(EXPIRE_PERIOD_S)
            self._evidence.expire(_clock.read_clock_ms())
            self._evidence.keep_services(self._state.table.services)


def _find_size(end):
    """Return the approximate size of an `EngineEnded` in bytes."""
    return _news_task.ITEM_BYTES + sum(
        RUN_BYTES + sum(PART_BYTES + len(part) for part in run.parts)
        for run in end.runs
    )
