"""Runs stand-ins and daemons as real processes for integration tests.

A test derives from `FleetTestCase` and runs a coroutine with a `Fleet`::

    class TestThing(FleetTestCase):
        def test_it(self):
            self.run_fleet(self.check_it)

        async def check_it(self, fleet):
            await fleet.start_standins([{'kind': 'platform'}])
            vm = await fleet.start_daemon({'vm': 'vm1', ...})
            answer = await fleet.call('GET', vm.callers, '/healthz')
            self.assertEqual(200, answer.status)

All processes are killed when the test ends. If the test fails, their
logs are printed.
"""

import contextlib
import inspect
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import unittest

import attrs
import httpcore
import trio

from tests import _checkouts

ROOT = _checkouts.ROOT

POLL_S = 0.01
"""Seconds between two checks of a condition."""

START_TIMEOUT_S = 20
"""Seconds within which a process must start."""

TEST_TIMEOUT_S = 60
"""Seconds after which a test fails."""

STARTED_LINE = re.compile(
    r'E1001 .*callers \D*([\d.]+:\d+), peers \D*([\d.]+:\d+)'
)


@attrs.frozen(kw_only=True)
class Address:
    """Address that a process listens on.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port for requests.
    control_port : int
        Port for control calls of a proxy; 0 for other processes.
    """

    host: str
    port: int
    control_port: int = 0


@attrs.frozen(kw_only=True)
class Answer:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Return the body, decoded from JSON."""
        return json.loads(self.body)


class Process:
    """A Python process that writes its output to files.

    Parameters
    ----------
    arguments : list of str
        Name of a module and its command line arguments.
    directory : Path
        Folder of the output files.
    name : str
        Name of the process and its files.
    checkout : Path
        Folder of the checkout that it runs.
    """

    def __init__(self, arguments, directory, name, checkout=ROOT):
        self.name = name
        self._stdout_path = directory / f'{name}.out'
        self._stderr_path = directory / f'{name}.err'
        with (
            self._stdout_path.open('ab') as stdout,
            self._stderr_path.open('ab') as stderr,
        ):
            self._popen = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stdout,
                stderr=stderr,
                env=_checkouts.make_environment(checkout),
                cwd=checkout,
            )

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    @property
    def exit_code(self):
        """Exit code, or None while the process runs."""
        return self._popen.poll()

    @property
    def stdout(self):
        """Everything written to standard output so far."""
        return self._stdout_path.read_text(encoding='utf-8')

    @property
    def stderr(self):
        """Everything logged so far."""
        return self._stderr_path.read_text(encoding='utf-8')

    def terminate(self):
        """Send SIGTERM, the signal for a graceful stop."""
        self._popen.terminate()

    def pause(self):
        """Pause the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume the paused process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self):
        """Kill the process and wait until it has ended."""
        self._popen.kill()
        self._popen.wait()

    async def wait(self, timeout_s=START_TIMEOUT_S):
        """Wait until the process has ended and return its exit code."""
        await until(lambda: self.exit_code is not None, timeout_s=timeout_s)
        return self.exit_code


@attrs.frozen(kw_only=True)
class Daemon:
    """A started daemon, the addresses it listens on and its settings."""

    name: str
    process: Process
    callers: Address
    peers: Address
    settings: dict


async def until(condition, *, what='the condition', timeout_s=10):
    """Call a function until its result is true and return that result.

    Parameters
    ----------
    condition : callable
        Function or coroutine function without arguments.
    what : str
        Name of the condition in the error message.
    timeout_s : float
        Time after which an `AssertionError` is raised.
    """
    with trio.move_on_after(timeout_s):
        while True:
            value = condition()
            if inspect.isawaitable(value):
                value = await value
            if value:
                return value
            await trio.sleep(POLL_S)
    raise AssertionError(f'{what} was not observed within {timeout_s} s')


