import errno
import os
import pathlib
import signal
import tempfile
import unittest

import trio

from standin import site
from tests.integration import _entry_program
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run


class TestPlatformChanges(unittest.TestCase):
    @run
    async def test_new_configuration_takes_effect(self):
        async with sites.running_site() as entry_site:
            routes = [sites.make_route('/new/', 'safe', 'plain')]
            entry_site.store.put(
                'op/config', sites.make_configuration(2, routes)
            )
            await sites.wait_until(
                lambda: entry_site.entry.state.table.version == 2
            )
            self.assertEqual(
                200, (await entry_site.call('GET', '/new/x')).status
            )
            self.assertEqual(
                404, (await entry_site.call('GET', '/read/x')).status
            )

    @run
    async def test_older_or_broken_configuration_changes_nothing(self):
        async with sites.running_site() as entry_site:
            entry_site.store.put('op/config', sites.make_configuration(5))
            await sites.wait_until(
                lambda: entry_site.entry.state.table.version == 5
            )
            entry_site.store.put('op/config', sites.make_configuration(4))
            entry_site.store.put('op/config', b'no JSON')
            # Version 6 is in force only after both have been read.
            entry_site.store.put('op/config', sites.make_configuration(6))
            await sites.wait_until(
                lambda: entry_site.entry.state.table.version == 6
            )

    @run
    async def test_draining_server_gets_no_new_requests(self):
        async with sites.running_site() as entry_site:
            entry_site.list_server('s1', 'plain', state='draining')
            directory = entry_site.entry.state.directory
            await sites.wait_until(lambda: directory.find('s1').is_draining)
            for number in range(6):
                await entry_site.call(
                    'GET', '/read/x', request_id=f'i{number}'
                )
            self.assertEqual([], entry_site.servers['s1'].runs)

    @run
    async def test_server_with_invalid_entry_is_not_used(self):
        async with sites.running_site() as entry_site:
            entry_site.store.put('servers/odd', {'service': 7})
            entry_site.store.put('servers/s1', b'\xff')
            directory = entry_site.entry.state.directory
            await sites.wait_until(lambda: directory.find('s1') is None)
            self.assertIsNone(directory.find('odd'))
            answer = await entry_site.call('GET', '/read/x')
            self.assertIn(b's2', answer.body)

    @run
    async def test_server_list_is_read_again_after_lost_history(self):
        async with sites.running_site() as entry_site:
            entry_site.store.remove('servers/s1')
            entry_site.store.compact()
            directory = entry_site.entry.state.directory
            await sites.wait_until(lambda: directory.find('s1') is None)

    @run
    async def test_server_list_of_many_pages_is_complete(self):
        async with sites.running_site() as entry_site:
            entry_site.store.page_size = 1
            entry_site.store.put(
                'servers/s3', entry_site.servers['s1'].entry('plain')
            )
            entry_site.store.compact()
            directory = entry_site.entry.state.directory
            await sites.wait_until(lambda: directory.find('s3') is not None)
            self.assertIsNotNone(directory.find('s2'))

    # Guards against links filled by all VMs that read the whole list again
    # after each failed call.
    @run
    async def test_server_list_is_watched_on_after_failed_calls(self):
        async with sites.running_site() as entry_site:
            store = entry_site.store
            reads = sum('/-/kv-range' in call for call in store.calls)
            store.refuse_status = 503
            # Ends the watch that waits; those after it are refused.
            entry_site.list_server('s1', 'plain')
            seen = len(store.calls)
            await sites.wait_until(lambda: len(store.calls) > seen + 3)
            store.remove('servers/s1')
            store.refuse_status = 0
            directory = entry_site.entry.state.directory
            await sites.wait_until(lambda: directory.find('s1') is None)
            reads_after = sum('/-/kv-range' in call for call in store.calls)
            self.assertEqual(reads, reads_after)

    @run
    async def test_requests_are_served_while_the_platform_fails(self):
        async with sites.running_site() as entry_site:
            entry_site.store.refuse_status = 503
            entry_site.store.compact()
            seen = len(entry_site.store.calls)
            await sites.wait_until(
                lambda: len(entry_site.store.calls) > seen + 2
            )
            self.assertEqual(
                200, (await entry_site.call('GET', '/read/x')).status
            )
            entry_site.store.refuse_status = 0
            entry_site.store.put('op/config', sites.make_configuration(9))
            await sites.wait_until(
                lambda: entry_site.entry.state.table.version == 9
            )


