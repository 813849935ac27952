"""The daemon process: creates, starts and stops all its tasks."""

import functools
import secrets

from hypercorn import trio as hypercorn_trio
import trio

from bluebellthread import core
from bluebellthread.daemon import _admission
from bluebellthread.daemon import _cautious_share
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _configuration_task
from bluebellthread.daemon import _engine_control
from bluebellthread.daemon import _fleet
from bluebellthread.daemon import _gateway
from bluebellthread.daemon import _http_server
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _membership_task
from bluebellthread.daemon import _model_path
from bluebellthread.daemon import _orders_task
from bluebellthread.daemon import _pause_guard
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _permit_client
from bluebellthread.daemon import _platform
from bluebellthread.daemon import _platform_watch
from bluebellthread.daemon import _request_log
from bluebellthread.daemon import _scheduler_task
from bluebellthread.daemon import _service_path
from bluebellthread.daemon import _status_task
from bluebellthread.daemon import _stop_admission
from bluebellthread.daemon import _tasks
from bluebellthread.daemon import _ticket_parts
from bluebellthread.daemon import _ticket_path
from bluebellthread.daemon import _traffic
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import Metrics
from bluebellthread.observe import Tracer

MINORITY_TIMEOUT_MS = 10000
"""How long a VM in a minority waits before it cancels dead gateways' runs.

A VM that knows fewer live than dead VMs in its data centre may itself be cut
off; live gateways then look dead to it.
"""

RELEASE_TIMEOUT_S = 2
RELEASE_POLL_S = 0.02

STOP_CHECK_S = 0.05
"""How often a stop looks for requests that have become too late to begin."""

BODY_TIMEOUT_MS = 10000
"""Timeout for receiving a caller's request body."""


