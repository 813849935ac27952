"""Keeps the configuration up to date from the platform and from other VMs.

Only a few VMs of each data centre read it from the platform; the others get
what has changed from them. The value can be large, and the links between
regions are too slow to carry it once for each VM.
"""

import random

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _revision_exchange
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _platform_changes as changes_module
from bluebellthread.entry import _platform_follower
from bluebellthread.observe import emit
from bluebellthread.observe import events

TICK_INTERVAL_S = 0.1

EXCHANGE_INTERVAL_MS = 1000
"""Mean time between two exchanges of digests, each with another partner. They
make good a lost announcement."""

FIRST_EXCHANGE_INTERVAL_MS = 200
"""Until a VM has a version it can serve nobody, so it asks more often."""

START_TIMEOUT_MS = 300
"""How long a VM that starts waits for the answers of the peers that it asks
first: several round trips between regions."""

START_READ_MAX_BYTES = 32768
"""Largest configuration that each VM reads by itself when it starts. If all
VMs of the largest region start together, this takes 0.4 s of the link to the
platform's region (44 VMs, 30 Mbit/s)."""

VIEW_SETTLE_MS = 500
"""How long the view of a VM that starts must stay the same before it watches
the platform: longer than a round of pings to the seeds."""

PLATFORM_SILENCE_MS = 8000
"""Time without news of the platform after which other VMs than the chosen
ones watch it. The news is as old as a watch, 3.5 s, and two or three exchanges
when it has reached every VM."""


class ConfigurationTask:
    """Brings each new version of the configuration into force.

    Parameters
    ----------
    client : object
        The adapter's client of the platform.
    calls : PlatformCalls
        Makes the calls to it.
    state : EntryState
        Supplies the membership view and receives the configuration.
    links : PeerLinks
        Connections to the other VMs.
    """

    def __init__(self, *, client, calls, state, links):
        self._client = client
        self._calls = calls
        self._state = state
        self._follower = _platform_follower.PlatformFollower(
            name='configuration',
            step=self._update,
            calls=calls,
            rng=random.Random(state.settings.vm),
        )
        self._exchange = _revision_exchange.RevisionExchange(
            vm=state.settings.vm,
            data_centre=state.settings.data_centre,
            fleet=state,
            links=links,
            build_configuration=self._build,
            options=_make_options(state.settings),
            tick_interval_s=TICK_INTERVAL_S,
            apply=self._apply,
            watch=self._follower.run,
            note_answer=self._note_peer_answer,
        )

    def register(self, mailboxes):
        """Have the peers' messages about versions delivered to this task."""
        self._exchange.register(mailboxes)

    async def run(self):
        """Keep the configuration up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            if _has_peers(self._state.settings):
                _tasks.start_isolated(
                    nursery, self._read_at_start, subject='the start'
                )
            await self._exchange.run()

    def _note_peer_answer(self, answer):
        if answer.platform_age_ms >= 0:
            self._calls.note_heard(answer.platform_age_ms)

    async def _read_at_start(self):
        """Read a small configuration at once, so that this VM can serve."""
        try:
            change, _ = await self._calls.call(
                self._client.read_table, size_max_bytes=START_READ_MAX_BYTES
            )
        except (
            changes_module.HistoryLostError,
            changes_module.PlatformUnavailableError,
            changes_module.TooLargeError,
        ) as error:
            emit(
                events.PLATFORM_CALL_FAILED, what='configuration', error=error
            )
            return
        if change is not None:
            await self._publish([change])

    def _build(self, value):
        """Build the table of a value that another VM has sent.

        Raises
        ------
        ConfigurationError
            If this VM's version of the program can't use the value.
        """
        try:
            return self._client.build_table(value)
        except changes_module.TableError as error:
            raise core.ConfigurationError(
                [
                    core.Problem(
                        path='',
                        message=str(error),
                        remedy='publish a configuration that all VMs can use',
                    )
                ]
            ) from error

    async def _apply(self, command):
        table, previous = command.configuration, self._state.table
        self._state.replace_table(table)
        emit(
            events.CONFIGURATION_IN_FORCE,
            version=table.version,
            previous=previous.version,
            source=command.source or 'the platform',
            routes=len(table.routes),
        )
        if table.customers is not None:
            emit(
                events.CUSTOMERS_IN_FORCE,
                version=table.version,
                customers=len(table.customers.names),
                keys=table.customers.key_count,
            )

    async def _update(self, after):
        try:
            return await self._read_changes(after)
        except changes_module.PlatformUnavailableError:
            await self._exchange.inbox.send(core.PlatformFailed())
            raise

    async def _read_changes(self, after):
        if after is None:
            change, position = await self._calls.call(self._client.read_table)
            changes = [change] if change is not None else []
        else:
            changes, position = await self._calls.call(
                self._client.watch_table,
                after,
                is_probe=self._calls.health.is_in_doubt,
            )
        self._follower.note_era(position.era)
        self._follower.note_regained()
        await self._exchange.inbox.send(core.PlatformAnswered())
        await self._publish(changes)
        # In a series of versions each answer of a watch carries every one of
        # them whole, a read only the newest.
        return position if len(changes) <= 1 else None

    async def _publish(self, changes):
        """Pass on the newest usable one of some changes."""
        usable = None
        for change in changes:
            _log_transfer(change, _clock.read_clock_ms())
            if not change.problem:
                usable = change
                continue
            emit(
                events.CONFIGURATION_UNUSABLE,
                revision=change.revision,
                version=self._state.table.version,
                error=change.problem,
            )
        if usable is not None:
            await self._exchange.inbox.send(
                core.RevisionPublished(
                    value=usable.value, configuration=usable.table
                )
            )


def _has_peers(settings):
    return any(host != settings.host for host in settings.seed_hosts)


def _make_options(settings):
    has_peers = _has_peers(settings)
    return core.RevisionOptions(
        exchange_interval_ms=EXCHANGE_INTERVAL_MS,
        first_exchange_interval_ms=FIRST_EXCHANGE_INTERVAL_MS,
        start_timeout_ms=START_TIMEOUT_MS,
        view_settle_ms=VIEW_SETTLE_MS if has_peers else 0,
        waits_for_peers_at_start=has_peers,
        platform_silence_ms=PLATFORM_SILENCE_MS,
        leaves_out_older_builds=True,
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
