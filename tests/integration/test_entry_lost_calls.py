"""Calls to the platform that are lost while it is silent.

A lost call is never answered here, and ends only if the VM gives it up or the
test says that its timeout has passed.
"""

import unittest
from unittest import mock

import trio

from bluebellthread.entry import PlatformUnavailableError
from bluebellthread import platform
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

TABLE = 'configuration'
SERVERS = 'server list'


class SilentClient(platform.StoreClient):
    """Client whose calls get no answer while the platform is silent."""

    clients = []

    def __init__(self, **options):
        super().__init__(**options)
        self.is_silent = False
        self._scopes = set()
        self.lost = {TABLE: [], SERVERS: []}
        self.clients.append(self)

    async def watch_table(self, *arguments, **options):
        return await self._call(
            TABLE, super().watch_table, *arguments, **options
        )

    async def watch_servers(self, *arguments, **options):
        return await self._call(
            SERVERS, super().watch_servers, *arguments, **options
        )

    async def _call(self, what, function, *arguments, **options):
        if not self.is_silent:
            return await self._answer_unless_silent(
                what, function, *arguments, **options
            )
        await self._lose(what)

    async def _answer_unless_silent(
        self, what, function, *arguments, **options
    ):
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await function(*arguments, **options)
            finally:
                self._scopes.discard(scope)
        await self._lose(what)

    def fall_silent(self):
        """Lose all calls, those that wait for a change too."""
        self.is_silent = True
        for scope in self._scopes:
            scope.cancel()

    async def _lose(self, what):
        timeout = trio.Event()
        self.lost[what].append(timeout)
        try:
            await timeout.wait()
        finally:
            self.lost[what].remove(timeout)
        raise PlatformUnavailableError('no answer in time')

    def time_out(self, what):
        """End the lost calls for a resource as their timeout would."""
        for timeout in self.lost[what]:
            timeout.set()


async def fall_silent(clients):
    """Have the platform fall silent; wait until every VM has lost a watch."""
    for client in clients:
        client.fall_silent()
    await sites.wait_until(
        lambda: all(client.lost[SERVERS] for client in clients)
    )


async def give_up_and_lose_again(clients):
    """End the lost watches of the server list; the next ones are lost too."""
    for client in clients:
        (first,) = client.lost[SERVERS]
        client.time_out(SERVERS)
        await sites.wait_until(
            lambda client=client, first=first: (
                client.lost[SERVERS] and client.lost[SERVERS] != [first]
            )
        )


async def come_back(clients):
    """Answer calls again, but none that was sent before."""
    for client in clients:
        client.is_silent = False
        client.time_out(TABLE)


async def wait_not_used(fleet, server):
    await sites.wait_until(
        lambda: all(
            server not in _names(vm.entry.state.directory)
            for vm in fleet.vms.values()
        )
    )


def _names(directory):
    return {server.name for server in directory.usable('plain')}


class TestLostCalls(unittest.TestCase):
    def setUp(self):
        SilentClient.clients = []
        patch = mock.patch.object(platform, 'StoreClient', SilentClient)
        patch.start()
        self.addCleanup(patch.stop)

    @run
    async def test_watch_lost_in_silence_is_renewed_once_a_read_succeeds(self):
        async with fleets.running_fleet(vms=1, plain=('s1', 's2')) as fleet:
            clients = SilentClient.clients
            await fall_silent(clients)
            await sites.wait_until(lambda: clients[0].lost[TABLE])
            await give_up_and_lose_again(clients)
            await come_back(clients)
            fleet.list_server('s1', 'plain', state='draining')
            await wait_not_used(fleet, 's1')

    @run
    async def test_watch_lost_in_silence_is_renewed_by_the_word_of_peers(self):
        async with fleets.running_fleet(vms=8, plain=('s1', 's2')) as fleet:
            clients = SilentClient.clients
            await fall_silent(clients)
            await sites.wait_until(
                lambda: sum(bool(item.lost[TABLE]) for item in clients) == 6
            )
            await give_up_and_lose_again(clients)
            await come_back(clients)
            fleet.list_server('s1', 'plain', state='draining')
            await wait_not_used(fleet, 's1')

    @run
    async def test_vm_that_gave_up_no_call_renews_it_by_the_word_of_peers(
        self,
    ):
        async with fleets.running_fleet(vms=8, plain=('s1', 's2')) as fleet:
            clients = SilentClient.clients
            await fall_silent(clients)
            await sites.wait_until(
                lambda: sum(bool(item.lost[TABLE]) for item in clients) == 6
            )
            await come_back(clients)
            fleet.list_server('s1', 'plain', state='draining')
            await wait_not_used(fleet, 's1')


if __name__ == '__main__':
    unittest.main()
