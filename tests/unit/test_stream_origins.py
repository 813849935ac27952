import types
import unittest
from unittest import mock

import trio
import trio.testing

from bluebellthread.core import routing
from bluebellthread.core.routing import _stream_origins
from bluebellthread.daemon import _peers
from bluebellthread.entry import _stream_origins as tasks

LIFE_MS = routing.STREAM_LIFE_MS


def make_origin(attempt_id, *, service='s', version='v1', keep_deadline_ms=9):
    return routing.StreamOrigin(
        attempt_id=attempt_id,
        serves=service,
        software_version=version,
        keep_deadline_ms=keep_deadline_ms,
    )


class TestOriginRecords(unittest.TestCase):
    def test_record_is_found_until_its_deadline(self):
        records = routing.OriginRecords()
        origin = make_origin('a', keep_deadline_ms=10)
        records.add(origin, 0)
        self.assertEqual(origin, records.find('a', 9))
        self.assertIsNone(records.find('a', 10))
        self.assertIsNone(records.find('b', 0))

    def test_repeated_record_is_kept_longer_and_never_changes(self):
        records = routing.OriginRecords()
        records.add(make_origin('a', keep_deadline_ms=20), 0)
        records.add(make_origin('a', version='v2', keep_deadline_ms=30), 0)
        self.assertEqual('v1', records.find('a', 25).software_version)
        records.add(make_origin('a', keep_deadline_ms=5), 0)
        self.assertIsNotNone(records.find('a', 25))

    def test_records_of_a_service_are_listed(self):
        records = routing.OriginRecords()
        for name, service in (('a', 's'), ('b', 't'), ('c', 's')):
            records.add(make_origin(name, service=service), 0)
        listed = [item.attempt_id for item in records.list_of('s', 0)]
        self.assertEqual(['a', 'c'], listed)
        self.assertEqual([], records.list_of('s', 9))

    def test_oldest_records_give_way(self):
        records = routing.OriginRecords()
        with mock.patch.object(_stream_origins, 'ORIGIN_COUNT_MAX', 2):
            for name in 'abc':
                records.add(make_origin(name), 0)
        self.assertEqual(2, len(records))
        self.assertIsNone(records.find('a', 0))
        records.add(make_origin('d', keep_deadline_ms=50), 20)
        self.assertEqual(1, len(records))


class TestLongIds(unittest.TestCase):
    # Guards against records, and messages, as long as callers' ids.
    def test_long_id_is_found_by_what_stands_for_it(self):
        long = 15_000 * 'i'
        short = routing.shorten_attempt_id(long)
        self.assertLessEqual(
            len(short), _stream_origins.ATTEMPT_ID_MAX_CHARACTERS
        )
        self.assertEqual(short, routing.shorten_attempt_id(short))
        self.assertNotEqual(short, routing.shorten_attempt_id(long + 'i'))
        self.assertEqual('\xe9a', routing.shorten_attempt_id('\xe9a'))


