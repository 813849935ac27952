"""Decides whether a VM watches the platform for new revisions."""

from bluebellthread.core import _revision_topology

PAUSE_MIN_MS = 2000
"""Shortest time between two ticks that is taken for a pause of the process."""

VIEW_WAIT_MAX_MS = 3000
"""Longest time that a VM that has just started waits for its view to settle:
three rounds of pings to the seeds."""

HANDOVER_PERIOD_MS = 1000
"""How often a VM that should watch but gets no answer asks a substitute."""

HANDOVER_MS = 2500
"""How long a substitute watches after it was asked: two lost messages."""

UNANSWERED_SPREAD = 1.5
"""Upper end of the factor by which VMs that no peer answers wait longer, so
that they do not all begin at once if the links are at fault."""


class WatchDuty:
    """Tracks what tells one VM whether it has to watch the platform.

    The chosen watchers of its data centre do. One that gets no answer asks
    the VM that is two ranks behind it to watch as well. The longer there is
    no news that chosen watchers read the platform, the more other VMs do, up
    to a limit. A VM whose requests no peer answers always does.

    Parameters
    ----------
    vm, data_centre : str
        Names of this VM and its data centre.
    options : RevisionOptions
        Delays and switches.
    rng : random.Random
        Spreads the VMs that no peer answers.
    """

    def __init__(self, *, vm, data_centre, options, rng):
        self._vm = vm
        self._data_centre = data_centre
        self._options = options
        self._names = []
        self._ranked = []
        self._rank = None
        self._view_wait_deadline_ms = None
        self._view_settled_ms = 0
        self._silence_start_ms = 0
        self._platform_heard_ms = None
        self._peer_heard_ms = 0
        self._last_tick_ms = None
        self._is_failing = False
        self._next_handover_ms = 0
        self._asked_deadline_ms = 0
        self._unanswered_ms = options.platform_silence_ms
        if self._unanswered_ms:
            self._unanswered_ms *= rng.uniform(1, UNANSWERED_SPREAD)

    def set_names(self, names, now_ms):
        """Replace the names of the VMs of the data centre, this one's too."""
        if self._view_wait_deadline_ms is None:
            self._view_wait_deadline_ms = now_ms + VIEW_WAIT_MAX_MS
            self._silence_start_ms = now_ms
        if names != self._names:
            self._names = names
            self._ranked = ranked = _revision_topology.choose_watchers(
                self._data_centre, names, len(names)
            )
            self._rank = ranked.index(self._vm)
            self._view_settled_ms = now_ms + self._options.view_settle_ms

    def note_tick(self, now_ms):
        """Note the time; after a pause, what was not heard tells nothing."""
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is not None and now_ms - last_ms >= PAUSE_MIN_MS:
            self._silence_start_ms = now_ms

    def note_platform_answer(self, now_ms):
        """Note that the platform has answered this VM.

        This is news only from a chosen watcher. A substitute's reads would
        otherwise end the watch of all substitutes.
        """
        self._is_failing = False
        if self._is_among_watchers():
            self._platform_heard_ms = now_ms

    def note_platform_failed(self):
        """Note that the platform gave this VM no usable answer."""
        self._is_failing = True

    def note_asked_to_watch(self, now_ms):
        """Note that a VM that gets no answer asks this one to watch."""
        self._asked_deadline_ms = now_ms + HANDOVER_MS

    def take_handover(self, now_ms):
        """Return the VM to ask to watch now, or None."""
        if not self._is_failing or now_ms < self._next_handover_ms:
            return None
        self._next_handover_ms = now_ms + HANDOVER_PERIOD_MS
        substitutes = self._ranked[: _revision_topology.SUBSTITUTES_MAX]
        next_rank = self._rank + _revision_topology.WATCHERS
        return substitutes[next_rank] if next_rank < len(substitutes) else None

    def note_peer_answer(self, platform_age_ms, now_ms):
        """Note a peer's answer, and its news of the platform if it has any."""
        self._peer_heard_ms = now_ms
        if platform_age_ms < 0:
            return
        heard_ms = now_ms - platform_age_ms
        if self._platform_heard_ms is None or (
            heard_ms > self._platform_heard_ms
        ):
            self._platform_heard_ms = heard_ms

    def measure_platform_age_ms(self, now_ms):
        """Return the age of the news of the platform; -1 without any."""
        if self._platform_heard_ms is None:
            return -1
        return max(0, now_ms - self._platform_heard_ms)

    def is_due(self, now_ms, *, has_revision):
        """Return whether this VM has to watch the platform.

        Parameters
        ----------
        now_ms : int
            Current time.
        has_revision : bool
            Whether this VM has a revision in force.
        """
        if not self._options.limits_watchers:
            return True
        if not has_revision and self._is_view_settling(now_ms):
            return False
        return (
            self._is_among_watchers()
            or now_ms < self._asked_deadline_ms
            or self._is_substitute(now_ms)
        )

    def _is_view_settling(self, now_ms):
        # VMs that start together would otherwise each be among the watchers
        # of the few VMs that they know first, and read the whole revision.
        return now_ms < min(self._view_settled_ms, self._view_wait_deadline_ms)

    def _is_among_watchers(self, count=_revision_topology.WATCHERS):
        return self._rank is not None and self._rank < count

    def _is_substitute(self, now_ms):
        silence_ms = self._options.platform_silence_ms
        if not silence_ms:
            return False
        if self._measure_silence_ms(self._peer_heard_ms, now_ms) >= (
            self._unanswered_ms
        ):
            return True
        silences = (
            self._measure_silence_ms(self._platform_heard_ms or 0, now_ms)
            // silence_ms
        )
        count = min(
            _revision_topology.WATCHERS * (1 + silences),
            _revision_topology.SUBSTITUTES_MAX,
        )
        return silences >= 1 and self._is_among_watchers(count)

    def _measure_silence_ms(self, heard_ms, now_ms):
        return now_ms - max(heard_ms, self._silence_start_ms)
