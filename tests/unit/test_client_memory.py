"""Memory that is held for clients, without connections."""

import unittest

from bluebellthread import core
from bluebellthread.core import _client_memory

SMALL = _client_memory.SMALL_BYTES
TOTAL = 16 * SMALL
STALL_MS = _client_memory.STALL_MS


class TestClientMemory(unittest.TestCase):
    def setUp(self):
        self.memory = core.ClientMemory(
            TOTAL, connection_max_bytes=9 * SMALL, connections_max=4
        )
        self.cut = []

    def open(self, name, now_ms=0):
        return self.memory.open(
            lambda held_bytes: self.cut.append((name, held_bytes)),
            now_ms=now_ms,
        )

    # Guards against a client that is cut off although it has just stalled,
    # or though another one has for longer.
    def test_longest_stalled_client_is_cut_off_first(self):
        shares = [self.open(name) for name in 'abc']
        for share, since_ms in zip(shares, (20, 10, None), strict=True):
            share.hold(core.KIND_ANSWER, 4 * SMALL, now_ms=0)
            share.stalled_since_ms = since_ms
        last = self.open('d')
        with self.assertRaises(core.NoMemoryLeftError):
            last.hold(core.KIND_BODY, 2 * SMALL, now_ms=9 + STALL_MS)
        self.assertEqual([], self.cut)
        last.hold(core.KIND_BODY, 2 * SMALL, now_ms=20 + STALL_MS)
        self.assertEqual([('b', 4 * SMALL)], self.cut)
        self.assertEqual(10 * SMALL, self.memory.used_bytes)
        with self.assertRaises(core.NoMemoryLeftError):
            shares[1].hold(core.KIND_BODY, 1, now_ms=0)

    # Guards against answers that are lost for requests that have not run.
    def test_client_whose_request_has_run_is_cut_off_last(self):
        answered, unread = self.open('answered'), self.open('unread')
        answered.hold(core.KIND_ANSWER, 5 * SMALL, now_ms=0)
        answered.stalled_since_ms = 0
        unread.hold(core.KIND_BODY, 5 * SMALL, now_ms=0)
        unread.stalled_since_ms = 10
        new = self.open('new')
        new.hold(core.KIND_BODY, 5 * SMALL, now_ms=10 + STALL_MS)
        self.assertEqual([('unread', 5 * SMALL)], self.cut)

    def test_nobody_is_cut_off_while_an_answer_may_wait(self):
        stalled, new = self.open('stalled'), self.open('new')
        stalled.hold(core.KIND_ANSWER, 8 * SMALL, now_ms=0)
        stalled.stalled_since_ms = 0
        with self.assertRaises(core.NoMemoryLeftError):
            new.hold(core.KIND_ANSWER, 8 * SMALL, now_ms=9**9, may_cut=False)
        self.assertEqual([], self.cut)

    # Guards against small requests that starve behind large ones.
    def test_part_is_left_to_small_requests(self):
        large = [self.open(name) for name in 'ab']
        for share in large:
            share.hold(core.KIND_BODY, 6 * SMALL, now_ms=0)
        small = self.open('c')
        small.hold(core.KIND_BODY, SMALL, now_ms=0)
        with self.assertRaises(core.NoMemoryLeftError):
            small.hold(core.KIND_BODY, SMALL + 1, now_ms=0)

    def test_bound_of_a_connection_holds(self):
        share = self.open('a')
        share.hold(core.KIND_BODY, 5 * SMALL, now_ms=0)
        with self.assertRaises(core.NoMemoryLeftError):
            share.add(core.KIND_ANSWER, 5 * SMALL, now_ms=0)
        share.close()
        self.assertEqual(0, self.memory.used_bytes)

    def test_bytes_read_ahead_cut_nobody_off(self):
        stalled = self.open('a')
        stalled.hold(core.KIND_ANSWER, 8 * SMALL, now_ms=0)
        stalled.stalled_since_ms = 0
        with self.assertRaises(core.NoMemoryLeftError):
            self.open('b').hold(
                core.KIND_AHEAD, 1, now_ms=2 * STALL_MS, is_optional=True
            )
        self.assertEqual([], self.cut)

    def test_connection_over_the_limit_displaces_a_stalled_one(self):
        shares = [self.open(name) for name in 'abcd']
        shares[2].stalled_since_ms = 0
        self.assertIsNone(self.open('e', now_ms=STALL_MS - 1))
        self.assertIsNotNone(self.open('f', now_ms=STALL_MS))
        self.assertEqual([('c', 0)], self.cut)
        self.assertEqual(1, self.memory.refused_count)

    # Guards against a client that reads promptly and is cut off, or whose
    # request runs in vain, since others upload.
    def test_small_answer_to_a_large_request_finds_room(self):
        share = self.open('a')
        share.hold(core.KIND_BODY, 2 * SMALL, now_ms=0)
        for name in 'bc':
            self.open(name).hold(core.KIND_BODY, 5 * SMALL, now_ms=0)
        share.hold(core.KIND_EVENTS, 300, now_ms=0)
        share.release(core.KIND_EVENTS)
        share.hold(core.KIND_ANSWER, 300, now_ms=0)
        with self.assertRaises(core.NoMemoryLeftError):
            share.hold(core.KIND_ANSWER, 2 * SMALL, now_ms=0)


class TestOpenConnections(unittest.TestCase):
    # Guards against idle connections that are cut off for memory which they
    # don't take, and that leave none to requests.
    def test_idle_connections_are_not_cut_off_for_memory(self):
        memory = core.ClientMemory(
            TOTAL, connections_max=8, connection_min_bytes=SMALL
        )
        cut = []
        for _ in range(7):
            share = memory.open(cut.append, now_ms=0)
            share.stalled_since_ms = 0
        busy = memory.open(cut.append, now_ms=0)
        busy.hold(core.KIND_BODY, 6 * SMALL, now_ms=2 * STALL_MS)
        with self.assertRaises(core.NoMemoryLeftError):
            busy.hold(core.KIND_BODY, 9 * SMALL, now_ms=2 * STALL_MS)
        self.assertEqual([], cut)