class TestVersionHistory(unittest.TestCase):
    def test_process_that_has_just_started_does_not_know_all(self):
        history = routing.VersionHistory(is_first_start=False)
        self.assertFalse(history.knows_all(0))
        history.note_list(0)
        history.note_answered(LIFE_MS)
        self.assertFalse(history.knows_all(LIFE_MS - 1))
        self.assertTrue(history.knows_all(LIFE_MS))

    def test_first_start_of_the_system_has_no_older_versions(self):
        history = routing.VersionHistory(is_first_start=True)
        self.assertFalse(history.knows_all(0))
        history.note_list(5)
        history.note_answered(5)
        self.assertTrue(history.knows_all(5))

    def test_changes_before_a_list_is_read_again_are_unknown(self):
        history = routing.VersionHistory(is_first_start=True)
        history.note_list(0)
        history.note_list(100)
        history.note_answered(100 + LIFE_MS)
        self.assertFalse(history.knows_all(100))
        self.assertTrue(history.knows_all(100 + LIFE_MS))

    # Guards against refusals of all streams that are taken up in the 30 s
    # after the platform has dropped its history, as all VMs read then.
    def test_list_read_again_just_after_an_answer_hides_nothing(self):
        history = routing.VersionHistory(is_first_start=True)
        history.note_list(0)
        history.note_answered(0)
        again_ms = _stream_origins.LIST_AGE_MAX_MS
        history.note_failed()
        history.note_list(again_ms)
        self.assertFalse(history.knows_all(again_ms))
        history.note_answered(again_ms)
        self.assertTrue(history.knows_all(again_ms))

    def test_list_read_again_after_a_longer_silence_hides_changes(self):
        history = routing.VersionHistory(is_first_start=True)
        history.note_list(0)
        history.note_answered(0)
        again_ms = _stream_origins.LIST_AGE_MAX_MS + 1
        history.note_list(again_ms)
        history.note_answered(again_ms)
        self.assertFalse(history.knows_all(again_ms))

    def test_list_of_a_restored_platform_hides_changes(self):
        history = routing.VersionHistory(is_first_start=True)
        history.note_list(0)
        history.note_answered(0)
        history.note_list(1, is_restored=True)
        history.note_answered(1)
        self.assertFalse(history.knows_all(1))

    def test_vm_that_the_platform_turns_away_does_not_know_all(self):
        history = routing.VersionHistory(is_first_start=True)
        history.note_list(0)
        history.note_answered(0)
        self.assertTrue(history.knows_all(_stream_origins.LIST_AGE_MAX_MS))
        self.assertFalse(
            history.knows_all(_stream_origins.LIST_AGE_MAX_MS + 1)
        )
        history.note_failed()
        self.assertFalse(history.knows_all(1))
        history.note_answered(2)
        self.assertTrue(history.knows_all(3))

    def test_version_counts_until_no_stream_of_it_is_taken_up(self):
        history = routing.VersionHistory(is_first_start=True)
        history.note_versions([('s', 'v1'), ('t', 'v3')], 0)
        history.note_versions([('s', 'v2')], 10)
        self.assertEqual(('v1', 'v2'), history.find_recent('s', LIFE_MS))
        self.assertEqual(('v2',), history.find_recent('s', LIFE_MS + 1))
        self.assertEqual((), history.find_recent('u', 0))


class _Links:
    """Links to VMs that never answer."""

    def __init__(self):
        self.calls = []

    async def call(self, member, message, *, deadline_ms):
        del message, deadline_ms
        self.calls.append(member.name)
        raise _peers.PeerUnreachableError(member.name, 'closed')


class TestOlderBuilds(unittest.TestCase):
    # Guards against connections to older builds that are closed by each
    # message that these do not know.
    def test_vm_that_does_not_answer_is_not_probed_again_at_once(self):
        member = types.SimpleNamespace(name='vm2', incarnation=1)
        state = types.SimpleNamespace(settings=types.SimpleNamespace(vm='vm1'))
        links = _Links()
        origins = tasks.StreamOrigins(state=state, links=links, client=None)

        async def tell(now_ms):
            with mock.patch.object(
                tasks._clock, 'read_clock_ms', lambda: now_ms
            ):
                await origins._tell(member, 's', [make_origin('a')])

        for now_ms, call_count in (
            (0, 1),
            (999, 1),
            (1000, 2),
            (2999, 2),
            (3000, 3),
        ):
            trio.run(tell, now_ms)
            self.assertEqual(call_count, len(links.calls))


class _SlowLinks:
    """Links to a VM that answers each call once it may."""

    def __init__(self, answer):
        self.may_answer = trio.Event()
        self._answer = answer

    async def call(self, member, message, *, deadline_ms):
        del member, message, deadline_ms
        await self.may_answer.wait()
        return self._answer


class TestFirstCalls(unittest.TestCase):
    # Guards against a question that is not asked as another is on its way.
    def test_vm_is_asked_while_its_first_answer_is_awaited(self):
        answer = routing.OriginAnswer(
            origins=(), versions=(), knows_all_versions=False
        )
        member = types.SimpleNamespace(name='vm2', incarnation=1)
        question = routing.OriginAsk(attempt_id='a', serves='s')
        answers = []

        async def main():
            links = _SlowLinks(answer)
            origins = tasks.StreamOrigins(state=None, links=links, client=None)

            async def ask():
                answers.append(await origins._call(member, question))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                nursery.start_soon(ask)
                await trio.testing.wait_all_tasks_blocked()
                links.may_answer.set()

        trio.run(main)
        self.assertEqual([answer, answer], answers)
