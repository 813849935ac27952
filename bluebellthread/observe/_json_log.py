"""Log lines as JSON on standard output, bounded and never waiting."""

import json
import os
import sys
import time

from loguru import logger

LINES_PER_S = 150
"""Lines a second that are written in the long run, some ten times what a
VM's requests cause at the usual load."""

BURST_LINES = 600
"""Lines that may be written at once."""


class BoundedSink:
    """Writes lines while there is room, and counts the others.

    Parameters
    ----------
    descriptor : int
        Where to write.
    read_clock_s : callable
        A clock that never goes back.
    """

    def __init__(self, *, descriptor, read_clock_s=time.monotonic):
        self._descriptor = descriptor
        self._read_clock_s = read_clock_s
        self._lines_left = float(BURST_LINES)
        self._filled_s = read_clock_s()
        self.dropped_count = 0
        self._unreported = 0

    def write(self, message):
        """Write one loguru message."""
        if not self._take_line():
            self._drop()
            return
        record = message.record
        fields = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
        }
        fields.update(record['extra'])
        fields['message'] = record['message']
        if self._unreported:
            fields['dropped_before'] = self._unreported
        self._write_line(fields)

    def _write_line(self, fields):
        line = json.dumps(fields, default=str, ensure_ascii=False) + '\n'
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            # The reader is too slow or gone; requests must not wait for it.
            self._drop()
            return
        self._unreported = 0

    def _take_line(self):
        now_s = self._read_clock_s()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._filled_s = now_s
        self._lines_left = min(BURST_LINES, self._lines_left + gained)
        if self._lines_left < 1:
            return False
        self._lines_left -= 1
        return True

    def _drop(self):
        self.dropped_count += 1
        self._unreported += 1


_sinks = []


def start_json_log(level='INFO'):
    """Send events of a level and above to standard output as JSON."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = BoundedSink(descriptor=descriptor)
    _sinks[:] = [sink]
    logger.remove()
    logger.add(sink.write, level=level, format='{message}')


def read_dropped_count():
    """Return how many lines have been dropped since the start."""
    return sum(sink.dropped_count for sink in _sinks)
