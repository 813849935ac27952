"""Finds out which servers end, and under which requests.

The end of a connection is not the end of a server. A server has ended if it
accepts no connection just after it broke one.
"""

import contextlib
import itertools

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _sockets
from bluebellthread.observe import emit
from bluebellthread.observe import events

CONNECT_TIMEOUT_S = 0.5
"""How long a connection to a server is waited for. One that does not answer
is not known to have ended."""

KEEP_S = 1.0
"""How long the result of a check holds. Other runs at the server break within
this time; the server takes longer to start again and end again."""

LOGGED_MAX_CHARACTERS = 1000


@attrs.define(eq=False)
class WatchedRun:
    """One request at a server.

    Attributes
    ----------
    is_cut : bool
        Whether its connection broke while the server may have worked on it.
    has_survived : bool
        Whether it was answered whole.
    """

    server: routing.ListedServer
    attempt_id: str
    parts: tuple
    begun_ms: int
    is_cut: bool = False
    has_survived: bool = False


@attrs.define(eq=False)
class _Check:
    """Whether a server has ended; known once ``done`` is set."""

    ages_ms: dict
    done: trio.Event = attrs.field(factory=trio.Event)
    has_ended: bool = False


class ServerWatch:
    """Tracks the requests of this VM at servers, and the ends of servers.

    Parameters
    ----------
    state : EntryState
        Supplies the list of servers.
    paths : PathWatch
        Tells whether other servers are reached.
    report : callable
        Takes the `EngineEnded` of each server that ended.
    """

    def __init__(self, *, state, paths, report):
        self._state = state
        self._paths = paths
        self._report = report
        self._nursery = None
        self._running = {}
        self._checks = {}
        self._numbers = itertools.count(1)

    async def run(self):
        """Check servers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    @contextlib.contextmanager
    def track(self, server, attempt_id, parts):
        """Track one request at a server while the ``with`` body runs."""
        run = WatchedRun(server, attempt_id, parts, _clock.read_clock_ms())
        runs = self._running.setdefault(server.name, {})
        runs[id(run)] = run
        try:
            yield run
        finally:
            if run.is_cut:
                self._start_check(run)
            del runs[id(run)]
            if not runs:
                self._running.pop(server.name, None)

    async def wait_checked(self, run):
        """Return whether the server of a run that was cut has ended."""
        check = self._checks.get(_key_of(run.server))
        if check is None:
            return False
        await check.done.wait()
        return check.has_ended

    def _start_check(self, run):
        key = _key_of(run.server)
        if key in self._checks:
            return
        now_ms = _clock.read_clock_ms()
        runs = self._running.get(run.server.name, {}).values()
        check = _Check({other: now_ms - other.begun_ms for other in runs})
        self._checks[key] = check
        _tasks.start_isolated(
            self._nursery,
            self._check,
            run.server,
            check,
            now_ms,
            subject=f'server {run.server.name}',
        )

    async def _check(self, server, check, ended_ms):
        try:
            await self._find_end(server, check, ended_ms)
            check.done.set()
            if check.has_ended:
                self._report_end(server, check, ended_ms)
            await trio.sleep(KEEP_S)
        finally:
            check.done.set()
            del self._checks[_key_of(server)]

    async def _find_end(self, server, check, ended_ms):
        directory = self._state.directory
        if directory.find_departure(server.name, ended_ms) is None:
            # A VM whose own paths are cut is refused by every server.
            check.has_ended = await _refuses_connections(
                server
            ) and await self._paths.reaches_others(server)

    def _report_end(self, server, check, ended_ms):
        runs = tuple(
            routing.EndedRun(
                attempt_id=routing.shorten_attempt_id(run.attempt_id),
                parts=run.parts,
                age_ms=age_ms,
            )
            for run, age_ms in check.ages_ms.items()
            if not run.has_survived
        )
        described = '; '.join(
            f'{run.attempt_id} {",".join(run.parts)} after {run.age_ms} ms'
            for run in runs
        )
        emit(
            events.ENGINE_ENDED,
            server=server.name,
            service=server.service,
            count=len(runs),
            runs=described[:LOGGED_MAX_CHARACTERS],
        )
        if runs:
            self._report(
                routing.EngineEnded(
                    vm=self._state.settings.vm,
                    number=ended_ms + next(self._numbers),
                    server=server.name,
                    incarnation=server.incarnation,
                    serves=server.service,
                    software_version=server.software_version,
                    runs=runs,
                    keep_deadline_ms=ended_ms + routing.EVIDENCE_MS,
                )
            )


def _key_of(server):
    return (server.name, server.incarnation, server.host, server.port)


async def _refuses_connections(server):
    """Return whether nothing listens at a server's address."""
    try:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            stream = await _sockets.connect(server.host, server.port)
            await trio.aclose_forcefully(stream)
    except ConnectionRefusedError:
        return True
    except OSError as error:
        emit(events.ENGINE_NOT_CHECKED, server=server.name, error=error)
    return False
