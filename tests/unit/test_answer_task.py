import unittest

import trio

from bluebellthread import core
from bluebellthread.daemon import _answer_task


class LateMachine:
    """Wants its tick at a moment that has passed already."""

    deadline_ms = 0
    wake_ms = 0

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


class TestAnswerTask(unittest.TestCase):
    def test_a_wake_time_that_has_passed_is_a_tick_at_once(self):
        writer = Writer()
        machine = LateMachine(writer)
        task = _answer_task.AnswerTask(
            machine=machine,
            question=None,
            exchange=None,
            writer=writer,
            scheduler=None,
            engine=None,
            find_server=None,
            tracer=None,
            metrics=None,
        )
        trio.run(task.run)
        self.assertTrue(machine.ended)