class TestReadinessAndMetrics(unittest.TestCase):
    async def get_from(self, port, path):
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        async with sites.Caller(stream) as caller:
            return await caller.call('GET', path)

    @run
    async def test_readiness_probe_fails_while_stopping(self):
        async with sites.running_site() as entry_site:
            port = entry_site.entry.ports['ready_port']
            self.assertEqual(
                200, (await self.get_from(port, '/-/ready')).status
            )
            entry_site.entry.stop()
            self.assertEqual(
                503, (await self.get_from(port, '/-/ready')).status
            )

    @run
    async def test_metrics_are_served_as_text(self):
        async with sites.running_site() as entry_site:
            await entry_site.call('GET', '/read/x')
            port = entry_site.entry.ports['metrics_port']
            answer = await self.get_from(port, '/metrics')
            self.assertIn(
                b'bluebellthread_requests_total{kind="repeatable",'
                b'outcome="answered"} 1.0',
                answer.body,
            )


class TestProcess(unittest.TestCase):
    """Runs the real program and reads its ports from its log."""

    @run
    async def test_program_serves_and_stops(self):
        store = site.Store()
        with tempfile.TemporaryDirectory() as folder:
            with trio.fail_after(sites.TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await store.start(nursery)
                    await self.check_process(nursery, store, folder)
                    nursery.cancel_scope.cancel()

    async def check_process(self, nursery, store, folder):
        server = site.PlainServer(name='s1')
        await server.start(nursery)
        store.put('op/config', sites.make_configuration())
        store.put('servers/s1', server.entry('plain'))
        path = pathlib.Path(folder) / 'local.json'
        _entry_program.write_settings(path, store)
        process = await nursery.start(_entry_program.start_program, path)
        lines = _entry_program.LogLines(process.stdout)
        started = await lines.find(7001)
        await _entry_program.wait_ready(started['ready_port'])
        stream = await trio.open_tcp_stream(
            '127.0.0.1', started['caller_port']
        )
        async with sites.Caller(stream) as caller:
            answer = await caller.call('POST', '/order/x', b'one wig')
            self.assertEqual(200, answer.status)
            process.send_signal(signal.SIGHUP)
            await lines.find(7004)
            process.send_signal(signal.SIGTERM)
            await lines.find(7002)
            answer = await caller.call('POST', '/order/x', b'one more')
            self.assertEqual(200, answer.status)
            self.assertEqual('close', answer.headers['connection'])
        self.assertEqual(0, await process.wait())

    @run
    async def test_sighup_during_the_start_does_not_end_the_process(self):
        store = site.Store()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'local.json'
            with trio.fail_after(sites.TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await store.start(nursery)
                    _entry_program.write_settings(path, store)
                    process = await nursery.start(
                        _entry_program.start_program, path
                    )
                    await sites.wait_until(lambda: ignores_hup(process.pid))
                    process.send_signal(signal.SIGHUP)
                    await _entry_program.LogLines(process.stdout).find(7001)
                    nursery.cancel_scope.cancel()

    @run
    async def test_sighup_while_settings_are_read_has_them_read_again(self):
        store = site.Store()
        with tempfile.TemporaryDirectory() as folder:
            first = pathlib.Path(folder) / 'first.json'
            path = pathlib.Path(folder) / 'local.json'
            os.mkfifo(path)
            with trio.fail_after(sites.TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await store.start(nursery)
                    _entry_program.write_settings(first, store)
                    process = await nursery.start(
                        _entry_program.start_program, path
                    )
                    # The program waits for what is written to the FIFO.
                    writer = await open_fifo(path)
                    changed = pathlib.Path(folder) / 'changed.json'
                    _entry_program.write_settings(
                        changed, store, seeds=['10.0.0.1:1']
                    )
                    changed.rename(path)
                    process.send_signal(signal.SIGHUP)
                    with writer:
                        writer.write(first.read_bytes())
                    lines = _entry_program.LogLines(process.stdout)
                    reloaded = await lines.find(7004)
                    self.assertEqual('seed_hosts', reloaded['changed'])
                    nursery.cancel_scope.cancel()


async def open_fifo(path):
    """Open a FIFO for writing once a process reads it; return the file."""
    while True:
        try:
            return os.fdopen(os.open(path, os.O_WRONLY | os.O_NONBLOCK), 'wb')
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            await trio.sleep(0.005)


def ignores_hup(pid):
    """Return whether a process ignores or handles SIGHUP already."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(('SigIgn', 'SigCgt'))
    ]
    bit = 1 << (signal.SIGHUP - 1)
    return any(mask & bit for mask in masks)