class Fleet:
    """All processes of one test.

    Call `start` before any other method and `close` at the end.
    """

    def __init__(self):
        self.standins = {}
        self.daemons = {}
        self.processes = []
        self._standin_processes = {}
        self._numbers = {}
        self._temporary = None
        self._directory = None
        self._pool = None

    async def start(self):
        """Create the folder for files and the pool of HTTP connections."""
        self._temporary = tempfile.TemporaryDirectory(prefix='fleet-')
        self._directory = pathlib.Path(self._temporary.name)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=0
        )

    async def close(self):
        """Kill all processes, including paused ones, and delete all files."""
        for process in self.processes:
            process.kill()
        with trio.CancelScope(shield=True):
            await self._pool.aclose()
        self._temporary.cleanup()

    def read_logs(self):
        """Return the logs of all processes with their exit codes."""
        return '\n'.join(
            f'--- {process.name} (exit code {process.exit_code})\n'
            f'{process.stderr}'
            for process in self.processes
        )

    async def start_standins(self, entries):
        """Start stand-ins in one process and return their addresses by name.

        Parameters
        ----------
        entries : list of dict
            Stand-ins in the file format of ``python -m standin``.
        """
        number = len(self.processes)
        process = self._launch('standin', '--file', {'standins': entries})
        lines = await until(
            lambda: _whole_lines(process, len(entries)),
            what=f'the start of stand-ins {number}',
            timeout_s=START_TIMEOUT_S,
        )
        started = {}
        for line in map(json.loads, lines):
            address = Address(
                host=line['host'],
                port=line['port'],
                control_port=line.get('control_port', 0),
            )
            started[line['name']] = address
            self._standin_processes[line['name']] = process
        self.standins.update(started)
        return started

    async def start_daemon(self, settings):
        """Start a daemon with these settings and return its `Daemon`."""
        # A VM that starts again runs the same checkout.
        number = self._numbers.setdefault(settings['vm'], len(self._numbers))
        process = self._launch(
            'bluebellthread.daemon',
            '--settings',
            settings,
            checkout=_checkouts.choose_checkout(number),
        )
        match = await until(
            lambda: _find_started(process),
            what=f'the start of {settings["vm"]}',
            timeout_s=START_TIMEOUT_S,
        )
        daemon = Daemon(
            name=settings['vm'],
            process=process,
            callers=_to_address(match.group(1)),
            peers=_to_address(match.group(2)),
            settings=settings,
        )
        self.daemons[daemon.name] = daemon
        return daemon

    def process_of(self, name):
        """Return the process that runs a daemon or hosts a stand-in."""
        if name in self.daemons:
            return self.daemons[name].process
        return self._standin_processes[name]

    async def publish_vms(self, states=None):
        """Publish the list of all daemons at the platform.

        Parameters
        ----------
        states : dict or None
            State by name of the VM; ``'live'`` for all others.
        """
        states = states or {}
        vms = [
            {
                'name': daemon.name,
                'data_centre': daemon.settings['data_centre'],
                'region': daemon.settings['region'],
                'host': daemon.peers.host,
                'peer_port': daemon.peers.port,
                'caller_port': daemon.callers.port,
                'state': states.get(daemon.name, 'live'),
            }
            for daemon in self.daemons.values()
        ]
        await self.post('platform', '/publish_vms', vms)

    async def publish_config(self, configuration):
        """Publish a configuration, given as a dict or as JSON text.

        The text may contain comments.
        """
        if not isinstance(configuration, str):
            configuration = json.dumps(configuration)
        await self.post('platform', '/publish_config', configuration)

    async def control(self, name, **changes):
        """Change settings of a running stand-in."""
        return await self.post(name, '/control', changes)

    async def set_rules(self, name, rules):
        """Replace a proxy's fault rules; an empty dict removes all faults.

        Parameters
        ----------
        name : str
            Name of the proxy.
        rules : dict
            Rule by source address; ``'*'`` stands for every source.
        """
        await self._control_proxy(self.standins[name], '/rules', rules)

    async def control_proxy(self, address, **changes):
        """Change settings of a running proxy."""
        await self._control_proxy(address, '/control', changes)

    async def _control_proxy(self, address, path, body):
        control = Address(host=address.host, port=address.control_port)
        answer = await self.call('POST', control, path, body)
        assert answer.status == 200, answer

    async def state(self, name):
        """Return an engine's current state; its load reports are older."""
        answer = await self.call('GET', self.standins[name], '/state')
        return answer.json()

    async def post(self, name, path, body):
        """Make a POST call to a stand-in and require status 200."""
        answer = await self.call('POST', self.standins[name], path, body)
        assert answer.status == 200, answer
        return answer.json()

    async def call(self, method, address, path, body=None, headers=None):
        """Make one HTTP call and return its complete `Answer`."""
        async with self.open(method, address, path, body, headers) as response:
            content = await response.aread()
        return Answer(
            status=response.status,
            headers=_to_dict(response.headers),
            body=content,
        )

    @contextlib.asynccontextmanager
    async def open(self, method, address, path, body=None, headers=None):
        """Make one HTTP call and yield the response while it streams.

        `read_events` reads its server-sent events.
        """
        if body is not None and not isinstance(body, (bytes, str)):
            body = json.dumps(body)
        content = body.encode() if isinstance(body, str) else body
        async with self._pool.stream(
            method,
            f'http://{address.host}:{address.port}{path}',
            headers={'connection': 'close', **(headers or {})},
            content=content,
        ) as response:
            yield response

    def _launch(self, module, option, value, checkout=ROOT):
        number = len(self.processes)
        name = f'{number}-{value.get("vm", module)}'
        path = self._directory / f'{name}.json'
        path.write_text(json.dumps(value), encoding='utf-8')
        process = Process(
            [module, option, str(path)], self._directory, name, checkout
        )
        self.processes.append(process)
        return process


