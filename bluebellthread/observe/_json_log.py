"""Write log lines as JSON to standard output without blocking.

A rate limit bounds the number of lines.
"""

import json
import os
import sys
import time

from loguru import logger

LINES_PER_S = 150
"""Sustained rate limit of log lines, some ten times the rate that the
requests of a VM cause at the usual load."""

BURST_LINES = 600
"""Number of lines that may be written in one burst."""


class BoundedSink:
    """Writes log lines up to a rate limit and counts dropped lines.

    A line is also dropped if the descriptor does not accept it at once.

    Parameters
    ----------
    descriptor : int
        Non-blocking file descriptor to write to.
    read_clock_s : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, *, descriptor, read_clock_s=time.monotonic):
        self._descriptor = descriptor
        self._read_clock_s = read_clock_s
        self._lines_left = float(BURST_LINES)
        self._refilled_s = read_clock_s()
        self.dropped_count = 0
        self._unreported_count = 0
        self._is_line_cut = False

    def write(self, message):
        """Write a loguru message as one line of JSON, or drop it."""
        if not self._consume_line():
            self._drop()
            return
        record = message.record
        fields = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
        }
        fields.update(record['extra'])
        fields['message'] = record['message']
        if self._unreported_count:
            fields['dropped_before'] = self._unreported_count
        self._write_line(fields)

    def _write_line(self, fields):
        line = json.dumps(fields, default=str, ensure_ascii=False) + '\n'
        # A text from outside may be no valid Unicode; JSON reads what is
        # written in place of it as the same text.
        data = line.encode(errors='backslashreplace')
        if self._is_line_cut:
            data = b'\n' + data
        try:
            written_bytes = os.write(self._descriptor, data)
        except OSError:
            # The pipe is full or closed. Requests must not wait for the log.
            self._drop()
            return
        self._is_line_cut = written_bytes < len(data)
        if self._is_line_cut:
            self._drop()
            return
        self._unreported_count = 0

    def _consume_line(self):
        now_s = self._read_clock_s()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._lines_left = min(BURST_LINES, self._lines_left + refill)
        if self._lines_left < 1:
            return False
        self._lines_left -= 1
        return True

    def _drop(self):
        self.dropped_count += 1
        self._unreported_count += 1


_sinks = []


def start_json_log(level='INFO'):
    """Log events of a level and above to standard output as JSON."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = BoundedSink(descriptor=descriptor)
    _sinks[:] = [sink]
    logger.remove()
    logger.add(sink.write, level=level, format='{message}')


def read_dropped_count():
    """Return the number of lines dropped since the JSON log was started."""
    return sum(sink.dropped_count for sink in _sinks)
