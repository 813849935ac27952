"""Addresses that no connection can be opened to, from the store or a VM."""

import unittest

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.entry import _sockets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

TIMEOUT_S = 5.0
BAD_HOSTS = (64 * 'a', 'a..b', '.', '..', 255 * 'a', '', 'a b')
CONTAINER_ADDRESS = f'{"5f" * 32}:8080'


async def never_answer(request):
    await trio.sleep_forever()


class TestBadAddresses(unittest.TestCase):
    # Guards against a process that ends when a server crashes while the store
    # lists an address of another kind (UnicodeError in PathWatch).
    @run
    async def test_crash_beside_a_foreign_entry_does_not_end_the_process(self):
        for service in ('other', 'plain'):
            with self.subTest(service):
                async with sites.running_site() as site:
                    foreign = site.servers['s1'].entry(
                        service, address=CONTAINER_ADDRESS
                    )
                    site.store.put('servers/i-0', foreign)
                    # The list is read in order.
                    site.list_server('s1', 'plain', slots=7)
                    await sites.wait_until(
                        lambda site=site: (
                            site.entry.state.directory.find('s1').slot_count
                            == 7
                        )
                    )
                    await self.crash_under_a_call(site)
                    for _ in range(8):
                        answer = await site.call('POST', '/order/x')
                        self.assertEqual(200, answer.status)

    async def crash_under_a_call(self, site):
        for server in site.servers.values():
            server.script.append(never_answer)
        async with await site.connect() as caller:
            await caller.send('POST', '/order/x')
            await sites.wait_until(
                lambda: any(s.arrivals for s in site.servers.values())
            )
            for server in site.servers.values():
                if server.arrivals:
                    server.crash()
                server.script.clear()
            self.assertEqual(502, (await caller.read_answer()).status)
        await sites.wait_until(
            lambda: all(s._process for s in site.servers.values())
        )

    # Guards against errors of the socket library that no caller expects.
    def test_connection_to_no_address_fails_with_an_os_error(self):
        async def check(host, port):
            with trio.fail_after(TIMEOUT_S), self.assertRaises(OSError):
                await _sockets.connect(host, port)

        for host in BAD_HOSTS:
            with self.subTest(host=host[:20]):
                trio.run(check, host, 80)
        trio.run(check, '127.0.0.1', 70000)

    # Guards against a VM that ends since another one names a bad address.
    def test_link_to_a_member_without_an_address_only_fails_its_calls(self):
        async def check():
            links = _peers.PeerLinks(
                vm='a',
                host='127.0.0.1',
                incarnation=1,
                mailboxes=_mailboxes.Mailboxes(),
                traffic=None,
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(links.run)
                for host in BAD_HOSTS:
                    with self.subTest(host=host[:20]):
                        member = core.Member(
                            name='b',
                            data_centre='cluj-a',
                            region='north',
                            host=host,
                            peer_port=1,
                            caller_port=2,
                        )
                        with self.assertRaises(_peers.PeerUnreachableError):
                            await links.call(
                                member,
                                core.StatusRequest(),
                                deadline_ms=_clock.read_clock_ms() + 5000,
                            )
                nursery.cancel_scope.cancel()

        trio.run(check)
