import datetime
import json
import os
import unittest

from bluebellthread.observe import _json_log


class Record:
    """Fake loguru message with the fields that the sink reads."""

    def __init__(self, text):
        self.record = {
            'time': datetime.datetime(2026, 1, 1),
            'level': type('Level', (), {'name': 'INFO'}),
            'extra': {'event': 1, 'vm': 'vm1'},
            'message': text,
        }


class TestBoundedSink(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        self.now_s = 0.0
        self.sink = _json_log.BoundedSink(
            descriptor=writer, read_clock_s=lambda: self.now_s
        )

    def read_lines(self):
        data = os.read(self.reader, 1 << 20).decode()
        return [json.loads(line) for line in data.splitlines()]

    def test_line_contains_fields_and_message(self):
        self.sink.write(Record('E1 hello'))
        (line,) = self.read_lines()
        self.assertEqual(1, line['event'])
        self.assertEqual('E1 hello', line['message'])

    # Guards against a line that is lost because of a name from outside.
    def test_text_that_is_no_valid_unicode_is_written(self):
        self.sink.write(Record('server \ud800 \xe4'))
        (line,) = self.read_lines()
        self.assertEqual('server \ud800 \xe4', line['message'])

    def test_lines_over_the_limit_are_counted_and_reported(self):
        for _ in range(_json_log.BURST_LINES + 3):
            self.sink.write(Record('x'))
        self.assertEqual(3, self.sink.dropped_count)
        self.read_lines()
        self.now_s += 1.0
        self.sink.write(Record('y'))
        (line,) = self.read_lines()
        self.assertEqual(3, line['dropped_before'])

    # Guards against a line that is glued to a long one, of which a nearly full
    # pipe has taken a part only.
    def test_line_after_a_cut_one_is_whole(self):
        text = 'x' * 5000
        while not self.sink.dropped_count:
            self.sink.write(Record(text))
        data = os.read(self.reader, 1 << 20)
        self.sink.write(Record('after'))
        data += os.read(self.reader, 1 << 20)
        last = data.decode().splitlines()[-1]
        self.assertEqual('after', json.loads(last)['message'])

    def test_sink_does_not_block_on_a_full_pipe(self):
        text = 'x' * 4000
        for _ in range(100):
            self.sink.write(Record(text))
        self.assertGreater(self.sink.dropped_count, 0)
