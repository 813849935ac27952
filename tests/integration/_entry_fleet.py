"""Several entry processes in one event loop, each on its own loopback host."""

import contextlib
import functools
import socket

import attrs
import trio

from bluebellthread.entry import EntryService
from bluebellthread import platform
from standin import site
from tests.integration import _entry_site as sites
from tests.integration import _server_cuts

DATA_CENTRES = ('cluj-a', 'brasov-b', 'bucuresti-a')


@attrs.define
class Fleet:
    """Holds the stand-ins and the entry processes of one test."""

    store: site.Store
    servers: dict
    nursery: trio.Nursery
    peer_port: int
    vms: dict = attrs.field(factory=dict)
    doors: dict = attrs.field(factory=dict)

    async def start_vm(self, number, **settings):
        """Start the entry process of a VM; it may have run before."""
        host = f'127.0.0.{number}'
        door = self.doors.get(number)
        if door is None:
            door = self.doors[number] = site.StoreDoor(store=self.store)
            await door.start(self.nursery)
        entry = EntryService(
            settings=sites.make_settings(
                self.store,
                vm=f'vm{number}',
                host=host,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                peer_port=self.peer_port,
                seed_hosts=('127.0.0.1', '127.0.0.2'),
                **settings,
            ),
            dialect=platform.make_dialect(),
            platform_client=platform.StoreClient(
                host='127.0.0.1', port=door.port
            ),
        )
        scope = trio.CancelScope()
        token = _server_cuts.current_vm.set(number)
        await self.nursery.start(self._run, entry, scope)
        _server_cuts.current_vm.reset(token)
        self.vms[number] = _Vm(host, entry, scope)

    async def _run(self, entry, scope, *, task_status):
        with scope:
            await entry.run(task_status=task_status)

    def kill_vm(self, number):
        """End the process of a VM without a planned stop."""
        self.vms.pop(number).scope.cancel()

    async def add_engine(self, name, **fields):
        """Start a decode engine and write its entry to the store."""
        engine = self.servers[name] = site.Engine(
            name=name, stage='decode', **fields
        )
        await engine.start(self.nursery)
        self.list_engine(name)

    async def list_processes(self):
        """List each server with its process's start, again at each start."""
        for server in self.servers.values():
            server.on_start = functools.partial(self._list_process, server)
            server.on_start()
        await sites.wait_until(
            lambda: all(
                vm.entry.state.directory.find(name).incarnation
                for vm in self.vms.values()
                for name in self.servers
            )
        )

    def _list_process(self, server):
        service = 'model' if isinstance(server, site.Engine) else 'plain'
        self.list_server(server.name, service, born=server.incarnation)

    def list_engine(self, name, **changes):
        """Write an engine's entry to the platform's store."""
        self.list_server(name, 'model', **changes)

    def list_server(self, name, service, **changes):
        """Write a server's entry to the platform's store."""
        entry = self.servers[name].entry(service, **changes)
        self.store.put(f'servers/{name}', entry)

    async def wait_ready(self, names=None):
        """Wait until all VMs know each other and the engines named."""
        names = self.servers if names is None else names
        await sites.wait_until(
            lambda: all(
                vm.entry.state.is_ready
                and len(
                    [
                        member
                        for member in vm.entry.state.view.members
                        if member.state == 'alive'
                    ]
                )
                == len(self.vms)
                and all(map(vm.entry.state.directory.find, names))
                for vm in self.vms.values()
            )
        )

    async def connect(self, number):
        """Return a caller's connection to a VM."""
        vm = self.vms[number]
        return sites.Caller(
            await trio.open_tcp_stream(vm.host, vm.entry.ports['caller_port'])
        )


@attrs.frozen
class _Vm:
    host: str
    entry: EntryService
    scope: trio.CancelScope


@contextlib.asynccontextmanager
async def running_fleet(
    *, vms=3, engines=(), plain=(), versions=None, zones=None, **settings
):
    """Run entry processes with stand-in engines; yield the `Fleet`.

    Parameters
    ----------
    vms : int
        Number of VMs.
    engines : tuple of str
        Names of the engines; those that begin with p run prefills, the
        others decode.
    plain : tuple of str
        Names of the servers of the plain service.
    versions : dict of str to str or None
        Software version of each engine that is not of ``'v1'``.
    zones : dict of str to str or None
        Data centre of each engine that is not in ``'cluj-a'``.
    **settings
        Fields of `EntrySettings` that differ from the defaults.
    """
    store = site.Store()
    servers = {
        name: site.Engine(
            name=name,
            stage='prefill' if name.startswith('p') else 'decode',
            software_version=(versions or {}).get(name, 'v1'),
        )
        for name in engines
    }
    servers |= {name: site.PlainServer(name=name) for name in plain}
    with trio.fail_after(sites.TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            for server in servers.values():
                await server.start(nursery)
            fleet = Fleet(store, servers, nursery, _find_free_port())
            store.put('op/config', sites.make_configuration())
            for name in engines:
                zone = (zones or {}).get(name, 'cluj-a')
                fleet.list_engine(name, zone=zone)
            for name in plain:
                fleet.list_server(name, 'plain')
            for number in range(1, vms + 1):
                await fleet.start_vm(number, **settings)
            await fleet.wait_ready()
            yield fleet
            nursery.cancel_scope.cancel()


def _find_free_port():
    """Return a port that is free for TCP and UDP on the first hosts."""
    while True:
        with contextlib.ExitStack() as stack:
            port = 0
            try:
                for number in range(1, 10):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(
                            socket.socket(socket.AF_INET, kind)
                        )
                        sock.bind((f'127.0.0.{number}', port))
                        port = sock.getsockname()[1]
            except OSError:
                # Another process has the port on one of the hosts.
                continue
            return port
