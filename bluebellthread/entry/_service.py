"""Starts, connects and stops the tasks of one entry process."""

import functools
import random
import secrets

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _membership_task
from bluebellthread.daemon import _pause_guard
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _socket_options
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _budgets
from bluebellthread.entry import _caller_connection
from bluebellthread.entry import _configuration_task
from bluebellthread.entry import _connection_control
from bluebellthread.entry import _customer_limits
from bluebellthread.entry import _gateway
from bluebellthread.entry import _hand_on
from bluebellthread.entry import _news_task
from bluebellthread.entry import _path_watch
from bluebellthread.entry import _placement_client
from bluebellthread.entry import _placement_task
from bluebellthread.entry import _plain_attempts
from bluebellthread.entry import _plain_path
from bluebellthread.entry import _platform_calls
from bluebellthread.entry import _platform_task
from bluebellthread.entry import _role_task
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_choices
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _server_limits
from bluebellthread.entry import _server_watch
from bluebellthread.entry import _shut_outs
from bluebellthread.entry import _silences
from bluebellthread.entry import _state
from bluebellthread.entry import _stats
from bluebellthread.entry import _stop_admission
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _stream_origins
from bluebellthread.entry import _stream_path
from bluebellthread.entry import _token_task
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import format_error
from bluebellthread.observe import read_dropped_count

MEMBERSHIP_OPTIONS = core.MembershipOptions(
    tick_period_ms=100,
    probe_period_ms=500,
    direct_timeout_ms=250,
    indirect_timeout_ms=250,
    suspicion_timeout_ms=400,
    lease_timeout_ms=800,
    deadline_extension_pause_ms=250,
)
"""Half as many membership messages as with the daemon's options. Failures are
noticed later, which is enough: a dead owner is skipped by the VMs that poll
it long before the membership declares it dead."""

MB_BYTES = 1024 * 1024
BODIES_PART = 4
"""The long bodies of all requests may take one part in this many of the
memory: the process itself takes a third of it on the users' smallest VMs, and
long answers a tenth."""

CLIENTS_MEMORY_PART = 4
"""All that is held for clients may take one part in this many of the memory:
the process at rest takes a third of it on the smallest VMs, and gaps between
blocks of memory as much as the blocks."""

CLIENTS_MEMORY_MIN_BYTES = 8 * MB_BYTES
"""Least memory for clients: enough for the longest request that the default
configuration allows."""

CONNECTION_MAX_BYTES = 21 * MB_BYTES
"""Most memory that one connection holds: a request and an answer, each of the
greatest length, and what is read beyond the request."""

CONNECTION_MIN_BYTES = 24 * 1024
"""What an open connection counts for: one that is idle takes 23 KB."""

MONITORING_CONNECTIONS_MAX = 64
"""Open connections to the ports of the readiness probe and the metrics."""

MONITORING_MEMORY_BYTES = 4 * MB_BYTES
"""Memory for these connections and their requests."""

RESERVED_FDS = 200
"""Descriptors left for listeners, peers, the store and pooled connections."""

FDS_PER_CONNECTION = 2
"""A client's connection has one descriptor, and its request another one, for
the connection to the server."""

