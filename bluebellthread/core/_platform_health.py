"""When the platform was last heard, and when it was away.

One VM makes several kinds of calls to the platform, and its peers make
theirs. A call that the platform loses in silence is never answered, so what
any of these calls shows counts for all of them.
"""

import attrs


@attrs.frozen(kw_only=True)
class Outage:
    """A time in which the platform answered nobody, as far as is known.

    Parameters
    ----------
    start_clock_ms, end_clock_ms : int
        From when and until when; it may have been shorter.
    vm : str
        The VM that tells of it; empty if this VM does not.
    number : int
        Tells apart what one VM tells.
    """

    start_clock_ms: int
    end_clock_ms: int
    vm: str = ''
    number: int = 0

    @property
    def length_ms(self):
        """How long it lasted at the most."""
        return self.end_clock_ms - self.start_clock_ms

    def overlaps(self, other):
        """Return whether two outages may be the same one."""
        return (
            self.start_clock_ms <= other.end_clock_ms
            and other.start_clock_ms <= self.end_clock_ms
        )


class PlatformHealth:
    """Track the platform by the calls of this VM and the word of others.

    Attributes
    ----------
    heard_ms : int or None
        When the platform last answered any VM; None if that is unknown.
    outage : Outage or None
        The last outage that has ended.

    Examples
    --------
    >>> health = PlatformHealth()
    >>> health.note_answer(0), health.note_failed(3, 5), health.is_in_doubt
    (False, None, True)
    >>> health.note_heard(7), health.outage
    (True, Outage(start_clock_ms=3, end_clock_ms=7, vm='', number=0))
    """

    def __init__(self):
        self.heard_ms = None
        self.outage = None
        self._answered_ms = None
        self._start_ms = None
        self._failed_ms = None

    @property
    def is_in_doubt(self):
        """Whether a call has failed and the platform was not heard since."""
        return self._start_ms is not None

    def note_failed(self, start_ms, now_ms):
        """Note that a call of this VM has failed.

        Parameters
        ----------
        start_ms : int
            From when the platform may have been away: when a call was sent
            that got no answer, or now if the platform turned it away.
        """
        self._failed_ms = now_ms
        if self._start_ms is None:
            self._start_ms = _latest(start_ms, self.heard_ms)

    def note_answer(self, now_ms):
        """Note an answer to this VM; return whether it ends an outage."""
        self._answered_ms = now_ms
        return self.note_heard(now_ms)

    def note_heard(self, heard_ms):
        """Note when the platform answered a VM; return as `note_answer`."""
        self.heard_ms = _latest(heard_ms, self.heard_ms)
        if self._start_ms is None:
            return False
        if heard_ms <= self._failed_ms:
            # It may have been before the platform went away.
            self._start_ms = max(self._start_ms, heard_ms)
            return False
        self.outage = Outage(
            start_clock_ms=self._start_ms, end_clock_ms=heard_ms
        )
        self._start_ms = None
        return True

    def note_outage(self, outage):
        """Note an outage that another VM tells.

        Returns
        -------
        bool
            Whether it is news that calls of this VM may be lost: those that
            it made before the end of the outage.
        """
        end_ms = outage.end_clock_ms
        if self._answered_ms is not None and self._answered_ms >= end_ms:
            self._merge(outage)
            return False
        if self.heard_ms is not None and self.heard_ms < end_ms:
            outage = attrs.evolve(
                outage,
                start_clock_ms=max(outage.start_clock_ms, self.heard_ms),
            )
        if self.note_heard(end_ms):
            return True
        known = self.outage
        if known is not None and known.overlaps(outage):
            self._merge(outage)
            return False
        if known is not None and known.end_clock_ms >= end_ms:
            return False
        self.outage = outage
        return True

    def _merge(self, outage):
        """Correct the known outage, if another VM heard its end earlier."""
        known = self.outage
        if known is not None and known.overlaps(outage):
            self.outage = attrs.evolve(
                known,
                start_clock_ms=min(
                    known.start_clock_ms, outage.start_clock_ms
                ),
                end_clock_ms=min(known.end_clock_ms, outage.end_clock_ms),
            )


def _latest(time_ms, other_ms):
    return time_ms if other_ms is None else max(time_ms, other_ms)
