"""Starts and stops the processes of one run: platform, engines, daemons."""

import os
import pathlib
import socket

import attrs
import trio

from bluebellthread import core
from tests.integration import _fleet

from bench import _deployments

REVISION = 1
READY_TIMEOUT_S = 20
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@attrs.frozen(kw_only=True)
class Policies:
    """Names of the policies under test, as set in the configuration."""

    prefill_policy: str
    decode_policy: str
    queue_policy: str
    spill_policy: str = 'none'


class StatsdSink:
    """UDP server that sums the statsd counters of all daemons."""

    def __init__(self):
        self.counts = {}
        self._socket = trio.socket.socket(type=socket.SOCK_DGRAM)

    async def start(self, nursery):
        """Start receiving counters and return the UDP port."""
        await self._socket.bind(('127.0.0.1', 0))
        nursery.start_soon(self._receive)
        return self._socket.getsockname()[1]

    def close(self):
        """Close the socket."""
        self._socket.close()

    async def _receive(self):
        while True:
            data = await self._socket.recv(65536)
            for line in data.decode().splitlines():
                name, _, rest = line.partition(':')
                value, _, kind = rest.partition('|')
                if kind == 'c':
                    name = name.split('.', 2)[-1]
                    self.counts[name] = self.counts.get(name, 0) + int(value)


class Rig:
    """A running deployment and the state of its engines.

    Parameters
    ----------
    deployment : Deployment
        Data centres and engines to start.
    policies : Policies
        Policies that the configuration sets.
    with_proxies : bool
        Whether KV cache transfers go through a proxy for each prefill
        engine, which some faults need.
    """

    def __init__(self, *, deployment, policies, with_proxies):
        self.deployment = deployment
        self.fleet = _fleet.Fleet()
        self._policies = policies
        self._with_proxies = with_proxies
        self._engines = []
        self._last_states = {}
        self.sink = StatsdSink()

    async def start(self, nursery):
        """Start every process and wait until all daemons are ready."""
        await self.fleet.start()
        statsd_port = await self.sink.start(nursery)
        await self.fleet.start_standins([{'kind': 'platform'}])
        for data_centre in self.deployment.data_centres:
            await self._start_engines(data_centre)
        if self._with_proxies:
            await self._start_proxies()
        await self.fleet.publish_config(self._configuration())
        async with trio.open_nursery() as starting:
            for data_centre in self.deployment.data_centres:
                for number in range(_deployments.VMS_PER_DATA_CENTRE):
                    starting.start_soon(
                        self._start_daemon, data_centre, number, statsd_port
                    )
        await self.fleet.publish_vms()
        for daemon in self.fleet.daemons.values():
            await _fleet.until(
                lambda daemon=daemon: self._is_ready(daemon),
                what=f'{daemon.name} ready',
                timeout_s=READY_TIMEOUT_S,
            )

    async def close(self):
        """Stop all processes and close the statsd socket."""
        self.sink.close()
        await self.fleet.close()

    def addresses(self):
        """Return each VM's host and caller port by data centre and number."""
        return {
            (data_centre.name, number): (
                daemon.callers.host,
                daemon.callers.port,
            )
            for data_centre in self.deployment.data_centres
            for number in range(_deployments.VMS_PER_DATA_CENTRE)
            for daemon in [self.fleet.daemons[f'{data_centre.name}-{number}']]
        }

    def first_decode(self):
        """Return the name of the decode engine that faults affect."""
        return f'{self.deployment.data_centres[0].name}-d0'

    def first_proxy(self):
        """Return the name of the proxy that faults affect."""
        return f'{self.deployment.data_centres[0].name}-p0-proxy'

    def owner_process(self):
        """Return the process of the VM that owns the first pool."""
        data_centre = self.deployment.data_centres[0].name
        pool = core.PoolKey(
            serves=self.deployment.model, data_centre=data_centre
        )
        names = [
            f'{data_centre}-{number}'
            for number in range(_deployments.VMS_PER_DATA_CENTRE)
        ]
        return self.fleet.process_of(core.choose_owner(pool.text(), names))

    async def read_states(self):
        """Return each engine's state by name.

        For an engine whose process has ended, this is the state that
        the previous call returned.
        """
        for name, _ in self._engines:
            if self.fleet.process_of(name).exit_code is None:
                self._last_states[name] = await self.fleet.state(name)
        return {
            name: {'role': role, **self._last_states.get(name, {})}
            for name, role in self._engines
        }

    def daemon_usage(self):
        """Return processor time and memory of each running daemon."""
        return {
            daemon.name: read_process_usage(daemon.process.pid)
            for daemon in self.fleet.daemons.values()
            if daemon.process.exit_code is None
        }

    async def _start_engines(self, data_centre):
        entries = _deployments.engine_entries(data_centre)
        prefill = [item for item in entries if item['role'] == 'prefill']
        decode = [item for item in entries if item['role'] == 'decode']
        # Each decode engine has its own process, so that a fault can kill
        # one of them.
        for group in [prefill, *[[item] for item in decode]]:
            await self.fleet.start_standins(group)
        self._engines += [(item['name'], item['role']) for item in entries]

    async def _start_proxies(self):
        names = [name for name, role in self._engines if role == 'prefill']
        await self.fleet.start_standins(
            [
                {
                    'kind': 'proxy',
                    'name': f'{name}-proxy',
                    'target_port': self.fleet.standins[name].port,
                }
                for name in names
            ]
        )
        for name in names:
            port = self.fleet.standins[f'{name}-proxy'].port
            await self.fleet.control(name, export_port=port)

    async def _start_daemon(self, data_centre, number, statsd_port):
        platform = self.fleet.standins['platform']
        await self.fleet.start_daemon(
            {
                'vm': f'{data_centre.name}-{number}',
                'data_centre': data_centre.name,
                'region': data_centre.region,
                'host': '127.0.0.1',
                'peer_port': 0,
                'caller_port': 0,
                'platform_addresses': [f'{platform.host}:{platform.port}'],
                'statsd_host': '127.0.0.1',
                'statsd_port': statsd_port,
                'log_level': 'INFO',
            }
        )

    async def _is_ready(self, daemon):
        answer = await self.fleet.call('GET', daemon.callers, '/readyz')
        return answer.status == 200

    def _configuration(self):
        regions = {}
        for data_centre in self.deployment.data_centres:
            regions.setdefault(data_centre.region, []).append(data_centre.name)
        return {
            'revision': REVISION,
            'regions': [
                {'name': region, 'data_centres': names}
                for region, names in regions.items()
            ],
            'models': [{'name': self.deployment.model}],
            'backend_servers': [
                self._describe_server(name, role)
                for name, role in self._engines
            ],
            'defaults': {
                **attrs.asdict(self._policies),
                'caller_concurrency': 10000,
                'caller_rate_per_s': 10000.0,
            },
        }

    def _describe_server(self, name, role):
        address = self.fleet.standins[name]
        return {
            'name': name,
            'host': address.host,
            'port': address.port,
            'data_centre': name.rsplit('-', 1)[0],
            'serves': self.deployment.model,
            'role': role,
        }


def read_process_usage(pid):
    """Return the processor time and resident memory of a process."""
    directory = pathlib.Path('/proc') / str(pid)
    fields = (directory / 'stat').read_text().rsplit(')', 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    status = (directory / 'status').read_text()
    resident_kb = int(status.split('VmRSS:')[1].split()[0])
    return {
        'processor_ms': ticks * 1000 / CLOCK_TICKS_PER_S,
        'resident_mb': resident_kb / 1024,
    }