class DaemonService:
    """All parts of the daemon on one VM.

    Parameters
    ----------
    settings : bluebellthread.configuration.Settings
        Settings of this process.
    """

    def __init__(self, settings):
        self._settings = settings
        self.incarnation = secrets.randbits(62)
        self.fleet = _fleet.Fleet()
        self._stop = trio.Event()
        self._tickets_stopped = trio.Event()
        self._make_telemetry()
        self._make_peers()
        self._make_scheduling()
        self._tickets = _ticket_parts.make_ticket_parts(
            settings,
            incarnation=self.incarnation,
            fleet=self.fleet,
            links=self._links,
            mailboxes=self._mailboxes,
        )
        self._make_membership()
        self._make_permit_client()
        self._make_configuration()
        self._make_orders_task()
        self._make_gateway()

    def _make_telemetry(self):
        settings = self._settings
        self._tracer = Tracer(vm=settings.vm, path=settings.trace_path)
        self._metrics = Metrics(
            host=settings.statsd_host,
            port=settings.statsd_port,
            vm=settings.vm,
        )
        self._traffic = _traffic.Traffic(self._metrics)

    def _make_peers(self):
        settings = self._settings
        self._mailboxes = _mailboxes.Mailboxes()
        self._peer_server = _peers.PeerServer(
            vm=settings.vm,
            incarnation=self.incarnation,
            mailboxes=self._mailboxes,
            traffic=self._traffic,
        )
        self._links = _peers.PeerLinks(
            vm=settings.vm,
            incarnation=self.incarnation,
            host=settings.host,
            mailboxes=self._mailboxes,
            traffic=self._traffic,
        )
        self._platform = _platform.PlatformClient(
            addresses=settings.platform_addresses
        )

    def _is_enabled(self, mechanism):
        return mechanism not in self._settings.disabled_mechanisms

    def _make_scheduling(self):
        settings = self._settings
        self._membership_options = core.MembershipOptions(
            detects_pauses=self._is_enabled('pause-detection'),
            probes=self._is_enabled('probes'),
        )
        self._guard = _pause_guard.PauseGuard(
            lease_timeout_ms=self._membership_options.lease_timeout_ms
        )
        self._engine_control = _engine_control.EngineControl(
            adapter=settings.engine_adapter
        )
        self._scheduler_task = _scheduler_task.SchedulerTask(
            vm=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            incarnation=self.incarnation,
            fleet=self.fleet,
            guard=self._guard,
            links=self._links,
            cancels=self._engine_control.cancels,
            options=core.SchedulerOptions(
                cancels_gone_gateways=self._is_enabled('gateway-cancel'),
                cancels_strays=self._is_enabled('stray-cancel'),
                asks_registrations=self._is_enabled('registrations'),
                minority_timeout_ms=MINORITY_TIMEOUT_MS
                if self._is_enabled('minority-wait')
                else 0,
            ),
        )
        for message_class in (
            core.PermitRequest,
            core.PermitProgressed,
            core.PermitReleased,
            core.PermitAbandoned,
            core.PermitsRegistered,
        ):
            self._mailboxes.register(message_class, self._scheduler_task.inbox)

    def _make_membership(self):
        settings = self._settings
        self._membership_task = _membership_task.MembershipTask(
            fleet=self.fleet,
            guard=self._guard,
            options=self._membership_options,
            scheduler_inbox=self._scheduler_task.inbox,
            seeds=tuple(map(_split_address, settings.seed_addresses)),
            traffic=self._traffic,
        )

    def _make_permit_client(self):
        share = _cautious_share.CautiousShare(
            fleet=self.fleet,
            engine_control=self._engine_control,
            enabled=self._is_enabled('cautious-share'),
        )
        self._permit_client = _permit_client.PermitClient(
            vm=self._settings.vm,
            incarnation=self.incarnation,
            fleet=self.fleet,
            guard=self._guard,
            links=self._links,
            share=share,
            cancels=self._engine_control.cancels,
            resends_releases=self._is_enabled('release-resend'),
        )
        self._mailboxes.register(
            core.RegistrationWanted, self._permit_client.inbox
        )

    def _make_gateway(self):
        settings = self._settings
        stop_admission = _stop_admission.StopAdmission(
            vm=settings.vm, data_centre=settings.data_centre, fleet=self.fleet
        )
        self._model_path = _model_path.ModelPath(
            vm=settings.vm,
            incarnation=self.incarnation,
            data_centre=settings.data_centre,
            permit_client=self._permit_client,
            fleet=self.fleet,
            adapter=settings.engine_adapter,
            tracer=self._tracer,
            metrics=self._metrics,
            stop_admission=stop_admission,
            disabled_mechanisms=settings.disabled_mechanisms,
        )
        self._mailboxes.register(core.PermitCancelled, self._model_path.inbox)
        self._service_path = _service_path.ServicePath(
            data_centre=settings.data_centre,
            fleet=self.fleet,
            ticket_path=self._tickets.path,
            stop_admission=stop_admission,
        )
        self._admission = _admission.Admission(
            data_centre=settings.data_centre,
            fleet=self.fleet,
            request_max=settings.caller_connections_max,
        )
        self._request_log = _request_log.RequestLog(vm=settings.vm)
        self.gateway = _gateway.Gateway(
            state=self.fleet,
            paths=(
                ('/v1/', self._model_path),
                (_service_path.PREFIX, self._service_path),
                (_ticket_path.PREFIX, self._tickets.path),
            ),
            max_body_bytes=settings.request_body_max_bytes,
            body_timeout_ms=BODY_TIMEOUT_MS,
            tracer=self._tracer,
            metrics=self._metrics,
            request_log=self._request_log,
            admission=self._admission,
        )
        self._status_task = _status_task.StatusTask(
            settings=settings,
            incarnation=self.incarnation,
            fleet=self.fleet,
            admission=self._admission,
            scheduler_task=self._scheduler_task,
            request_log=self._request_log,
            revisions=self._configuration_task.revisions,
        )
        for message_class in (core.StatusRequest, core.RequestLookup):
            self._mailboxes.register(message_class, self._status_task.inbox)

    def _make_configuration(self):
        settings = self._settings
        self._platform_watch = _platform_watch.PlatformWatch(
            platform=self._platform,
            membership_inbox=self._membership_task.inbox,
        )
        self._configuration_task = _configuration_task.ConfigurationTask(
            vm=settings.vm,
            data_centre=settings.data_centre,
            fleet=self.fleet,
            links=self._links,
            platform=self._platform,
            listeners=(self._scheduler_task.inbox,),
            list_watch=self._platform_watch,
            options=core.RevisionOptions(
                waits_for_peers_at_start=self._is_enabled('start-hold'),
                ignores_older_revisions=self._is_enabled('revision-order'),
                exchanges_digests=self._is_enabled('digest-exchange'),
                limits_watchers=self._is_enabled('shared-watch'),
            ),
        )
        self._configuration_task.register(self._mailboxes)

    def _make_orders_task(self):
        self._orders_task = _orders_task.OrdersTask(
            vm=self._settings.vm,
            fleet=self.fleet,
            guard=self._guard,
            scheduler_task=self._scheduler_task,
            engine_control=self._engine_control,
            confirm_newest=self._configuration_task.confirm_newest,
            confirms=self._is_enabled('order-confirmation'),
        )
        self._engine_control.add_listener(self._orders_task.inbox)

    def stop(self):
        """Start a planned stop: report not ready, then drain."""
        if self.fleet.draining:
            return
        self._begin_schedule()
        emit(
            events.VM_STOPPING,
            vm=self._settings.vm,
            requests=self._admission.in_progress,
        )
        self._membership_task.leave()
        self._stop.set()

    def _begin_schedule(self):
        settings = self._settings
        lag_ms = 0
        if self._is_enabled('balancer-lag'):
            lag_ms = settings.balancer_lag_ms
        self.fleet.stop_schedule.begin(
            _clock.read_clock_ms(),
            grace_ms=lag_ms + settings.drain_timeout_ms,
            lag_ms=lag_ms,
        )

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Start every task; return once stopped and drained.

        Once all sockets listen, the task status receives the addresses for
        callers and for peers.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._links.run)
            await nursery.start(self._model_path.run)
            peers = await self._start_peer_server(nursery)
            _tasks.start_joined(nursery, self._scheduler_task.run)
            _tasks.start_joined(nursery, self._permit_client.run)
            _tasks.start_joined(
                nursery, self._engine_control.run, self._scheduler_task
            )
            _tasks.start_joined(nursery, self._status_task.run)
            _tasks.start_joined(nursery, self._platform_watch.run)
            await nursery.start(self._tickets.task.run)
            _tasks.start_joined(nursery, self._stop_tickets)
            _tasks.start_joined(nursery, self._end_requests)
            _tasks.start_joined(nursery, self._configuration_task.run)
            _tasks.start_joined(nursery, self._orders_task.run)
            await self._serve_callers(nursery, peers, task_status)
            await self._tickets_stopped.wait()
            await self._wait_for_permit_release()
            await self._membership_task.close()
            nursery.cancel_scope.cancel()
        await self.close()

    async def _stop_tickets(self):
        """Hand ticket records over to peers while callers are still served."""
        await self._wait_for_stop()
        await self._tickets.task.stop(
            end_deadline_ms=self.fleet.stop_schedule.end_deadline_ms
        )
        self._tickets_stopped.set()

    async def _end_requests(self):
        """Answer what is under way before its connections are closed.

        The paths know best what has run, so they are the first to answer.
        """
        await self._stop.wait()
        schedule = self.fleet.stop_schedule
        with trio.move_on_after(
            _clock.read_remaining_s(schedule.end_deadline_ms)
        ):
            while True:
                self._model_path.end_late()
                await trio.sleep(STOP_CHECK_S)
        self.gateway.end_reading()
        self._model_path.end_all()
        await trio.sleep(_clock.read_remaining_s(schedule.exit_deadline_ms))
        self.gateway.end_serving()

    async def _start_peer_server(self, nursery):
        listeners = await nursery.start(
            self._peer_server.serve,
            self._settings.host,
            self._settings.peer_port,
        )
        host, port = listeners[0].socket.getsockname()
        reachable = self._settings.peer_address or f'{host}:{port}'
        self._tickets.task.set_address(*_split_address(reachable))
        return f'{host}:{port}'

    def _make_member(self, callers, peers):
        settings = self._settings
        host, peer_port = _split_address(settings.peer_address or peers)
        return core.Member(
            name=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            host=host,
            peer_port=peer_port,
            caller_port=_split_address(callers)[1],
            incarnation=self.incarnation,
        )

    async def close(self):
        """Close connections and files that the tasks leave open."""
        with trio.CancelScope(shield=True):
            await self._model_path.close()
            await self._service_path.close()
            await self._engine_control.close()
            await self._platform.close()
        self._tracer.close()
        self._metrics.close()
        emit(events.VM_STOPPED, vm=self._settings.vm)

    async def _wait_for_permit_release(self):
        """Wait until all permits are released, or the timeout expires."""
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            while not self._permit_client.idle:
                await trio.sleep(RELEASE_POLL_S)

    async def _wait_for_stop(self):
        """Wait for `stop`, then for the load balancer to notice the stop."""
        await self._stop.wait()
        leave_ms = self.fleet.stop_schedule.leave_ms
        await trio.sleep(_clock.read_remaining_s(leave_ms))

    async def _serve_callers(self, daemon_nursery, peers, task_status):
        config = _http_server.make_server_config(self._settings)
        serve = functools.partial(
            hypercorn_trio.serve,
            self.gateway,
            config,
            shutdown_trigger=self._wait_for_stop,
        )
        # This nursery ends once the HTTP server has drained.
        async with trio.open_nursery() as nursery:
            urls = await nursery.start(serve)
            callers = urls[0].removeprefix('http://')
            member = self._make_member(callers, peers)
            run = functools.partial(
                self._membership_task.run, address=_split_address(peers)
            )
            await daemon_nursery.start(run, member)
            emit(
                events.VM_STARTED,
                vm=self._settings.vm,
                callers=callers,
                peers=peers,
            )
            task_status.started((callers, peers))


def _split_address(text):
    host, _, port = text.rpartition(':')
    return host, int(port)
