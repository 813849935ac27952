"""Learns how long the requests to each service take at the most.

A VM that is being stopped begins only what surely ends in time, so all bounds
are meant to be too high rather than too low: an unknown duration is infinite.
"""

import collections
import math

import attrs

WINDOW_MS = 60_000
"""Requests of the last one to two windows count: on a VM with one request a
second these are dozens, and a burst before them tells little of the next."""

SAFETY_FACTOR = 2
"""A request may take this many times as long as the longest one so far."""

COUNT_MIN = 4
"""Requests that must have been measured before a bound is known."""

SAMPLE_COUNT = 64
"""Most recent requests by which it is judged how long one likely takes."""

SILENCE_MS = 1200
"""Added to each bound: a sound server may fall silent for a second or so."""


@attrs.define
class _Window:
    count: int = 0
    largest: float = 0


@attrs.define
class RecentMaximum:
    """The largest of the durations noted of late.

    Examples
    --------
    >>> longest = RecentMaximum()
    >>> for value in (30, 10, 10, 10):
    ...     longest.note(value, now_ms=0)
    >>> longest.find(now_ms=0), longest.find(now_ms=2 * WINDOW_MS)
    (30, inf)
    """

    _window: int = 0
    _current: _Window = attrs.field(factory=_Window)
    _before: _Window = attrs.field(factory=_Window)

    def note(self, value, *, now_ms, is_answered=True):
        """Note a duration.

        Parameters
        ----------
        value : float
            The duration.
        now_ms : int
            The time.
        is_answered : bool
            Whether it is that of an answer. If not, it only tells that an
            answer may take longer than those so far.
        """
        self._advance(now_ms)
        if is_answered:
            self._current.count += 1
        self._current.largest = max(self._current.largest, value)

    def find(self, *, now_ms):
        """Return the largest one; infinite if there are too few."""
        self._advance(now_ms)
        if self._current.count + self._before.count < COUNT_MIN:
            return math.inf
        return max(self._current.largest, self._before.largest)

    def _advance(self, now_ms):
        window = now_ms // WINDOW_MS
        if window == self._window:
            return
        follows = window == self._window + 1
        self._before = self._current if follows else _Window()
        self._current = _Window()
        self._window = window


@attrs.define
class _ServiceTimes:
    first_ms: RecentMaximum = attrs.field(factory=RecentMaximum)
    rest_ms_per_event: RecentMaximum = attrs.field(factory=RecentMaximum)
    whole_ms: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=SAMPLE_COUNT)
    )


class RunTimes:
    """Bounds for the time from the begin of a run to the answer's end.

    Waits for a place are not counted.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.find_need_ms('s', output_tokens=0, now_ms=0)
    inf
    >>> for _ in range(COUNT_MIN):
    ...     times.note_first('s', 50, now_ms=0)
    >>> times.find_need_ms('s', output_tokens=0, now_ms=0)
    1300
    """

    def __init__(self):
        self._services = {}

    def note_first(self, service, took_ms, *, now_ms, is_answered=True):
        """Note how long a request took to its first event.

        Parameters
        ----------
        service : str
            Name of the service.
        took_ms : int
            Time from its begin; to the whole answer if that has no events.
        now_ms : int
            The time.
        is_answered : bool
            Whether the caller has its whole answer.
        """
        self._times_of(service).first_ms.note(
            took_ms, now_ms=now_ms, is_answered=is_answered
        )

    def note_rest(
        self, service, took_ms, *, event_count, now_ms, is_answered=True
    ):
        """Note how long a stream took from its first event to its end.

        Parameters
        ----------
        event_count : int
            The events that it had, or fewer.
        """
        self._times_of(service).rest_ms_per_event.note(
            took_ms / max(1, event_count),
            now_ms=now_ms,
            is_answered=is_answered,
        )

    def find_need_ms(
        self, service, *, output_tokens, now_ms, is_prefilled=False
    ):
        """Return the longest time that a request takes; infinite if unknown.

        Streams may end before their most tokens, and an event has one token
        or more: a token takes no longer than an event.

        Parameters
        ----------
        service : str
            Name of the service.
        output_tokens : int or None
            The most tokens that the answer may have; 0 for an answer that is
            no stream; None if unknown.
        now_ms : int
            The time.
        is_prefilled : bool
            Whether most of what precedes the first event is done.
        """
        times = self._services.get(service)
        if times is None or output_tokens is None:
            return math.inf
        need_ms = 0 if is_prefilled else times.first_ms.find(now_ms=now_ms)
        if output_tokens:
            need_ms += output_tokens * times.rest_ms_per_event.find(
                now_ms=now_ms
            )
        return SILENCE_MS + SAFETY_FACTOR * need_ms

    def note_whole(self, service, took_ms, *, is_answered=True):
        """Note how long a request took in all.

        Parameters
        ----------
        service : str
            Name of the service.
        took_ms : int
            Time from its begin to its end.
        is_answered : bool
            Whether the caller has its whole answer.
        """
        samples = self._times_of(service).whole_ms
        if is_answered or took_ms > max(samples, default=math.inf):
            samples.append(took_ms)

    def find_likely_ms(self, service, *, risk):
        """Return the time that a request exceeds with some probability.

        If few were measured, further ones count as endless.

        Parameters
        ----------
        service : str
            Name of the service.
        risk : float
            The probability, from 0 to 1.

        Returns
        -------
        float
            The time in milliseconds; infinite if unknown.
        """
        times = self._services.get(service, _ServiceTimes())
        missing_count = max(0, COUNT_MIN - len(times.whole_ms))
        ordered_ms = sorted(times.whole_ms) + missing_count * [math.inf]
        index = math.ceil((1 - risk) * len(ordered_ms)) - 1
        return ordered_ms[max(0, index)]

    def keep_only(self, services):
        """Forget all services except ``services``."""
        self._services = {
            name: times
            for name, times in self._services.items()
            if name in services
        }

    def _times_of(self, service):
        return self._services.setdefault(service, _ServiceTimes())
