"""Spans of time in which a process or a link was disturbed."""

import contextlib
import math

import attrs
import trio


@attrs.define
class Spans:
    """Records when something was disturbed, as pairs of begin and end.

    Examples
    --------
    >>> spans = Spans([[3.0, 5.0]])
    >>> spans.touches(4.0, 9.0), spans.touches(5.5, 9.0)
    (True, False)
    """

    _spans: list = attrs.field(factory=list)

    def note(self):
        """Record a disturbance that takes no time, such as a signal."""
        now_s = trio.current_time()
        self._spans.append([now_s, now_s])

    @contextlib.contextmanager
    def span(self):
        """Record that the ``with`` body disturbs."""
        entry = [trio.current_time(), math.inf]
        self._spans.append(entry)
        try:
            yield
        finally:
            entry[1] = trio.current_time()

    def covers(self, begin_s, end_s):
        """Return whether one disturbance lasted from begin to end."""
        return any(
            begun_s <= begin_s and ended_s >= end_s
            for begun_s, ended_s in self._spans
        )

    def touches(self, begin_s, end_s):
        """Return whether there was a disturbance from begin to end."""
        return any(
            begun_s <= end_s and ended_s >= begin_s
            for begun_s, ended_s in self._spans
        )

    def clip(self, begin_s, end_s):
        """Return the parts from begin to end, as pairs of begin and end.

        Examples
        --------
        >>> Spans([[3.0, 5.0], [6.0, 7.0]]).clip(4.0, 6.5)
        [(4.0, 5.0), (6.0, 6.5)]
        """
        return [
            (max(begun_s, begin_s), min(ended_s, end_s))
            for begun_s, ended_s in self._spans
            if begun_s <= end_s and ended_s >= begin_s
        ]

    def longest_s(self, begin_s, end_s):
        """Return the whole length of the longest one from begin to end."""
        return max(
            (
                ended_s - begun_s
                for begun_s, ended_s in self._spans
                if begun_s <= end_s and ended_s >= begin_s
            ),
            default=0.0,
        )
