import types
import unittest

import trio

from bluebellthread import core
from bluebellthread.daemon import _answer_task
from bluebellthread.daemon import _clock

from tests.unit import _pool
from tests.unit import _requests


class LateMachine:
    """State machine whose wake time has already passed."""

    deadline_ms = 0
    next_tick_ms = 0

    def __init__(self, writer):
        self.ended = False
        self._writer = writer

    def handle(self, event, now_ms):
        if isinstance(event, core.Tick):
            self.ended = True
            self._writer.ended.set()
        return []


class Writer:
    def __init__(self):
        self.ended = trio.Event()

    async def run(self):
        await self.ended.wait()

    def refuse(self, refusal):
        self.ended.set()


class LateScheduler:
    """Scheduler that grants a permit just after the request is superseded."""

    def __init__(self):
        self.released_ids = []

    def request_permit(self, request, answer, *, traceparent):
        answer(core.Superseded())
        permit = _pool.make_permit(
            'vm2-5-1', 'r1', attempt_number=request.attempt_number
        )
        answer(
            core.PermitGranted(
                permit=permit, scheduler='vm2', scheduler_incarnation=5
            )
        )
        return trio.CancelScope()

    def report(self, message):
        self.released_ids.append(message.permit_id)


def make_task(machine, writer, scheduler=None):
    return _answer_task.AnswerTask(
        machine=machine,
        completion_request=None,
        exchange=types.SimpleNamespace(traceparent=''),
        writer=writer,
        scheduler=scheduler,
        engine=None,
        find_server=None,
        tracer=None,
        metrics=None,
        stop_admission=None,
    )


class TestAnswerTask(unittest.TestCase):
    def test_past_wake_time_sends_a_tick_at_once(self):
        writer = Writer()
        machine = LateMachine(writer)
        trio.run(make_task(machine, writer).run)
        self.assertTrue(machine.ended)

    def test_permit_granted_after_the_request_ended_is_released(self):
        scheduler = LateScheduler()
        request = _requests.make_request(
            'r1', deadline_ms=_clock.read_clock_ms() + 60000
        )
        machine = core.AnswerMachine(
            request=request,
            prompt='a lost wig',
            budget=core.RetryBudget(percent=10),
            next_attempt=lambda: 1,
        )
        trio.run(make_task(machine, Writer(), scheduler).run)
        self.assertEqual(['vm2-5-1'], scheduler.released_ids)
