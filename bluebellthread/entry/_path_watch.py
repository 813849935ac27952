"""Finds out whether this VM has paths to the backend servers."""

import contextlib

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _server_connection
from bluebellthread.observe import emit
from bluebellthread.observe import events

CONNECT_TIMEOUT_S = 0.5
"""As for calls: a dozen round trips between regions."""

PROBE_PERIOD_S = 1.0
"""Mean time between two connections that are opened to find out whether the
path to a service is back."""

FRESH_S = 0.3
"""How long the result of a check holds for other requests."""


DOUBT_MS = 600
"""Time without the head of an answer after which the path to its server is
checked by another connection, unless the server has answered other calls
meanwhile. The call itself goes on."""

DOUBT_PERIOD_S = 0.3
"""How often late answers are looked for."""


@attrs.define
class _WaitingCall:
    server: routing.ListedServer
    start_ms: int
    is_doubted: bool = False


class _Check:
    """One check of a service; known once ``done`` is set."""

    def __init__(self):
        self.done = trio.Event()
        self.is_lost = True


class PathWatch:
    """Checks paths to servers after failures, and probes lost ones.

    Parameters
    ----------
    state : EntryState
        Supplies the list of servers.
    connections : ServerConnections
        Opens connections to servers, and keeps those that checks open.
    rng : random.Random
        Chooses servers, and spreads the probes of the VMs.
    """

    def __init__(self, *, state, connections, rng):
        self._state = state
        self._connections = connections
        self._rng = rng
        self._paths = routing.ServerPaths()
        self._checks = {}
        self._probed = set()
        self._doubted = set()
        self._seen_version = None
        self._waiting = {}
        self._nursery = None

    async def run(self):
        """Run the checks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._watch)

    async def _watch(self):
        while True:
            await trio.sleep(DOUBT_PERIOD_S)
            self._forget_unlisted()
            self._doubt_late_answers(_clock.read_clock_ms())

    def _forget_unlisted(self):
        directory = self._state.directory
        if self._seen_version != directory.version:
            self._seen_version = directory.version
            self._paths.keep_only(
                directory.names,
                {directory.find(name).service for name in directory.names},
            )

    def _doubt_late_answers(self, now_ms):
        late = {}
        for call in self._waiting.values():
            if call.is_doubted or now_ms < call.start_ms + DOUBT_MS:
                continue
            call.is_doubted = True
            if not self._paths.has_answered_since(
                call.server.name, call.start_ms
            ):
                late[call.server.name] = call.server
        for server in late.values():
            self.note_doubt(server)

    @property
    def lost_services(self):
        """Services of which this VM reaches no server."""
        return self._paths.lost_services

    def is_lost(self, service):
        """Return whether this VM reaches no server of a service."""
        return self._paths.find_lost_ms(service) is not None

    def list_unreached(self, servers):
        """Return the names of the servers that were not reached of late."""
        return self._paths.list_unreached(servers, _clock.read_clock_ms())

    def note_connected(self, server):
        """Note that a connection to a server was opened."""
        lost_ms = self._paths.note_connected(
            server.name, server.service, _clock.read_clock_ms()
        )
        if lost_ms is not None:
            emit(
                events.SERVER_PATH_BACK,
                service=server.service,
                server=server.name,
                lost_ms=lost_ms,
            )

    @contextlib.contextmanager
    def waiting(self, server):
        """Watch a call that waits for an answer in the ``with`` body."""
        call = _WaitingCall(server, _clock.read_clock_ms())
        self._waiting[id(call)] = call
        try:
            yield
            self._paths.note_answered(server.name, _clock.read_clock_ms())
        finally:
            del self._waiting[id(call)]

    def note_failed(self, server):
        """Note that a server was not reached, and check others."""
        self._paths.note_failed(server.name, _clock.read_clock_ms())
        self._start_check(server)

    def note_doubt(self, server):
        """Check a server that keeps a call waiting, and others if need be."""
        if not self.is_lost(server.service) and server.name not in (
            self._doubted
        ):
            self._doubted.add(server.name)
            _tasks.start_isolated(
                self._nursery,
                self._check_one,
                server,
                subject=f'server {server.name}',
            )

    async def is_confirmed_lost(self, server):
        """Return whether no server of a service can be reached.

        Parameters
        ----------
        server : ListedServer
            The server that was not reached.
        """
        if self.is_lost(server.service):
            return True
        check = self._start_check(server)
        await check.done.wait()
        return check.is_lost

    async def reaches_others(self, server):
        """Return whether any server but one can be reached, or none exists."""
        others = [
            self._state.directory.find(name)
            for name in self._state.directory.names
            if name != server.name
        ]
        sample = self._paths.choose_sample(others, server.name, self._rng)
        return not sample or await self._reaches_any(sample)

    # Checks

    def _start_check(self, server):
        check = self._checks.get(server.service)
        if check is None:
            check = self._checks[server.service] = _Check()
            _tasks.start_isolated(
                self._nursery,
                self._check,
                server,
                check,
                subject=f'service {server.service}',
            )
        return check

    async def _check(self, server, check):
        try:
            directory = self._state.directory
            sample = self._paths.choose_sample(
                directory.usable(server.service), server.name, self._rng
            )
            check.is_lost = not await self._reaches_any(sample)
            if check.is_lost:
                self._note_lost(server.service)
            check.done.set()
            await trio.sleep(FRESH_S)
        finally:
            check.done.set()
            self._checks.pop(server.service, None)

    def _note_lost(self, service):
        if not self._paths.note_lost(service, _clock.read_clock_ms()):
            return
        emit(events.SERVER_PATH_LOST, service=service)
        if service not in self._probed:
            self._probed.add(service)
            _tasks.start_isolated(
                self._nursery,
                self._probe,
                service,
                subject=f'service {service}',
            )

    async def _check_one(self, server):
        try:
            if not await self._reaches(server):
                self.note_failed(server)
        finally:
            self._doubted.discard(server.name)

    async def _reaches_any(self, servers):
        """Return whether one of some servers is reached, as soon as known."""
        reached = False

        async def check(server, scope):
            nonlocal reached
            if await self._reaches(server):
                reached = True
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for server in servers:
                _tasks.start_joined(
                    nursery, check, server, nursery.cancel_scope
                )
        return reached

    async def _reaches(self, server):
        try:
            connection = await self._connections.open(
                (server.host, server.port), CONNECT_TIMEOUT_S
            )
        except _server_connection.ServerUnreachableError:
            self._paths.note_failed(server.name, _clock.read_clock_ms())
            return False
        self.note_connected(server)
        await self._connections.release(
            connection, _server_connection.IDLE_DEFAULT_MS
        )
        return True

    async def _probe(self, service):
        """Try servers in turn until one is reached."""
        try:
            while self.is_lost(service):
                await trio.sleep(PROBE_PERIOD_S * self._rng.uniform(0.7, 1.3))
                servers = self._state.directory.usable(service)
                if servers and self.is_lost(service):
                    await self._reaches(self._rng.choice(servers))
        finally:
            self._probed.discard(service)
