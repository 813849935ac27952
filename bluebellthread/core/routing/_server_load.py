"""Estimate the load and speed of one backend server between its reports.

The load pattern: requests of some ten milliseconds, and VMs that send only
one or two a second, so that a report is hundreds of milliseconds old when the
next choice is made. What it said of the queue has changed by then.
"""

import collections
import math

import attrs

USUAL_STEP_MAX = 0.5
USUAL_SPAN_MS = 1000
"""Weight and time span of the averages over reports. The number of requests
at a lightly loaded server varies by as much as its mean, so that one report
counts for half at the most."""

LOAD_MEMORY_MS = 5000
"""How long a server without new reports counts as loaded."""

SPEED_SPELL_MS = 600
"""How long the speed of a machine lasts before it changes again."""

SPEED_MEMORY_MS = 5000
"""How long a server that answers nothing here counts as slow: a server that
turns slow stays so for seconds."""

PERCENT_MAX = 2000
"""Highest speed figure that is believed: 20 times the usual time."""

COUNT_MAX = 100
"""Most requests per slot that are believed: far more than servers queue."""

TOOK_RATIO_MAX = 8.0
"""Largest ratio of an answer's duration to the expected one that counts. One
request in a hundred takes five times as long without a slow server."""

RECENT_STEP = 0.4
LASTING_STEP = 0.03
"""Weights of one answer's ratio in the recent and in the lasting average."""

FAILING_MEMORY_MS = 4000
"""How fast failures are forgotten: servers fail for seconds."""


