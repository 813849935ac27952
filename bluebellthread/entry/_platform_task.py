"""Watches the list of backend servers that the platform holds."""

import random

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _platform_changes
from bluebellthread.entry import _platform_follower
from bluebellthread.observe import emit
from bluebellthread.observe import events

EXPIRE_PERIOD_S = 0.2
"""How often the server list is checked for lapsed entries that were not
written again, and for servers that were held back long enough: a tenth of the
time after which lapsed entries are dropped."""


class PlatformTask:
    """Keeps the list of backend servers up to date.

    Parameters
    ----------
    client : object
        The adapter's client of the platform.
    calls : PlatformCalls
        Makes the calls to it.
    state : EntryState
        Receives the list.
    tell : callable
        Takes the departures of servers that other VMs are told of.
    """

    def __init__(self, *, client, calls, state, tell):
        self._client = client
        self._calls = calls
        self._state = state
        self._tell = tell
        self._follower = _platform_follower.PlatformFollower(
            name='server list',
            step=self._update_servers,
            calls=calls,
            rng=random.Random(state.settings.vm),
        )
        self._lapsed = trio.Event()

    async def run(self):
        """Watch the platform until cancelled."""
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(nursery, self._follower.run)
            _tasks.start_lasting(nursery, self._expire_lapsed)

    async def _update_servers(self, after):
        try:
            return await self._read_changes(after)
        except _platform_changes.PlatformUnavailableError:
            self._state.versions.note_failed()
            raise

    async def _read_changes(self, after):
        if after is None:
            changes, position = await self._calls.call(
                self._client.read_servers
            )
            is_restored = self._follower.note_era(position.era)
            self._state.versions.note_list(
                _clock.read_clock_ms(), is_restored=is_restored
            )
            now_ms = self._note_answer()
            if is_restored:
                self._state.directory.note_restore(now_ms)
            self._note_versions(now_ms)
            self._replace_servers(changes, position, now_ms)
        else:
            changes, position = await self._calls.call(
                self._client.watch_servers,
                after,
                is_probe=self._calls.health.is_in_doubt,
            )
            now_ms = self._note_answer()
            # An engine that was listed until now has served until now.
            self._note_versions(now_ms)
            for change in changes:
                self._apply_server(change, position.era, now_ms)
                self._note_versions(now_ms)
        self._state.directory.note_position(position)
        self._tell_departures(now_ms)
        if self._state.directory.has_deadlines:
            self._lapsed.set()
        return position

    def _note_versions(self, now_ms):
        self._state.versions.note_versions(
            self._state.directory.engine_versions, now_ms
        )

    def _note_answer(self):
        """Note an answer of the platform; return the time in milliseconds."""
        now_ms = _clock.read_clock_ms()
        self._state.versions.note_answered(now_ms)
        self._follower.note_regained()
        outage = self._calls.health.outage
        if outage is not None:
            self._state.directory.note_outage(outage)
        return now_ms

    def _tell_departures(self, now_ms):
        departures = self._state.directory.take_news(now_ms)
        if departures:
            self._tell(departures)

    def _replace_servers(self, changes, position, now_ms):
        servers = []
        for change in changes:
            if change.server is not None:
                servers.append(change.server)
            else:
                self._state.directory.remove(
                    change.name, now_ms, has_left=False
                )
                self._log_server(change, 'unusable')
        self._state.directory.replace(servers, now_ms, position=position)
        for server in servers:
            if self._state.directory.is_held(server.name):
                _log_held(server.name)
        self._note_versions(now_ms)
        self._state.note_servers()
        emit(events.SERVER_LIST_READ, count=len(servers))

    def _apply_server(self, change, era, now_ms):
        directory = self._state.directory
        known = directory.find(change.name)
        position = routing.Position(era=era, revision=change.revision)
        if change.server is None:
            directory.remove(
                change.name,
                now_ms,
                has_left=not change.problem,
                position=position,
            )
            self._log_server(change, 'unusable' if change.problem else 'gone')
            return
        directory.put(change.server, position=position)
        if directory.is_held(change.name):
            _log_held(change.name)
        elif known is None:
            self._log_server(change, 'listed')
        elif change.server.is_draining and not known.is_draining:
            self._log_server(change, 'leaving')

    def _log_server(self, change, state):
        emit(
            events.SERVER_CHANGED,
            server=change.name,
            state=state,
            problem=change.problem,
        )

    async def _expire_lapsed(self):
        while True:
            await self._lapsed.wait()
            self._lapsed = trio.Event()
            while self._state.directory.has_deadlines:
                await trio.sleep(EXPIRE_PERIOD_S)
                self._expire(_clock.read_clock_ms())

    def _expire(self, now_ms):
        for name in self._state.directory.expire(now_ms):
            emit(
                events.SERVER_CHANGED,
                server=name,
                state='gone',
                problem='its entry lapsed and was not written again',
            )
        for name in self._state.directory.release(now_ms):
            emit(
                events.SERVER_CHANGED,
                server=name,
                state='listed',
                problem='its entry was renewed since the restore',
            )
        self._tell_departures(now_ms)


def _log_held(name):
    emit(
        events.SERVER_CHANGED,
        server=name,
        state='held back',
        problem='it was seen to leave before the platform was restored',
    )
