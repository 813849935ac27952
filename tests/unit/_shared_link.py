"""VMs of one region that read a store over one link, in simulated time."""

import random
import unittest.mock

import attrs
import httpcore
import trio
import trio.testing

from bluebellthread import core
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.entry import _configuration_task
from bluebellthread.entry import _news_task
from bluebellthread.entry import _platform_calls
from bluebellthread.entry import _platform_task
from bluebellthread.entry import _state
from bluebellthread.entry import EntrySettings
from bluebellthread import platform
from bluebellthread import wire
from standin import site
from standin.site import _connection

CHUNK_BYTES = 8192
REGION_DELAY_S = 0.02


class Link:
    """Link of a limited rate that its users share by turns.

    Parameters
    ----------
    rate_mbps : float
        Rate in megabits per second.
    """

    def __init__(self, rate_mbps):
        self._bytes_per_s = rate_mbps * 1e6 / 8
        self._lock = trio.Lock()
        self.sent_bytes = 0

    async def transmit(self, size_bytes):
        """Return when a chunk has passed the link."""
        async with self._lock:
            await trio.sleep(size_bytes / self._bytes_per_s)
            self.sent_bytes += size_bytes


async def _transmit(size_bytes, links):
    for start in range(0, size_bytes, CHUNK_BYTES):
        for link in links:
            await link.transmit(min(CHUNK_BYTES, size_bytes - start))


class _PacedStream(trio.abc.Stream):
    """Server side of a connection; what it sends passes links in turn."""

    def __init__(self, stream, links):
        self._stream = stream
        self._links = links

    async def send_all(self, data):
        await trio.sleep(REGION_DELAY_S)
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            await _transmit(len(chunk), self._links)
            await self._stream.send_all(chunk)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()


class _ClientStream(httpcore.AsyncNetworkStream):
    """Client side of a connection, as httpcore uses it."""

    def __init__(self, stream):
        self._stream = stream

    async def read(self, max_bytes, timeout=None):
        del timeout
        return await self._stream.receive_some(max_bytes)

    async def write(self, buffer, timeout=None):
        del timeout
        await self._stream.send_all(buffer)

    async def aclose(self):
        await trio.aclose_forcefully(self._stream)

    def get_extra_info(self, info):
        del info


class Backend(httpcore.AsyncNetworkBackend):
    """Connects to a stand-in store over links, without sockets.

    Parameters
    ----------
    store : object
        Its ``async`` method ``handle`` takes a request and answers it.
    links : tuple of Link
        Links that the answers pass in turn.
    nursery : trio.Nursery
        Runs the tasks of the connections.
    """

    def __init__(self, *, store, links, nursery):
        self._store = store
        self._links = links
        self._nursery = nursery

    async def connect_tcp(self, host, port, **options):
        del host, port, options
        client, server = trio.testing.memory_stream_pair()
        self._nursery.start_soon(
            _connection.serve_connection,
            self._store.handle,
            _PacedStream(server, self._links),
        )
        return _ClientStream(client)

    async def sleep(self, seconds):
        await trio.sleep(seconds)


@attrs.define
class Vm:
    """The part of an entry process that follows the store.

    Parameters
    ----------
    is_refused : bool
        Whether the store turns it away.
    is_deaf : bool
        Whether it rejects and sends no messages about versions, as a VM of a
        build without them does.
    """

    name: str
    state: _state.EntryState
    link: Link
    mailboxes: _mailboxes.Mailboxes = attrs.field(factory=_mailboxes.Mailboxes)
    is_refused: bool = False
    is_deaf: bool = False


@attrs.define
class _StoreAccess:
    """A store as one VM reaches it."""

    vm: Vm
    store: site.Store

    async def handle(self, request):
        if self.vm.is_refused:
            await request.answer(503)
            return
        await self.store.handle(request)


