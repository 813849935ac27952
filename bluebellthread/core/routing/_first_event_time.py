"""Learn how long after its grant a request gets its first event.

The load pattern: in a burst, requests wait for engines until shortly before
their target. An estimate of the mean would let half of them miss it by little,
and each of them would delay requests that can still be on time.
"""

from bluebellthread.core import _registry
from bluebellthread.core.routing import _prefill_time

first_event_times = _registry.Registry('first event time')
"""Classes without arguments, with the methods of `PrefillTime` and
``note_first_event``."""

QUANTILE = 0.85
"""Share of the requests that get their first event within the estimate. With
0.78 and 0.7, fewer of a burst are on time."""

STEP_MS = 16.0
"""Change of the estimate by one measurement: about ten requests after a
restart bring it within the spread of the measurements."""

INITIAL_MS = 250.0
INITIAL_MS_PER_TOKEN = 0.052
"""Estimate used until requests are measured: the quantile of a recorded heavy
day (338 ms for prompts of 1,500 tokens, 596 ms above 6,000)."""

TOOK_MAX_MS = 3000
"""Longest time that a VM may report. Longer ones are of engines that went
dark, which no estimate foresees."""

ESTIMATE_MAX_MS = 1500.0
"""Highest estimate: less than the shortest time that callers wait for an
event, so that requests are granted, and measured, whatever was learned."""

BUCKET_TOKENS = 1500
BUCKET_COUNT = 6
"""Width and number of the ranges of prompt lengths that learn their own
difference from the common estimate."""

BUCKET_SHARE = 0.5
"""Share of a change that goes to the range of the measured prompt only."""

LATE_WEIGHT = 0.02
"""Weight of the newest request in the share of first events that were later
than expected: about fifty requests."""

first_event_times.register('mean-prefill')(_prefill_time.PrefillTime)


@first_event_times.register('quantile')
class FirstEventTime(_prefill_time.PrefillTime):
    """Learn a quantile of the time to the first event by prompt length.

    Examples
    --------
    >>> times = FirstEventTime()
    >>> for _ in range(100):
    ...     times.note_first_event(tokens=1000, took_ms=200)
    >>> 180 < times.first_event_ms(1000) < 220
    True
    """

    def __init__(self):
        super().__init__()
        self._common_ms = INITIAL_MS
        self._bucket_ms = [0.0] * BUCKET_COUNT

    def note_first_event(self, *, tokens, took_ms):
        """Move the estimate towards the quantile by one measurement."""
        if not 0 < took_ms <= TOOK_MAX_MS:
            return
        estimate_ms = self.first_event_ms(tokens)
        is_above = took_ms > estimate_ms
        self.late_share += LATE_WEIGHT * (is_above - self.late_share)
        if is_above and estimate_ms >= ESTIMATE_MAX_MS:
            return
        change_ms = STEP_MS * (QUANTILE if is_above else QUANTILE - 1)
        self._common_ms += (1 - BUCKET_SHARE) * change_ms
        self._bucket_ms[_find_bucket(tokens)] += BUCKET_SHARE * change_ms

    def first_event_ms(self, prompt_tokens):
        """Return the estimated time from the grant to the first event."""
        estimate_ms = (
            self._common_ms
            + self._bucket_ms[_find_bucket(prompt_tokens)]
            + INITIAL_MS_PER_TOKEN * prompt_tokens
        )
        return min(max(estimate_ms, 0.0), ESTIMATE_MAX_MS)


def _find_bucket(tokens):
    return min(tokens // BUCKET_TOKENS, BUCKET_COUNT - 1)
