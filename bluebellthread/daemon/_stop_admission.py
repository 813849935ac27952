"""Tells what a VM that is being stopped still begins."""

import math

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http


class StopAdmission:
    """Compares the time that a stop leaves with what requests take.

    Until the load balancer knows of the stop, a request of unknown duration
    may begin: its caller could not avoid this VM.

    Parameters
    ----------
    vm, data_centre : str
        Name and data centre of this VM.
    fleet : Fleet
        Holds the schedule of the stop and the membership view.
    """

    def __init__(self, *, vm, data_centre, fleet):
        self._vm = vm
        self._data_centre = data_centre
        self._fleet = fleet
        self._times = routing.RunTimes()

    def check(self, service, *, output_tokens, deadline_ms):
        """Raise `Refusal` if a request may not begin.

        Parameters
        ----------
        service : str
            Name of the model or the plain service.
        output_tokens : int
            The most tokens that the answer may have; 0 for a plain service.
        deadline_ms : float
            When it must have been answered.
        """
        if not self.may_begin(
            service, output_tokens=output_tokens, deadline_ms=deadline_ms
        ):
            raise _http.make_stop_refusal(_http.RUN_NOT_RUN)

    def may_begin(self, service, *, output_tokens, deadline_ms):
        """Return whether a request may begin; see `check`."""
        schedule = self._fleet.stop_schedule
        if not schedule.is_begun:
            return True
        now_ms = _clock.read_clock_ms()
        likely_ms = self._times.find_likely_ms(
            service, risk=self._find_stopping_share()
        )
        begin_deadline_ms = schedule.find_begin_deadline_ms(
            need_ms=self._times.find_need_ms(
                service, output_tokens=output_tokens, now_ms=now_ms
            ),
            likely_ms=0 if likely_ms == math.inf else likely_ms,
            deadline_ms=deadline_ms,
        )
        return now_ms <= begin_deadline_ms

    def note_ended(
        self,
        service,
        *,
        begun_ms,
        first_output_ms,
        piece_count,
        is_answered=True,
    ):
        """Learn how long a request took from its begin to now.

        Parameters
        ----------
        service : str
            Name of the model or the plain service.
        begun_ms : int
            When a server began to work on it.
        first_output_ms : int or None
            When the first output came; None for an answer without pieces.
        piece_count : int
            Pieces of the answer that the caller has; 0 for a plain service.
        is_answered : bool
            Whether the answer is whole.
        """
        now_ms = _clock.read_clock_ms()
        first_ms = now_ms if first_output_ms is None else first_output_ms
        self._times.note_whole(
            service, now_ms - begun_ms, is_answered=is_answered
        )
        self._times.note_first(
            service,
            first_ms - begun_ms,
            now_ms=now_ms,
            is_answered=is_answered,
        )
        if first_output_ms is not None:
            self._times.note_rest(
                service,
                now_ms - first_ms,
                event_count=piece_count,
                now_ms=now_ms,
                is_answered=is_answered,
            )

    def _find_stopping_share(self):
        return routing.find_stopping_share(
            member.state
            for member in self._fleet.view.members
            if member.data_centre == self._data_centre
            and member.name != self._vm
        )