PRUNE_PERIOD_S = 1.0
LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted: after a VM is lost, all of its
callers may connect to another VM at once."""


class EntryService:
    """Runs the entry process of one VM.

    Parameters
    ----------
    settings : EntrySettings
        Settings at the start.
    dialect : Dialect
        Headers and control calls of the backend servers.
    platform_client : object
        The adapter's client of the platform.

    Attributes
    ----------
    state : EntryState
        State that the tasks share.
    ports : dict of str to int
        The ports that the process listens on, by their names in the settings.
    stats : EntryStats
        Metrics of the process.
    shut_outs : ShutOuts
        Requests, and parts of prompts, that end servers.
    server_limits : ServerLimits
        Limits that servers name for the requests of all VMs.
    """

    def __init__(self, *, settings, dialect, platform_client):
        self._settings = settings
        self._incarnation = secrets.randbits(62)
        self._platform_client = platform_client
        self.state = _state.EntryState(settings)
        self.ports = {}
        self.stats = _stats.EntryStats()
        self._stop = trio.Event()
        self._connections = _server_connection.ServerConnections()
        self._control = _connection_control.ConnectionControl(
            lambda: self.state.table.limits,
            _stop_admission.StopAdmission(state=self.state, dialect=dialect),
            bodies_max_bytes=settings.memory_max_mb * MB_BYTES // BODIES_PART,
            dialect=dialect,
            memory=_make_client_memory(settings),
        )
        # A stop does not wait for connections of its own control.
        self._monitoring_control = _connection_control.ConnectionControl(
            lambda: self.state.table.limits,
            bodies_max_bytes=0,
            memory=core.ClientMemory(
                MONITORING_MEMORY_BYTES,
                connections_max=MONITORING_CONNECTIONS_MAX,
                connection_min_bytes=CONNECTION_MIN_BYTES,
            ),
        )
        self._make_peers()
        self._make_tasks(dialect)
        self._make_gateway(dialect)

    def _make_peers(self):
        settings = self._settings
        traffic = _NullTraffic()
        self._mailboxes = _mailboxes.Mailboxes()
        self._peer_server = _peers.PeerServer(
            vm=settings.vm,
            incarnation=self._incarnation,
            mailboxes=self._mailboxes,
            traffic=traffic,
        )
        # A VM of an older build closes a connection on which it gets a
        # message that it doesn't know, so news, tokens and the use of
        # customers' limits have connections of their own.
        (
            self._links,
            self._news_links,
            self._token_links,
            self._customer_links,
        ) = (
            _peers.PeerLinks(
                vm=settings.vm,
                incarnation=self._incarnation,
                host=settings.host,
                mailboxes=self._mailboxes,
                traffic=traffic,
            )
            for _ in range(4)
        )
        options = MEMBERSHIP_OPTIONS
        self._scheduler_views, self._unused = trio.open_memory_channel(0)
        self._membership = _membership_task.MembershipTask(
            fleet=self.state,
            guard=_pause_guard.PauseGuard(
                lease_timeout_ms=options.lease_timeout_ms
            ),
            options=options,
            scheduler_inbox=self._scheduler_views,
            seeds=_seeds_of(settings),
            traffic=traffic,
        )

    def _make_tasks(self, dialect):
        self._news = _news_task.NewsTask(
            state=self.state, links=self._news_links
        )
        self._news.register(self._mailboxes)
        calls = _platform_calls.PlatformCalls(
            vm=self.state.settings.vm,
            news=self._news,
            rng=random.Random(self._incarnation),
        )
        self._configuration = _configuration_task.ConfigurationTask(
            client=self._platform_client,
            calls=calls,
            state=self.state,
            links=self._links,
        )
        self._configuration.register(self._mailboxes)
        self.shut_outs = _shut_outs.ShutOuts(state=self.state, news=self._news)
        self.shut_outs.register(self._mailboxes)
        self._tokens = _token_task.TokenTask(
            state=self.state, links=self._token_links
        )
        self._tokens.register(self._mailboxes)
        self._customer_limits = _customer_limits.CustomerLimits(
            state=self.state,
            links=self._customer_links,
            dialect=dialect,
            stats=self.stats,
        )
        self._customer_limits.register(self._mailboxes)
        self.server_limits = _server_limits.ServerLimits(
            state=self.state,
            news=self._news,
            tokens=self._tokens,
            stats=self.stats,
            limit_header=dialect.limit,
            pause_header=dialect.retry_after,
        )
        self.server_limits.register(self._mailboxes)
        self._paths = _path_watch.PathWatch(
            state=self.state,
            connections=self._connections,
            rng=random.Random(self._incarnation),
        )
        self._silences = _silences.Silences(
            state=self.state, paths=self._paths, stats=self.stats
        )
        self._server_watch = _server_watch.ServerWatch(
            state=self.state,
            paths=self._paths,
            report=self._note_server_end,
        )
        self._platform = _platform_task.PlatformTask(
            client=self._platform_client,
            calls=calls,
            state=self.state,
            tell=self._news.tell_departures,
        )
        self._placements = _placement_client.PlacementClient(
            state=self.state, links=self._links, incarnation=self._incarnation
        )
        self._placement_task = _placement_task.PlacementTask(
            state=self.state,
            find_owner=self._placements.find_owner,
            hear_departures=self._news.hear_departures,
            limits=self.server_limits,
        )
        self._placement_task.register(self._mailboxes)
        self._origins = _stream_origins.StreamOrigins(
            state=self.state, links=self._links, client=self._platform_client
        )
        self._origins.register(self._mailboxes)

    def _note_server_end(self, report):
        self.stats.count_engine_end()
        self.shut_outs.note_end(report)

    def _note_leaving(self, server):
        departure = self.state.directory.note_leaving(
            server, _clock.read_clock_ms()
        )
        if departure is not None:
            emit(events.SERVER_SAID_LEAVING, server=server.name)
            self._news.tell_departures([departure])

    def _make_gateway(self, dialect):
        self._choices = _server_choices.ServerChoices(
            state=self.state,
            stats=self.stats,
            make_rng=functools.partial(random.Random, self._incarnation),
        )
        budgets = _budgets.RetryBudgets(self.state)
        caller = _server_calls.ServerCaller(
            connections=self._connections,
            dialect=dialect,
            limits=self.server_limits,
            paths=self._paths,
            note_leaving=self._note_leaving,
            note_wrong_server=self._silences.note_wrong_server,
            note_load=self._choices.note_answer_head,
        )
        self._roles = _role_task.RoleTask(
            state=self.state, caller=caller, dialect=dialect
        )
        self._hand_on = _hand_on.HandOn(
            state=self.state,
            budgets=budgets,
            dialect=dialect,
            stats=self.stats,
            rng=random.Random(self._incarnation),
        )
        attempts = _plain_attempts.PlainAttempts(
            state=self.state,
            caller=caller,
            choice=self._choices,
            budgets=budgets,
            limits=self.server_limits,
            shut_outs=self.shut_outs,
            server_watch=self._server_watch,
            paths=self._paths,
            silences=self._silences,
            hand_on=self._hand_on,
            dialect=dialect,
        )
        plain = _plain_path.PlainPath(
            attempts=attempts,
            budgets=budgets,
            shut_outs=self.shut_outs,
            server_watch=self._server_watch,
            paths=self._paths,
            silences=self._silences,
            hand_on=self._hand_on,
        )
        stream = _stream_path.StreamPath(
            _stream_context.StreamContext(
                state=self.state,
                caller=caller,
                placements=self._placements,
                origins=self._origins,
                budgets=budgets,
                shut_outs=self.shut_outs,
                server_watch=self._server_watch,
                paths=self._paths,
                silences=self._silences,
                hand_on=self._hand_on,
                dialect=dialect,
                stats=self.stats,
            )
        )
        self._gateway = _gateway.EntryGateway(
            state=self.state,
            control=self._control,
            paths=_gateway.make_paths(plain=plain, stream=stream),
            budgets=budgets,
            dialect=dialect,
            stats=self.stats,
            customer_limits=self._customer_limits,
        )

    def stop(self):
        """Start a planned stop: report not ready, then drain."""
        self._begin_stop()
        self._stop.set()

    def _begin_stop(self):
        self.state.stop_schedule.begin(
            _clock.read_clock_ms(), grace_ms=self._settings.stop_grace_ms
        )

    def apply_settings(self, settings):
        """Apply reloaded settings; only new seeds affect a running process."""
        changed = [
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = settings
        self._membership.set_seeds(_seeds_of(settings))
        emit(events.SETTINGS_RELOADED, changed=', '.join(changed) or 'nothing')

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until stopped and drained.

        Calls ``task_status.started`` once all ports listen.
        """
        settings = self._settings
        async with trio.open_nursery() as nursery:
            await nursery.start(self._links.run)
            await nursery.start(self._news_links.run)
            await nursery.start(self._token_links.run)
            await nursery.start(self._customer_links.run)
            await self._listen(nursery)
            await self._join(nursery)
            for task in (
                self._placement_task,
                self._placements,
                self._origins,
                self._news,
                self.shut_outs,
                self._tokens,
                self._customer_limits,
                self.server_limits,
                self._paths,
                self._server_watch,
                self._configuration,
                self._platform,
                self._roles,
            ):
                _tasks.start_joined(nursery, task.run)
            _tasks.start_lasting(nursery, self._prune)
            emit(
                events.ENTRY_STARTED,
                vm=settings.vm,
                incarnation=self._incarnation,
                **self.ports,
            )
            task_status.started()
            await self._stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        await self._close()

    async def _listen(self, nursery):
        settings = self._settings
        listeners = await nursery.start(
            self._peer_server.serve, settings.host, settings.peer_port
        )
        self.ports['peer_port'] = _port_of(listeners)
        for name, handler in (
            ('caller_port', self._serve_caller),
            ('relay_port', self._serve_vm),
            ('ready_port', self._serve_monitoring),
            ('metrics_port', self._serve_monitoring),
        ):
            listeners = await nursery.start(
                functools.partial(
                    trio.serve_tcp,
                    handler,
                    getattr(settings, name),
                    host=settings.host,
                    backlog=LISTEN_BACKLOG,
                )
            )
            self.ports[name] = _port_of(listeners)

    async def _join(self, nursery):
        """Join the membership, so that other VMs know this one."""
        settings = self._settings
        member = core.Member(
            name=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            host=settings.host,
            peer_port=self.ports['peer_port'],
            caller_port=self.ports['caller_port'],
            relay_port=self.ports['relay_port'],
            incarnation=self._incarnation,
        )
        address = (settings.host, self.ports['peer_port'])
        await nursery.start(
            functools.partial(self._membership.run, address=address), member
        )

    async def _serve_caller(self, stream):
        await self._serve_connection(
            stream, self._gateway.serve, self._control
        )

    async def _serve_vm(self, stream):
        """Serve the requests that another VM hands on."""
        await self._serve_connection(
            stream,
            self._gateway.serve_handed_on,
            self._control,
            is_of_vm=True,
        )

    async def _serve_monitoring(self, stream):
        await self._serve_connection(
            stream, self._answer_monitoring, self._monitoring_control
        )

    @staticmethod
    async def _serve_connection(stream, handler, control, *, is_of_vm=False):
        control.open_count += 1
        try:
            _socket_options.set_silence_timeouts(stream.socket)
            await _caller_connection.CallerConnection(
                stream=stream,
                handler=handler,
                control=control,
                is_of_vm=is_of_vm,
            ).run()
        except _tasks.FATAL_ERRORS:
            raise
        except Exception as error:
            # A bug hit by one connection must not end the process.
            emit(events.CONNECTION_CRASHED, error=format_error(error))
        finally:
            control.open_count -= 1

    async def _answer_monitoring(self, exchange):
        """Answer a readiness probe of the balancer, or serve the metrics."""
        if exchange.request.path.endswith('/metrics'):
            self._collect()
            headers = [(b'content-type', _stats.CONTENT_TYPE)]
            await exchange.respond(200, headers, self.stats.render())
            return
        await exchange.respond(200 if self.state.is_ready else 503, [], b'')

    def _collect(self):
        stats = self.stats
        counts = self._placement_task.counts.values()
        stats.set_gauge('config_version', self.state.table.version)
        stats.set_gauge(
            'server_connections_opened', self._connections.opened_count
        )
        stats.set_gauge('log_lines_dropped', read_dropped_count())
        stats.set_gauge(
            'request_body_bytes', self._control.body_budget.used_bytes
        )
        memory = self._control.memory
        stats.set_gauge('client_memory_bytes', memory.used_bytes)
        stats.set_gauge('client_connections', memory.open_count)
        stats.set_gauge('clients_cut_off', memory.cut_count)
        stats.set_gauge('connections_refused', memory.refused_count)
        stats.set_gauge(
            'requests_unacceptable', self._control.unacceptable_count
        )
        stats.set_gauge('tasks_failed', _tasks.read_failure_count())
        stats.set_gauge('placements_waiting', sum(item[0] for item in counts))
        stats.set_gauge('placements_held', sum(item[1] for item in counts))
        stats.set_gauge(
            'late_event_share', self._placement_task.late_event_share
        )
        stats.set_gauge('shut_outs', len(self.shut_outs.list_all()))
        stats.set_gauge('lost_services', len(self._paths.lost_services))
        stats.set_gauge('limited_servers', len(self.server_limits.list_all()))
        stats.set_server_loads(self._choices.list_estimates())

    async def _prune(self):
        while True:
            await trio.sleep(PRUNE_PERIOD_S)
            await self._connections.prune()
            await self._hand_on.prune()

    async def _drain(self):
        """Serve what ends within the grace period, refuse the rest.

        Callers are accepted until the process ends: one that finds no VM
        listening can't be told where the time is.
        """
        self._begin_stop()
        vm = self._settings.vm
        schedule = self.state.stop_schedule
        emit(
            events.ENTRY_STOPPING,
            vm=vm,
            connections=self._control.open_count,
            left_ms=schedule.find_remaining_ms(_clock.read_clock_ms()),
        )
        self._membership.leave()
        while True:
            now_ms = _clock.read_clock_ms()
            self._control.admission.note_running()
            self._control.end_due(now_ms)
            if now_ms >= schedule.exit_deadline_ms:
                break
            if now_ms >= schedule.leave_ms and not self._control.open_count:
                break
            await trio.sleep(_DRAIN_POLL_S)
        emit(events.ENTRY_STOPPED, vm=vm, connections=self._control.open_count)

    async def _close(self):
        with trio.CancelScope(shield=True):
            await self._connections.close()
            await self._hand_on.close()
            await self._platform_client.close()


_DRAIN_POLL_S = 0.05


def _make_client_memory(settings):
    free_fds = max(settings.fd_limit - RESERVED_FDS, FDS_PER_CONNECTION)
    size_max_bytes = max(
        settings.memory_max_mb * MB_BYTES // CLIENTS_MEMORY_PART,
        CLIENTS_MEMORY_MIN_BYTES,
    )
    return core.ClientMemory(
        size_max_bytes,
        connection_max_bytes=CONNECTION_MAX_BYTES,
        # Open connections leave half of the memory to requests.
        connections_max=min(
            free_fds // FDS_PER_CONNECTION,
            size_max_bytes // 2 // CONNECTION_MIN_BYTES,
        ),
        connection_min_bytes=CONNECTION_MIN_BYTES,
    )


def _port_of(listeners):
    return listeners[0].socket.getsockname()[1]


def _seeds_of(settings):
    return tuple(
        (host, settings.peer_port)
        for host in settings.seed_hosts
        if host != settings.host
    )


class _NullTraffic:
    """Ignores counts of control traffic: an entry process reports none."""

    def count(self, size_bytes, *, messages=1):
        """Ignore a count of sent messages."""

    def flush(self):
        """Do nothing: there are no counts to report."""
