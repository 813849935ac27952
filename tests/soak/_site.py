"""The processes and stand-ins of one soak."""

import json
import os
import pathlib
import signal
import socket
import sys

import attrs
import trio

from standin import _proxy
from standin import site

HOST = 'calls.example'
DATA_CENTRES = ('cluj-a', 'brasov-b')
HEARTBEAT_MS = 1200
STOP_GRACE_S = 8
BOUNDS = {
    'graceS': STOP_GRACE_S,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 56,
}
RESTART_S = 0.2


def find_free_port(host):
    """Return a port that is free now on an address, for TCP and UDP."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Vm:
    """One entry process on an address of its own, restarted as it ends."""

    def __init__(self, *, index, folder, store_port, seeds, ports):
        self.name = f'vm{index}'
        self.host = host_of(index)
        self.ports = ports
        self.store_proxy = _proxy.Proxy(
            _proxy.ProxySettings(name=self.name, target_port=store_port)
        )
        self.process = None
        self.exits = []
        self.disturbed_s = trio.current_time()
        self.expected_exit = False
        self._path = pathlib.Path(folder) / f'{self.name}.json'
        self._log_path = pathlib.Path(folder) / f'{self.name}.log'
        self._seeds = seeds
        self._index = index

    def write_settings(self):
        """Write the platform's settings file of this VM."""
        zone = DATA_CENTRES[self._index % len(DATA_CENTRES)]
        store = f'127.0.0.1:{self.store_proxy.settings.port}'
        fields = {
            'nodeName': self.name,
            'ip': self.host,
            'zone': zone,
            'region': 'north',
            'zones': dict.fromkeys(DATA_CENTRES, 'north'),
            'listen': {
                'front': f'{self.host}:{self.ports["front"]}',
                'ready': f'{self.host}:{self.ports["ready"]}',
            },
            'internalPorts': [self.ports['peer'], self.ports['peer']],
            'seedNodes': [f'{host}:1' for host in self._seeds],
            'heartbeatMs': HEARTBEAT_MS,
            'limits': {'memoryMb': 150, 'fdLimit': 4100},
            'bounds': BOUNDS,
            'platform': {'address': store},
        }
        self._path.write_text(json.dumps(fields), encoding='utf-8')

    async def run(self):
        """Keep the process running until cancelled."""
        command = [sys.executable, '-m', 'bluebellthread.run_entry']
        command += ['--settings', str(self._path), '--metrics-port', '0']
        while True:
            self.expected_exit = False
            with open(self._log_path, 'ab') as log:
                self.process = await trio.lowlevel.open_process(
                    command, stdout=log, stderr=log, env=dict(os.environ)
                )
            try:
                code = await self.process.wait()
            finally:
                self._kill()
            self.disturbed_s = trio.current_time()
            if not self.expected_exit:
                self.exits.append((self.name, code, self._read_last_line()))
            await trio.sleep(RESTART_S)

    def _read_last_line(self):
        """Return what the process said last, mostly why it ended."""
        lines = self._log_path.read_text(errors='replace').splitlines()
        return lines[-1].strip() if lines else ''

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.disturbed_s = trio.current_time()
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.expected_exit = True
            self.process.send_signal(number)

    def _kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()


@attrs.define
class Backend:
    """A stand-in behind a proxy, as it is listed."""

    server: site.PlainServer
    service: str
    proxy: _proxy.Proxy
    left_s: float | None = None

    def entry(self, **changes):
        """Return the entry that names the proxy's address."""
        port = self.proxy.settings.port
        return self.server.entry(
            self.service, address=f'127.0.0.1:{port}', **changes
        )


class SoakSite:
    """Everything that one soak runs."""

    def __init__(self, *, rng, folder, vm_count=3):
        self.rng = rng
        self.store = site.Store()
        self.backends = {}
        self.vms = []
        self.version = 0
        self.version_acked_s = {}
        self.store_disturbed_s = 0.0
        self.nursery = None
        self._folder = folder
        self._vm_count = vm_count
        self._numbers = iter(range(1, 1000))

    async def start(self, nursery):
        """Start stand-ins and processes."""
        self.nursery = nursery
        await self.store.start(nursery)
        for service, kind, count in (
            ('plain', 'plain', 3),
            ('model', 'prefill', 2),
            ('model', 'decode', 3),
        ):
            for _ in range(count):
                await self.add_backend(service, kind)
        self.publish()
        hosts = [host_of(index) for index in range(self._vm_count)]
        ports = {
            name: find_free_port(hosts[0])
            for name in ('front', 'ready', 'peer')
        }
        for index in range(self._vm_count):
            vm = Vm(
                index=index,
                folder=self._folder,
                store_port=self.store.port,
                seeds=hosts,
                ports=ports,
            )
            await vm.store_proxy.start(nursery)
            vm.write_settings()
            self.vms.append(vm)
            nursery.start_soon(vm.run)

    async def add_backend(self, service, kind):
        """Start a backend server behind a proxy and list it."""
        name = f'{kind}-{next(self._numbers)}'
        if kind == 'plain':
            server = site.PlainServer(name=name)
        else:
            server = site.Engine(name=name, stage=kind, event_count=12)
            server.event_pause_s = 0.02
        await server.start(self.nursery)
        proxy = _proxy.Proxy(
            _proxy.ProxySettings(name=name, target_port=server.port)
        )
        await proxy.start(self.nursery)
        backend = Backend(server, service, proxy)
        self.backends[name] = backend
        self.store.put(f'servers/{name}', backend.entry())
        return backend

    def publish(self):
        """Publish the next version, which adds a route of its own."""
        self.version += 1
        self.version_acked_s[self.version] = trio.current_time()
        routes = [
            _route('/read/', 'safe', 'plain'),
            _route('/order/', 'unsafe', 'plain', maxAttempts=1),
            _route('/ask/', 'stream', 'model'),
            _route('/once/', 'stream', 'model', resumable=False),
            _route(f'/version-{self.version}/', 'safe', 'plain'),
        ]
        services = [
            {'name': 'plain', 'maxConnections': 99},
            {
                'name': 'model',
                'maxConnections': 99,
                'engine': {'slots': 48, 'kvTokens': 35962, 'kvHoldS': 0.5},
            },
        ]
        fields = {
            'version': self.version,
            'routes': routes,
            'services': services,
        }
        self.store.put('op/config', fields)

    def count_runs(self):
        """Return how often each request id has run, over all servers."""
        counts = {}
        for backend in self.backends.values():
            for request in backend.server.runs:
                request_id = request.headers.get('x-request-attempt-id', '')
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts


def host_of(index):
    """Return the loopback address of a VM.

    Soaks that run at the same time use different ones: else a connection
    of one takes the port of another's process that is starting again.
    """
    number = os.getpid()
    return f'127.{16 + number // 250 % 200}.{number % 250}.{index + 1}'


def _route(prefix, kind, service, **changes):
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 900,
        'service': service,
        'maxAttempts': 2,
        'resumable': kind == 'stream',
        'gapAimMs': 300,
        **changes,
    }