async def read_events(response):
    """Yield the decoded server-sent events of a response up to ``[DONE]``."""
    buffer = b''
    async for chunk in response.aiter_stream():
        buffer += chunk
        *events, buffer = buffer.split(b'\n\n')
        for event in events:
            data = event.removeprefix(b'data: ')
            if data == b'[DONE]':
                return
            yield json.loads(data)


class FleetTestCase(unittest.TestCase):
    """A test case whose tests are coroutines that take a `Fleet`."""

    def run_fleet(self, test, *, timeout_s=TEST_TIMEOUT_S, fleet_class=Fleet):
        """Run a coroutine function with a new fleet, then close it.

        Parameters
        ----------
        test : callable
            Coroutine function that takes the fleet.
        timeout_s : float
            Time after which the test fails.
        fleet_class : type
            Class of the fleet.
        """
        try:
            trio.run(_run_fleet, test, timeout_s, fleet_class)
        except BaseExceptionGroup as group:
            raise unwrap(group) from None


async def _run_fleet(test, timeout_s, fleet_class):
    fleet = fleet_class()
    await fleet.start()
    try:
        with trio.fail_after(timeout_s):
            await test(fleet)
    except BaseException:
        print(fleet.read_logs())
        raise
    finally:
        await fleet.close()


def unwrap(error):
    """Return the exception of a group of one, or any other error unchanged.

    Nested groups of one are unwrapped too.
    """
    while isinstance(error, BaseExceptionGroup):
        if len(error.exceptions) > 1:
            break
        error = error.exceptions[0]
    return error


def _whole_lines(process, count):
    if process.exit_code is not None:
        raise AssertionError(
            f'{process.name} ended during start-up:\n{process.stderr}'
        )
    lines = process.stdout.split('\n')[:-1]
    return lines if len(lines) >= count else None


def _find_started(process):
    if process.exit_code is not None:
        raise AssertionError(
            f'{process.name} ended during start-up:\n{process.stderr}'
        )
    return STARTED_LINE.search(process.stderr)


def _to_address(text):
    host, port = text.rsplit(':', 1)
    return Address(host=host, port=int(port))


def _to_dict(headers):
    return {name.decode().lower(): value.decode() for name, value in headers}
