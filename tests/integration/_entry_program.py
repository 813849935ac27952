"""Starts the real program of an entry VM and reads its ports from its log."""

import json
import os
import sys

import trio

from tests.integration import _entry_site as sites
from tests.unit.test_platform_adapter import SETTINGS


def write_settings(path, store, *, seeds=()):
    """Write a settings file that lets the system choose all ports."""
    fields = {
        **SETTINGS,
        'listen': {'front': '127.0.0.1:0', 'ready': '127.0.0.1:0'},
        'internalPorts': [0, 0],
        'seedNodes': list(seeds),
        'platform': {'address': f'127.0.0.1:{store.port}'},
    }
    path.write_text(json.dumps(fields), encoding='utf-8')


async def start_program(path, task_status):
    """Run the program until it ends; kill it if the task is cancelled."""
    command = [
        sys.executable,
        '-m',
        'bluebellthread.run_entry',
        '--settings',
        str(path),
        '--metrics-port',
        '0',
    ]
    process = await trio.lowlevel.open_process(
        command, stdout=-1, env=dict(os.environ)
    )
    try:
        task_status.started(process)
        await process.wait()
    finally:
        with trio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
                await process.wait()


async def wait_ready(port):
    """Wait until the readiness probe at a port is answered with 200."""
    while True:
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        async with sites.Caller(stream) as caller:
            answer = await caller.call('GET', '/-/ready')
        if answer.status == 200:
            return
        await trio.sleep(0.02)


class LogLines:
    """Reads the JSON log lines of a process."""

    def __init__(self, stream):
        self._stream = stream
        self._buffer = b''

    async def find(self, number):
        """Return the fields of the next line with this event number."""
        while True:
            line, newline, rest = self._buffer.partition(b'\n')
            if not newline:
                self._buffer += await self._stream.receive_some(65536)
                continue
            self._buffer = rest
            fields = json.loads(line)
            if fields.get('event') == number:
                return fields

    async def drain(self):
        """Drop all further lines, so that the process never waits."""
        while await self._stream.receive_some(65536):
            pass
