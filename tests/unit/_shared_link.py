"""VMs of one region that read a store over one link, in simulated time."""

import unittest.mock

import attrs
import httpcore
import trio
import trio.testing

from bluebellthread.entry import _platform_task
from bluebellthread.entry import _state
from bluebellthread.entry import EntrySettings
from bluebellthread import platform
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


class _PacedStream(trio.abc.Stream):
    """Server side of a connection; what it sends passes links in turn."""

    def __init__(self, stream, links):
        self._stream = stream
        self._links = links

    async def send_all(self, data):
        await trio.sleep(REGION_DELAY_S)
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            for link in self._links:
                await link.transmit(len(chunk))
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


class _Backend(httpcore.AsyncNetworkBackend):
    """Connects to a stand-in store over links, without sockets."""

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
    """The part of an entry process that follows the store."""

    name: str
    state: _state.EntryState
    link: Link


class Region:
    """The VMs of a region away from the store.

    Parameters
    ----------
    vm_counts : dict of str to int
        Number of VMs by data centre.
    region_mbps, vm_mbps : float
        Rates of the link to the store's region and of each VM's own link.
    """

    def __init__(self, *, vm_counts, region_mbps, vm_mbps):
        self.store = site.Store()
        self.region_link = Link(region_mbps)
        self.vms = []
        for data_centre, count in vm_counts.items():
            for number in range(count):
                settings = make_settings(
                    f'{data_centre}-{number}', data_centre
                )
                self.vms.append(
                    Vm(
                        name=settings.vm,
                        state=_state.EntryState(settings),
                        link=Link(vm_mbps),
                    )
                )

    def start(self, nursery):
        """Start all VMs."""
        for vm in self.vms:
            backend = _Backend(
                store=self.store,
                links=(self.region_link, vm.link),
                nursery=nursery,
            )
            client = platform.StoreClient(
                host='store', port=1, network_backend=backend
            )
            task = _platform_task.PlatformTask(client=client, state=vm.state)
            nursery.start_soon(task.run)

    def list_behind(self, version):
        """Return the names of the VMs that have an older configuration."""
        return [vm.name for vm in self.vms if vm.state.table.version < version]


def make_settings(vm, data_centre):
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
        seed_hosts=(),
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
