"""Follows one resource of the platform by reads and watches."""

import trio

from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _platform_changes as changes_module
from bluebellthread.entry import _state
from bluebellthread.observe import emit
from bluebellthread.observe import events

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.8
"""First and longest pause between retries while the platform does not
answer. A change must be in force within seconds of the platform's return."""

BATCH_PAUSE_S = 0.5
"""Pause between a change and the next watch, so that changes made together
are read with one call: a fifth of the time within which a change must be in
force."""


class PlatformFollower:
    """Reads one resource of the platform, then watches it.

    After a failed call the watch goes on from the last position, so that the
    whole resource is not read again by all VMs after an outage.

    Parameters
    ----------
    name : str
        Name of the resource in the log.
    step : callable
        ``async``; takes the `Position` to watch from, or None to read the
        whole resource, and returns the next position.
    calls : PlatformCalls
        Tells when the platform is back.
    rng : random.Random
        Spreads the retries of the VMs.
    """

    def __init__(self, *, name, step, calls, rng):
        self._name = name
        self._step = step
        self._calls = calls
        self._rng = rng
        self._watch = _state.DependencyWatch(name=name)
        self._after = None
        self._era = None

    async def run(self):
        """Follow the resource until cancelled."""
        pause_s = RETRY_FIRST_S
        while True:
            try:
                self._after = await self._step(self._after)
                pause_s = RETRY_FIRST_S
                await trio.sleep(BATCH_PAUSE_S)
            except changes_module.HistoryLostError as error:
                emit(
                    events.PLATFORM_HISTORY_LOST, what=self._name, error=error
                )
                was_whole_read = self._after is None
                self._after = None
                if was_whole_read:
                    pause_s = await self._pause(pause_s)
            except changes_module.PlatformUnavailableError as error:
                self._note_lost(error)
                pause_s = await self._pause(pause_s)
            except _tasks.FATAL_ERRORS:
                raise
            except Exception as error:
                # An entry that hits a bug must not end the process; what was
                # read before stays in force.
                self._note_lost(repr(error))
                self._after = None
                pause_s = await self._pause(pause_s)

    async def _pause(self, pause_s):
        """Pause before a retry; return the length of the next pause."""
        await self._calls.pause(pause_s * self._rng.uniform(0.7, 1.3))
        return min(RETRY_MAX_S, pause_s * 2)

    def _note_lost(self, error):
        emit(events.PLATFORM_CALL_FAILED, what=self._name, error=error)
        if self._watch.note_lost(_clock.read_clock_ms()):
            emit(events.PLATFORM_READ_FAILED, what=self._name, error=error)

    def note_era(self, era):
        """Log a change of the platform's era; return whether it changed."""
        old, self._era = self._era, era
        if old is None or old == era:
            return False
        emit(events.PLATFORM_RESTORED, what=self._name, old=old, new=era)
        return True

    def note_regained(self):
        """Log the end of an outage; return its milliseconds, or 0."""
        lost_ms = self._watch.note_regained(_clock.read_clock_ms())
        if lost_ms:
            emit(
                events.PLATFORM_READ_RECOVERED,
                what=self._name,
                lost_ms=lost_ms,
            )
        return lost_ms
