"""Durations that a VM learns from its requests, for the case of a stop."""

import math
import types
import unittest

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _stop_admission
from bluebellthread import platform

GRACE_MS = 8000
TOKENS = 200
SAMPLE_COUNT = 8


class _Work(types.SimpleNamespace):
    __hash__ = object.__hash__


class TestLearnedDurations(unittest.TestCase):
    """Guards against late requests that are taken on a bound that is too low.

    Whatever does not show how long a whole answer takes may raise the bound,
    but may not make one known.
    """

    def setUp(self):
        self.schedule = routing.StopSchedule()
        self.dialect = platform.make_dialect()
        self.admission = _stop_admission.StopAdmission(
            state=types.SimpleNamespace(
                stop_schedule=self.schedule,
                table=types.SimpleNamespace(services={'s'}),
                settings=types.SimpleNamespace(vm='a'),
                view=types.SimpleNamespace(
                    members=[types.SimpleNamespace(name='b', state='alive')]
                ),
            ),
            dialect=self.dialect,
        )

    def make_request(self, *headers, took_ms=0):
        return _http_messages.Request(
            method=b'POST',
            target=b'/x',
            headers=(
                (self.dialect.token_counts, b'1000,%d' % TOKENS),
                *headers,
            ),
            body=b'',
            received_ms=_clock.read_clock_ms() - took_ms,
        )

    def note(
        self,
        took_ms,
        *headers,
        kind=routing.KIND_IDEMPOTENT,
        status=200,
        first_event_ms=None,
        has_left=False,
    ):
        """Note a request that has ended."""
        request = self.make_request(*headers, took_ms=took_ms)
        self.admission.note_ended(
            _Work(
                request=request,
                route=types.SimpleNamespace(kind=kind),
                service='s',
                begun_ms=request.received_ms,
                first_event_ms=first_event_ms,
                event_count=TOKENS if first_event_ms is not None else 0,
                exchange=types.SimpleNamespace(
                    status=status,
                    caller_gone=has_left,
                    is_complete=not has_left,
                ),
            )
        )

    def find_left_ms(self, kind=routing.KIND_IDEMPOTENT):
        """Return how long before the end a request may still begin."""
        self.schedule.begin(_clock.read_clock_ms(), grace_ms=GRACE_MS)
        end_deadline_ms = self.schedule.end_deadline_ms
        return end_deadline_ms - self.admission.find_begin_deadline_ms(
            self.make_request(),
            types.SimpleNamespace(kind=kind),
            's',
            math.inf,
        )

    def test_answers_tell_how_long_requests_take(self):
        for _ in range(SAMPLE_COUNT):
            self.note(100)
        self.assertLess(self.find_left_ms(), GRACE_MS)

    def test_callers_that_left_after_long_raise_the_bound(self):
        for _ in range(SAMPLE_COUNT):
            self.note(100)
            self.note(6000, status=None, has_left=True)
        self.assertGreaterEqual(self.find_left_ms(), 6000)

    def test_early_failures_of_servers_make_no_bound_known(self):
        for status in (400, 404, 409, 500):
            for _ in range(SAMPLE_COUNT):
                self.note(2, status=status)
        self.assertEqual(math.inf, self.find_left_ms())

    def test_resumed_streams_make_no_bound_known(self):
        for _ in range(SAMPLE_COUNT):
            self.note(
                20,
                (self.dialect.resume_after, b'19'),
                (self.dialect.resumed_attempt, b'r'),
                kind=routing.KIND_STREAM,
                first_event_ms=10,
            )
        self.assertEqual(math.inf, self.find_left_ms(routing.KIND_STREAM))


if __name__ == '__main__':
    unittest.main()