@attrs.define(kw_only=True)
class ServerLoad:
    """Load of one server, from its reports and from this VM's requests.

    The requests at the server are those of this VM, which are known, and
    those of the others: as many as were reported at first, and as many as
    usual once the reported ones must have ended. By Little's law the usual
    number stands for what the others send.

    Attributes
    ----------
    reported_ms : int or None
        When the last report came; None before the first.
    full_count : int or None
        Requests at the server when it refused one because it was full.

    Examples
    --------
    >>> from bluebellthread.core.routing import _load_report
    >>> load = ServerLoad()
    >>> load.note_report(_load_report.LoadReport(4, 0, 6, 100), 0)
    >>> load.note_report(_load_report.LoadReport(6, 6, 6, 100), 1000)
    >>> load.find_count(1000, work_ms=45.0)
    12.0
    >>> 3 < load.find_count(2000, work_ms=45.0) < 7
    True
    """

    reported_ms: int | None = None
    full_count: int | None = None
    failures: int = 0
    back_off_until_ms: int = 0
    _begun_ms: object = attrs.field(factory=collections.deque)
    _report: object = None
    _others: float = 0.0
    _usual_others: float = 0.0
    _usual_percent: float = 100.0
    _recent_log_ratio: float = 0.0
    _lasting_log_ratio: float = 0.0
    _answered_ms: int = 0
    _failing: float = 0.0
    _failing_ms: int = 0

    @property
    def in_flight(self):
        """Requests of this VM at the server."""
        return len(self._begun_ms)

    def begin(self, now_ms):
        """Count one more request of this VM at the server."""
        self._begun_ms.append(now_ms)

    def end(self):
        """Count one request less.

        Which one it was isn't told: the oldest is taken, so that the others
        seem younger than they are.
        """
        if self._begun_ms:
            self._begun_ms.popleft()

    def find_oldest_ms(self, now_ms):
        """Return how long the oldest request of this VM has been there."""
        return now_ms - self._begun_ms[0] if self._begun_ms else 0

    def note_report(self, report, now_ms, *, is_refusal=False):
        """Store a report.

        Parameters
        ----------
        is_refusal : bool
            Whether it came with a refusal.
        """
        count = min(
            report.running + report.waiting, COUNT_MAX * max(1, report.slots)
        )
        percent = self._percent_of(report)
        # A refused request is in flight here, but not at the server.
        others = max(0, count - max(0, self.in_flight - is_refusal))
        step = 1.0
        if self.reported_ms is not None:
            gap_ms = now_ms - self.reported_ms
            step = min(USUAL_STEP_MAX, 1 - math.exp(-gap_ms / USUAL_SPAN_MS))
        usual = self._find_usual_others(now_ms)
        # A queue passes: what waits in it isn't what usually comes.
        lasting = min(others, report.slots)
        self._usual_others = usual + step * (lasting - usual)
        self._usual_percent += step * (percent - self._usual_percent)
        self._others = others
        self._report = report
        self.reported_ms = now_ms
        if is_refusal and report.waiting and report.running >= report.slots:
            self.full_count = count
        elif self.full_count is not None:
            self.full_count = max(self.full_count, count + 1)

    def note_answer(self, ratio, now_ms):
        """Add how long an answer took, as a multiple of what was expected."""
        ratio = min(TOOK_RATIO_MAX, max(1 / TOOK_RATIO_MAX, ratio))
        value = math.log(ratio) + self._lasting_log_ratio
        recent = self._find_log_ratio(now_ms)
        self._recent_log_ratio = recent + RECENT_STEP * (value - recent)
        self._lasting_log_ratio += LASTING_STEP * (
            value - self._lasting_log_ratio
        )
        self._answered_ms = now_ms

    def note_outcome(self, now_ms, *, is_failure):
        """Count a failed request, or a served one against earlier failures."""
        failing = self.find_failing(now_ms)
        self._failing = failing + 1 if is_failure else 0.7 * failing
        self._failing_ms = now_ms

    def find_failing(self, now_ms):
        """Return the failures that are not forgotten."""
        age_ms = now_ms - self._failing_ms
        return self._failing * math.exp(-age_ms / FAILING_MEMORY_MS)

    def find_slowness(self, now_ms):
        """Return how many times as long as usual work takes now.

        That is the reported speed, which turns into the averaged one as the
        report ages, times what answers took longer than it explains.
        """
        ratio = math.exp(self._find_log_ratio(now_ms))
        if self.reported_ms is None:
            return ratio
        return ratio * self._find_percent(now_ms) / 100

    def find_reported_slowness(self):
        """Return how many times as long work takes by the last report."""
        return self._percent_of(self._report) / 100 if self._report else 1.0

    def find_lasting_ratio(self):
        """Return how many times as long answers take in the long run."""
        return math.exp(self._lasting_log_ratio)

    def find_queue_part(self):
        """Return the reported waiting requests as a multiple of the slots."""
        if self._report is None:
            return 0.0
        return self._report.waiting / max(1, self._report.slots)

    def find_age_ms(self, now_ms):
        """Return how old the last report is; infinite if there is none."""
        if self.reported_ms is None:
            return math.inf
        return max(0, now_ms - self.reported_ms)

    def find_count(self, now_ms, *, work_ms):
        """Return the requests that are probably at the server.

        Parameters
        ----------
        work_ms : float
            How long one request takes at the server now.
        """
        if self.reported_ms is None:
            return float(self.in_flight)
        end_ms = work_ms * (1 + self.find_queue_part())
        part = math.exp(-self.find_age_ms(now_ms) / max(1.0, end_ms))
        usual = self._find_usual_others(now_ms)
        return self.in_flight + usual + part * (self._others - usual)

    def find_count_min(self, now_ms, *, work_ms, slots):
        """Return the requests that are at the server even if no VM sent one.

        Parameters
        ----------
        work_ms : float
            Least time that a request takes at the server.
        """
        ended = self.find_age_ms(now_ms) * slots / max(1.0, work_ms)
        return max(self.in_flight, self._others + self.in_flight - ended)

    def _find_usual_others(self, now_ms):
        """Return the averaged requests of others, less as reports age.

        A server that was full once is tried again, although nothing has been
        heard from it since.
        """
        age_ms = self.find_age_ms(now_ms)
        return self._usual_others * math.exp(-age_ms / LOAD_MEMORY_MS)

    def _find_log_ratio(self, now_ms):
        part = math.exp(-(now_ms - self._answered_ms) / SPEED_MEMORY_MS)
        return self._lasting_log_ratio + part * (
            self._recent_log_ratio - self._lasting_log_ratio
        )

    def _find_percent(self, now_ms):
        age_ms = self.find_age_ms(now_ms)
        usual = 100 + (self._usual_percent - 100) * math.exp(
            -age_ms / SPEED_MEMORY_MS
        )
        part = math.exp(-age_ms / SPEED_SPELL_MS)
        return usual + part * (self._percent_of(self._report) - usual)

    @staticmethod
    def _percent_of(report):
        return min(PERCENT_MAX, report.work_percent or 100)
