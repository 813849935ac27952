"""What an unexpected error in a task ends."""

import ast
import pathlib
import unittest

import trio
import trio.testing

import bluebellthread
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _path_watch
from bluebellthread.entry import _server_watch

TIMEOUT_S = 5.0
PACKAGE = pathlib.Path(bluebellthread.__file__).parent
STARTERS = PACKAGE / 'daemon' / '_tasks.py'


def list_direct_starts(path):
    """Return the lines of a file on which a nursery itself starts a task."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    return [
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and node.attr == 'start_soon'
    ]


class TestTasks(unittest.TestCase):
    def run_limited(self, function, *arguments):
        async def run():
            with trio.fail_after(TIMEOUT_S):
                await function(*arguments)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    # Guards against a task that states nothing, and whose error then ends
    # the process with all requests.
    def test_every_task_states_what_its_error_ends(self):
        self.assertTrue(list_direct_starts(STARTERS))
        for path in sorted(PACKAGE.rglob('*.py')):
            if path != STARTERS:
                with self.subTest(str(path.relative_to(PACKAGE))):
                    self.assertEqual([], list_direct_starts(path))

    # Guards against a process that ends by an error in the work for one
    # server.
    def test_error_of_an_isolated_task_ends_no_other(self):
        async def check():
            before = _tasks.read_failure_count()
            ended = trio.Event()

            async def fail():
                raise ValueError('a bug')

            async def fail_within():
                async with trio.open_nursery() as nursery:
                    _tasks.start_joined(nursery, fail)
                    _tasks.start_joined(nursery, trio.sleep_forever)

            async def go_on():
                await trio.sleep(1)
                ended.set()

            async with trio.open_nursery() as nursery:
                _tasks.start_isolated(nursery, go_on, subject='server a')
                _tasks.start_isolated(nursery, fail, subject='server b')
                _tasks.start_isolated(nursery, fail_within, subject='server c')
            self.assertTrue(ended.is_set())
            self.assertEqual(before + 2, _tasks.read_failure_count())

        self.run_limited(check)

    # Guards against a process that no longer does a part of its work.
    def test_lasting_task_starts_again_after_an_error(self):
        async def check():
            starts_s = []

            async def fail_twice():
                starts_s.append(trio.current_time())
                if len(starts_s) < 3:
                    raise KeyError('a bug')

            async with trio.open_nursery() as nursery:
                _tasks.start_lasting(nursery, fail_twice)
            pause_s = _tasks.RESTART_PAUSE_S
            self.assertEqual(
                [0.0, pause_s, 2 * pause_s],
                [start_s - starts_s[0] for start_s in starts_s],
            )

        self.run_limited(check)

    # Guards against a broken process that goes on.
    def test_fatal_error_ends_every_kind_of_task(self):
        async def fail():
            raise MemoryError

        async def run_isolated():
            async with trio.open_nursery() as nursery:
                _tasks.start_isolated(nursery, fail, subject='server a')

        async def run_lasting():
            async with trio.open_nursery() as nursery:
                _tasks.start_lasting(nursery, fail)

        async def run_message():
            send, receive = trio.open_memory_channel(1)
            send.send_nowait(_mailboxes.InboundMessage(None, None))
            send.close()

            def handle(inbound):
                raise MemoryError

            async with trio.open_nursery() as nursery:
                _tasks.start_joined(
                    nursery, _mailboxes.handle_each, receive, handle
                )

        for run in (run_isolated, run_lasting, run_message):
            with self.subTest(run.__name__):
                with self.assertRaises(BaseExceptionGroup) as caught:
                    self.run_limited(run)
                self.assertIsNotNone(caught.exception.subgroup(MemoryError))

    # Guards against an error that a cancelled nursery hides or passes on.
    def test_cancelled_task_is_no_failure(self):
        async def check():
            before = _tasks.read_failure_count()

            async def fail_when_cancelled():
                try:
                    await trio.sleep_forever()
                finally:
                    raise ValueError('a bug while it ends')

            async with trio.open_nursery() as nursery:
                _tasks.start_isolated(
                    nursery, trio.sleep_forever, subject='server a'
                )
                _tasks.start_isolated(
                    nursery, fail_when_cancelled, subject='server b'
                )
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            self.assertTrue(nursery.cancel_scope.cancelled_caught)
            self.assertEqual(before + 1, _tasks.read_failure_count())

        self.run_limited(check)


class _BrokenWatch:
    """Stands in for the paths and the list of servers, with a bug."""

    directory = property(lambda self: self)

    def find_departure(self, name, now_ms):
        raise KeyError(name)

    def usable(self, service):
        raise KeyError(service)


class _Server:
    name = 's1'
    service = 'plain'
    incarnation = 1
    host = '127.0.0.1'
    port = 1


class TestWaits(unittest.TestCase):
    # Guards against requests that wait for a check that has failed.
    def test_failed_check_of_a_server_lets_nobody_wait(self):
        async def check():
            broken = _BrokenWatch()
            watch = _server_watch.ServerWatch(
                state=broken, paths=broken, report=None
            )
            async with trio.open_nursery() as nursery:
                _tasks.start_joined(nursery, watch.run)
                await trio.testing.wait_all_tasks_blocked()
                with watch.track(_Server, 'id-1', ()) as run:
                    run.is_cut = True
                with trio.fail_after(TIMEOUT_S):
                    self.assertFalse(await watch.wait_checked(run))
                nursery.cancel_scope.cancel()

        trio.run(check)

    # Guards against a check that ends the watch, or stays for good.
    def test_failed_check_of_a_service_lets_nobody_wait(self):
        async def check():
            before = _tasks.read_failure_count()
            watch = _path_watch.PathWatch(
                state=_BrokenWatch(), connections=None, rng=None
            )
            async with trio.open_nursery() as nursery:
                _tasks.start_joined(nursery, watch.run)
                await trio.testing.wait_all_tasks_blocked()
                for number in (1, 2):
                    with trio.fail_after(TIMEOUT_S):
                        await watch.is_confirmed_lost(_Server)
                    await trio.testing.wait_all_tasks_blocked()
                    # The next one is a check of its own.
                    self.assertEqual(
                        before + number, _tasks.read_failure_count()
                    )
                nursery.cancel_scope.cancel()

        trio.run(check)