class _PeerLinks:
    """Delivers messages between the VMs of a region over their links."""

    def __init__(self, vm, vms):
        self._vm = vm
        self._vms = vms

    async def call(self, member, message, *, deadline_ms):
        remaining_s = deadline_ms / 1000 - trio.current_time()
        with trio.move_on_after(remaining_s):
            answers = []
            answered = trio.Event()

            def answer(answer_message):
                answers.append(answer_message)
                answered.set()

            await self._deliver(member, message, answer)
            await answered.wait()
            receiver = self._vms[member.name]
            await self._carry(answers[0], receiver, self._vm)
            return answers[0]
        raise _peers.PeerUnreachableError(member.name, 'no answer')

    async def send(self, member, message):
        await self._deliver(member, message, lambda answer: None)

    async def _deliver(self, member, message, answer):
        receiver = self._vms[member.name]
        await self._carry(message, self._vm, receiver)
        envelope = wire.Envelope(
            message=message, sender=self._vm.name, sender_incarnation=1
        )
        inbound = _mailboxes.InboundMessage(envelope=envelope, answer=answer)
        mailboxes = receiver.mailboxes
        if receiver.is_deaf:
            mailboxes = _mailboxes.Mailboxes()
        mailboxes.deliver(inbound)

    async def _carry(self, message, sender, receiver):
        envelope = wire.Envelope(
            message=message, sender=sender.name, sender_incarnation=1
        )
        size_bytes = len(wire.encode_frame(envelope, now_ms=0))
        await _transmit(size_bytes, (sender.link, receiver.link))


class Region:
    """The VMs of a region away from the store.

    Parameters
    ----------
    vm_counts : dict of str to int
        Number of VMs by data centre.
    region_mbps, vm_mbps : float
        Rates of the link to the store's region and of each VM's own link.
    seed_hosts : tuple of str
        Seeds in the settings of the VMs; without any, a VM expects no others.
    """

    def __init__(self, *, vm_counts, region_mbps, vm_mbps, seed_hosts=()):
        self.store = site.Store()
        self.region_link = Link(region_mbps)
        self.vms = []
        for data_centre, count in vm_counts.items():
            for number in range(count):
                settings = make_settings(
                    f'{data_centre}-{number}', data_centre, seed_hosts
                )
                self.vms.append(
                    Vm(
                        name=settings.vm,
                        state=_state.EntryState(settings),
                        link=Link(vm_mbps),
                    )
                )

    def start(self, nursery, *, alone_s=0.0):
        """Start all VMs, which know each other after ``alone_s`` seconds."""
        if alone_s:
            for vm in self.vms:
                vm.state.publish_view(_make_view([vm]))
            nursery.start_soon(self._introduce, alone_s)
        else:
            self._publish_view()
        by_name = {vm.name: vm for vm in self.vms}
        for vm in self.vms:
            backend = Backend(
                store=_StoreAccess(vm, self.store),
                links=(self.region_link, vm.link),
                nursery=nursery,
            )
            client = platform.StoreClient(
                host='store', port=1, network_backend=backend
            )
            calls = _platform_calls.PlatformCalls(
                vm=vm.state.settings.vm,
                news=_news_task.NewsTask(state=vm.state, links=None),
                rng=random.Random(1),
            )
            configuration = _configuration_task.ConfigurationTask(
                client=client,
                calls=calls,
                state=vm.state,
                links=_PeerLinks(vm, by_name),
            )
            servers = _platform_task.PlatformTask(
                client=client,
                calls=calls,
                state=vm.state,
                tell=lambda departures: None,
            )
            if not vm.is_deaf:
                configuration.register(vm.mailboxes)
                nursery.start_soon(configuration.run)
            nursery.start_soon(servers.run)

    async def _introduce(self, alone_s):
        await trio.sleep(alone_s)
        self._publish_view()

    def _publish_view(self):
        view = _make_view(self.vms)
        for vm in self.vms:
            vm.state.publish_view(view)

    def list_behind(self, version):
        """Return the names of the VMs that have an older configuration.

        Deaf VMs are left out.
        """
        return [
            vm.name
            for vm in self.vms
            if not vm.is_deaf and vm.state.table.version < version
        ]


def _make_view(vms):
    return core.MembershipView(
        members=tuple(
            core.Member(
                name=vm.name,
                data_centre=vm.state.settings.data_centre,
                region=vm.state.settings.region,
                host='127.0.0.1',
                peer_port=1,
                caller_port=2,
            )
            for vm in vms
        )
    )


def make_settings(vm, data_centre, seed_hosts=()):
    return EntrySettings(
        vm=vm,
        data_centre=data_centre,
        region='south',
        host='127.0.0.1',
        regions={data_centre: 'south'},
        caller_port=0,
        ready_port=0,
        peer_port=0,
        metrics_port=0,
        seed_hosts=seed_hosts,
        is_first_start=False,
        platform_host='store',
        platform_port=1,
        stop_grace_ms=8000,
        repeat_ratio=0.2,
        repeat_window_ms=10000,
        repeat_slack=56,
    )


def run_simulated(function):
    """Run an async function in simulated time and return its result."""

    def read_clock_ms():
        return int(trio.current_time() * 1000)

    with unittest.mock.patch(
        'bluebellthread.daemon._clock.read_clock_ms', read_clock_ms
    ):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, clock=clock)
