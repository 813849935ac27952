"""Decides which of the runs of one request goes on.

A run that is silent may be followed by another. It is kept until the other
one has brought something, so that a silence alone costs no answer.
"""

import attrs


class OvertakenError(Exception):
    """Raised when a run may not go on, since another one has the lead."""


@attrs.define(eq=False)
class Run:
    """One run of a request.

    Attributes
    ----------
    is_sent : bool
        Whether a server may be at work on the answer.
    is_ended : bool
        Whether another run has taken its place.
    """

    is_sent: bool = False
    is_ended: bool = False


class RunRace:
    """Holds the runs of one request that have not ended.

    Parameters
    ----------
    runs_once : bool
        Whether one server at the most may work on the answer.

    Examples
    --------
    >>> race = RunRace(runs_once=False)
    >>> first = race.begin()
    >>> race.send(first), race.may_follow()
    ((), True)
    >>> second = race.begin()
    >>> race.send(second), race.may_follow()
    ((), False)
    >>> race.take(second) == (first,), first.is_ended
    (True, True)
    """

    def __init__(self, *, runs_once):
        self._runs_once = runs_once
        self._live = []

    @property
    def live(self):
        """The runs that have not ended, in the order in which they began."""
        return tuple(self._live)

    def begin(self):
        """Return a new run, which has not been sent."""
        run = Run()
        self._live.append(run)
        return run

    def end(self, run):
        """Note that a run has ended by itself."""
        if run in self._live:
            self._live.remove(run)

    def may_follow(self):
        """Return whether another run may begin beside the one there is."""
        return len(self._live) == 1 and not (
            self._runs_once and self._live[0].is_sent
        )

    def send(self, run):
        """Let a run have its server begin the answer.

        Returns
        -------
        tuple of Run
            The runs that have to end before: those that come too late.

        Raises
        ------
        OvertakenError
            If the run itself has to end.
        """
        self._check(run)
        others = self._others(run)
        if self._runs_once and any(other.is_sent for other in others):
            raise OvertakenError
        run.is_sent = True
        return self._end(other for other in others if not other.is_sent)

    def take(self, run):
        """Let a run pass on what it has brought.

        Returns
        -------
        tuple of Run
            The runs that have to end before: all others.

        Raises
        ------
        OvertakenError
            If another run has passed something on meanwhile.
        """
        self._check(run)
        return self._end(self._others(run))

    def end_sent_before(self, run):
        """End the runs that were sent before a run; return them.

        None is ended if the run itself has ended meanwhile.
        """
        if run not in self._live:
            return ()
        earlier = self._live[: self._live.index(run)]
        return self._end(other for other in earlier if other.is_sent)

    def end_sent_after(self, run):
        """End the runs that were sent after a run; return them.

        None is ended if the run itself has ended meanwhile.
        """
        if run not in self._live:
            return ()
        later = self._live[self._live.index(run) + 1 :]
        return self._end(other for other in later if other.is_sent)

    def _check(self, run):
        if run.is_ended:
            raise OvertakenError

    def _others(self, run):
        return [other for other in self._live if other is not run]

    def _end(self, runs):
        ended = tuple(runs)
        for run in ended:
            run.is_ended = True
            self._live.remove(run)
        return ended
