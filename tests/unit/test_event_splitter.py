import unittest

from hypothesis import given
from hypothesis import strategies

from bluebellthread import core

LINE_ENDS = ('\n', '\r\n', '\r')


def make_events(line_end, count=3):
    return ''.join(
        f'id: {number}{line_end}data: piece{line_end}{line_end}'
        for number in range(1, count + 1)
    ).encode()


class TestEventSplitter(unittest.TestCase):
    @given(strategies.data())
    def test_events_are_whole_however_the_bytes_arrive(self, data):
        line_end = data.draw(strategies.sampled_from(LINE_ENDS))
        stream = make_events(line_end)
        splitter = core.EventSplitter()
        passed = b''
        rest = stream
        while rest:
            count = data.draw(strategies.integers(1, len(rest)))
            passed += splitter.push(rest[:count])
            rest = rest[count:]
        self.assertEqual(stream, passed + splitter.rest)
        self.assertFalse(splitter.is_inside_event)
        self.assertEqual('3', splitter.last_id)

    # Guards against a stream with CRLF that is taken for one endless event.
    def test_cut_is_inside_an_event_with_each_line_end(self):
        for line_end in LINE_ENDS:
            whole = make_events(line_end, 2)
            event_bytes = len(whole) // 2
            for count in range(1, event_bytes - len(line_end)):
                splitter = core.EventSplitter()
                passed = splitter.push(whole[: event_bytes + count])
                self.assertEqual(whole[:event_bytes], passed)
                self.assertTrue(splitter.is_inside_event)

    def test_no_event_is_seen_in_line_ends_alone(self):
        splitter = core.EventSplitter()
        splitter.push(b'\n\n\r\n')
        self.assertFalse(splitter.has_events)
        self.assertFalse(splitter.is_inside_event)
