"""Notes which servers to avoid, and what becomes of silent requests."""

from bluebellthread.daemon import _clock
from bluebellthread.observe import emit
from bluebellthread.observe import events

KEEP_MS = 2000
"""How long a silent server is avoided for other requests if nothing else is
heard of it: longer than sound servers are silent."""

WRONG_SERVER_KEEP_MS = 10_000
"""How long a server is avoided after another one answered at its address, if
its entry does not change. The platform may be away for as long."""


class Silences:
    """Knows the servers that keep requests of this VM waiting.

    A silent server has not failed; it is only avoided while there are others.
    So is one at whose address another server answers: it has ended or changed
    its role, and its entry is older than that.

    Parameters
    ----------
    state : EntryState
        Supplies the list of servers.
    paths : PathWatch
        Finds out whether a silent server can still be reached.
    stats : EntryStats
        Counts the silences.
    """

    def __init__(self, *, state, paths, stats):
        self._state = state
        self._paths = paths
        self._stats = stats
        self._keep_deadline_ms = {}
        self._wrong = {}

    def list_avoided(self):
        """Return the names of the servers to avoid now, sorted."""
        now_ms = _clock.read_clock_ms()
        for name, deadline_ms in list(self._keep_deadline_ms.items()):
            if now_ms >= deadline_ms:
                del self._keep_deadline_ms[name]
        for name, (key, deadline_ms) in list(self._wrong.items()):
            listed = self._state.directory.find(name)
            if now_ms >= deadline_ms or _key_of(listed) != key:
                del self._wrong[name]
        return tuple(sorted({*self._keep_deadline_ms, *self._wrong}))

    def note_wrong_server(self, server):
        """Note that another server answers at the address of a listed one."""
        self._wrong[server.name] = (
            _key_of(server),
            _clock.read_clock_ms() + WRONG_SERVER_KEEP_MS,
        )

    def is_unreached(self, name):
        """Return whether a server could not be connected to of late."""
        server = self._state.directory.find(name)
        return server is not None and bool(
            self._paths.list_unreached([server])
        )

    def note_silent(self, work, attempt, obstacle):
        """Note that a server is silent, and why no other one may be asked.

        Parameters
        ----------
        work : Work
            The request that is kept waiting.
        attempt : Attempt
            The attempt that waits.
        obstacle : str
            Why no other attempt may follow now; empty if one may.
        """
        self._note(attempt.waits_for)
        self._stats.count_silence()
        emit(
            events.SERVER_SILENT,
            request_id=work.request_id,
            server=attempt.waits_for,
            silent_ms=attempt.silent_ms,
            obstacle=obstacle,
        )
        server = self._state.directory.find(attempt.waits_for)
        if server is not None:
            self._paths.note_doubt(server)

    def note_still_silent(self, attempt):
        """Note that a server has not gone on yet."""
        self._note(attempt.waits_for)

    def _note(self, name):
        self._keep_deadline_ms[name] = _clock.read_clock_ms() + KEEP_MS

    def note_heard(self, work, attempt):
        """Note that a server, which may have been silent, is not."""
        self._keep_deadline_ms.pop(attempt.waits_for, None)
        if not attempt.is_silent:
            return
        emit(
            events.SERVER_SILENCE_ENDED,
            request_id=work.request_id,
            server=attempt.waits_for,
            silent_ms=attempt.silent_ms,
        )

    def note_followed(self, work, attempt):
        """Note that another attempt is made beside a silent one."""
        self._stats.count_followed()
        emit(
            events.ATTEMPT_FOLLOWED,
            request_id=work.request_id,
            server=attempt.waits_for,
            silent_ms=attempt.silent_ms,
            runs=work.run_count,
        )

    def note_overtaken(self, work, attempt, by):
        """Note that an attempt ends for another one that has more."""
        emit(
            events.ATTEMPT_OVERTAKEN,
            request_id=work.request_id,
            server=attempt.waits_for,
            silent_ms=attempt.silent_ms if attempt.waits_for else 0,
            by_server=by.waits_for or by.last_server,
        )

    def note_never_heard(self, work, attempt, obstacle):
        """Note that an attempt has ended while its server was silent."""
        emit(
            events.SILENT_ATTEMPT_ENDED,
            request_id=work.request_id,
            server=attempt.waits_for,
            silent_ms=attempt.silent_ms,
            obstacle=obstacle,
            remaining_ms=work.deadline_ms - _clock.read_clock_ms(),
        )


def _key_of(server):
    """Return what changes in a server's entry once it is right again."""
    if server is None:
        return None
    return (server.incarnation, server.host, server.port, server.role)
