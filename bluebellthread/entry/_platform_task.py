"""Watches the configuration and the server list that the platform holds."""

import random

import trio

from bluebellthread.daemon import _clock
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

EXPIRE_PERIOD_S = 0.2
"""How often the server list is checked for lapsed entries that were not
written again: a tenth of the time after which they are dropped."""


class PlatformTask:
    """Keeps the configuration and the list of servers up to date.

    Parameters
    ----------
    client : object
        The adapter's client of the platform.
    state : EntryState
        Receives the configuration and the list.
    """

    def __init__(self, *, client, state):
        self._client = client
        self._state = state
        self._rng = random.Random(state.settings.vm)
        self._lapsed = trio.Event()

    async def run(self):
        """Watch the platform until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._follow, 'configuration', self._update_table
            )
            nursery.start_soon(
                self._follow, 'server list', self._update_servers
            )
            nursery.start_soon(self._expire_lapsed)

    async def _follow(self, name, step):
        """Read and then watch one resource; read it again after a failure.

        Parameters
        ----------
        name : str
            Name of the resource in the log.
        step : callable
            ``async``; takes the last revision, or None to read the whole
            resource, and the `DependencyWatch`; returns the new revision.
        """
        watch = _state.DependencyWatch(name=name)
        after = None
        pause_s = RETRY_FIRST_S
        while True:
            try:
                after = await step(after, watch)
                pause_s = RETRY_FIRST_S
                await trio.sleep(BATCH_PAUSE_S)
            except changes_module.HistoryLostError as error:
                emit(events.PLATFORM_HISTORY_LOST, what=name, error=error)
                after = None
            except changes_module.PlatformUnavailableError as error:
                emit(events.PLATFORM_CALL_FAILED, what=name, error=error)
                if watch.note_lost(_clock.read_clock_ms()):
                    emit(events.PLATFORM_READ_FAILED, what=name, error=error)
                after = None
                await trio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                pause_s = min(RETRY_MAX_S, pause_s * 2)

    def _note_regained(self, watch):
        lost_ms = watch.note_regained(_clock.read_clock_ms())
        if lost_ms:
            emit(
                events.PLATFORM_READ_RECOVERED,
                what=watch.name,
                lost_ms=lost_ms,
            )
        return lost_ms

    # The configuration

    async def _update_table(self, after, watch):
        if after is None:
            change, revision = await self._client.read_table()
            self._note_regained(watch)
            changes = [change] if change is not None else []
        else:
            changes, revision = await self._client.watch_table(after)
        for change in changes:
            self._apply_table(change)
        return revision

    def _apply_table(self, change):
        state = self._state
        if change.transfer is not None:
            _log_transfer(change, _clock.read_clock_ms())
        if change.problem:
            emit(
                events.CONFIGURATION_UNUSABLE,
                revision=change.revision,
                version=state.table.version,
                error=change.problem,
            )
            return
        if change.table.version <= state.table.version:
            return
        emit(
            events.CONFIGURATION_IN_FORCE,
            version=change.table.version,
            previous=state.table.version,
            revision=change.revision,
            routes=len(change.table.routes),
        )
        state.table = change.table

    # The backend servers

    async def _update_servers(self, after, watch):
        if after is None:
            changes, revision = await self._client.read_servers()
            now_ms = _clock.read_clock_ms()
            self._state.directory.note_outage_end(
                self._note_regained(watch), now_ms
            )
            self._replace_servers(changes, now_ms)
        else:
            changes, revision = await self._client.watch_servers(after)
            for change in changes:
                self._apply_server(change, _clock.read_clock_ms())
        if self._state.directory.has_missing:
            self._lapsed.set()
        return revision

    def _replace_servers(self, changes, now_ms):
        servers = []
        for change in changes:
            if change.server is not None:
                servers.append(change.server)
            else:
                self._log_server(change, 'unusable')
        self._state.directory.replace(servers, now_ms)
        self._state.has_servers = True
        emit(events.SERVER_LIST_READ, count=len(servers))

    def _apply_server(self, change, now_ms):
        directory = self._state.directory
        known = directory.find(change.name)
        if change.server is None:
            directory.remove(change.name, now_ms)
            self._log_server(change, 'unusable' if change.problem else 'gone')
            return
        directory.put(change.server)
        if known is None:
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
            while self._state.directory.has_missing:
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


def _log_transfer(change, now_ms):
    """Log how a configuration arrived, and how long its decoding took."""
    transfer = change.transfer
    emit(
        events.CONFIGURATION_READ,
        revision=change.revision,
        size_bytes=transfer.size_bytes,
        wait_ms=transfer.first_byte_ms - transfer.start_ms,
        transfer_ms=transfer.end_ms - transfer.first_byte_ms,
        decode_ms=now_ms - transfer.end_ms,
    )
