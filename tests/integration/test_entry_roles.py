import unittest

import trio

from bluebellthread.entry import _role_task
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ENGINES = ('p1', 'p2', 'p3', 'p4', 'd1', 'd2', 'd3', 'd4', 'd5')


def running_engines(**settings):
    return sites.running_site(plain=(), engines=ENGINES, **settings)


def orders_of(site):
    return {
        name: server.orders
        for name, server in site.servers.items()
        if server.orders
    }


class TestRoles(unittest.TestCase):
    @run
    async def test_first_start_switches_a_surplus_prefill_server(self):
        seeds = {'is_first_start': True, 'seed_hosts': ('127.0.0.1',)}
        async with running_engines(**seeds) as site:
            await sites.wait_until(lambda: orders_of(site))
            (order,) = orders_of(site)['p4']
            self.assertEqual('decode', order['stage'])
            self.assertEqual('vm1', order['holder'])
            site.list_server('p4', 'model')
            await sites.wait_until(
                lambda: site.entry.state.directory.find('p4').role == 'decode'
            )
            answer = await site.call('POST', '/ask/x', b'a crack')
            self.assertEqual(200, answer.status)
            self.assertEqual(['p4'], list(orders_of(site)))

    @run
    async def test_engine_that_refuses_gets_no_second_order(self):
        order_received = trio.Event()

        async def refuse(request):
            order_received.set()
            await request.answer(409)

        seeds = {'is_first_start': True, 'seed_hosts': ('127.0.0.1',)}
        async with running_engines(**seeds) as site:
            site.servers['p4'].script = [refuse, refuse]
            await order_received.wait()
            # The entry keeps serving and gives no further order.
            answer = await site.call('POST', '/ask/x', b'a crack')
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(site.servers['p4'].script))


class TestRoleOrderPermission(unittest.TestCase):
    """At most one VM may give role orders, only at the first start."""

    SEEDS = ('10.1.0.1', '10.2.0.1', '10.3.0.1')

    def hosts_that_may_order(self, **changes):
        class _Store:
            port = 1

        return [
            host
            for host in (*self.SEEDS, '10.4.0.1')
            if _role_task.may_order(
                sites.make_settings(
                    _Store, host=host, **{'seed_hosts': self.SEEDS, **changes}
                )
            )
        ]

    def test_exactly_one_vm_may_order(self):
        self.assertEqual(
            ['10.1.0.1'], self.hosts_that_may_order(is_first_start=True)
        )

    def test_sequence_of_the_seeds_does_not_matter(self):
        hosts = self.hosts_that_may_order(
            is_first_start=True, seed_hosts=self.SEEDS[::-1]
        )
        self.assertEqual(['10.1.0.1'], hosts)

    def test_no_vm_may_order_at_a_later_start(self):
        self.assertEqual([], self.hosts_that_may_order(is_first_start=False))

    def test_no_vm_may_order_without_seeds(self):
        self.assertEqual(
            [], self.hosts_that_may_order(is_first_start=True, seed_hosts=())
        )
