"""Rate limits of customers over two real entry processes on loopback."""

import sys
import unittest

from bluebellthread.core import routing
from bluebellthread.entry import _http_messages
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

KEY = 'Authorization: Bearer k1'


def set_customers(fleet, **limit):
    """Bring a limit of the customer with the key k1 into force."""
    customer = routing.Customer(
        name='a', limit=routing.CustomerLimit(**limit) if limit else None
    )
    for vm in fleet.vms.values():
        vm.entry.state.table.customers = routing.Customers([('k1', customer)])


async def call(fleet, vm, number, **options):
    async with await fleet.connect(vm) as caller:
        return await caller.call(
            'GET', '/read/x', request_id=f'r{number}', headers=[KEY], **options
        )


def count_reports(fleet):
    """Have the VMs count the reports that they get as owners."""
    reports = []
    for vm in fleet.vms.values():
        limits = vm.entry._customer_limits
        note = limits._note

        def count(envelope, note=note):
            reports.append(envelope.message)
            return note(envelope)

        limits._note = count
    return reports


class TestCustomerLimits(unittest.TestCase):
    # Guards against VMs that grant the burst each, and against refusals that
    # a server has run.
    @run
    async def test_limit_holds_over_all_vms(self):
        async with fleets.running_fleet(vms=2, plain=('s1',)) as fleet:
            set_customers(fleet, rate_per_s=0.01, burst=10)
            answers = [await call(fleet, n % 2 + 1, n) for n in range(24)]
            served = [item for item in answers if item.status == 200]
            refused = [item for item in answers if item.status == 429]
            self.assertEqual(24, len(served) + len(refused))
            # One request for each VM may be paid for by the rate afterwards.
            self.assertLessEqual(len(served), 10 + 2)
            self.assertGreaterEqual(len(served), 10)
            self.assertEqual(len(served), len(fleet.servers['s1'].arrivals))
            for answer in refused:
                self.assertIn(b'over-limit', answer.body)
                wait_s = float(answer.headers['retry-after'])
                self.assertGreater(wait_s, 0)
                self.assertLessEqual(wait_s, 8 / 3)

    # Guards against refusals below the limit.
    @run
    async def test_customer_below_its_limit_is_served(self):
        async with fleets.running_fleet(vms=2, plain=('s1',)) as fleet:
            reports = count_reports(fleet)
            set_customers(
                fleet,
                rate_per_s=100_000,
                burst=100_000,
                counts_tokens=True,
                plain_cost=200,
            )
            for number in range(20):
                answer = await call(fleet, number % 2 + 1, number)
                self.assertEqual(200, answer.status)
            await sites.wait_until(
                lambda: all(
                    use.reported == use.used
                    for vm in fleet.vms.values()
                    for use in (
                        vm.entry._customer_limits._credits._uses.values()
                    )
                )
            )
            self.assertTrue(reports)

    @run
    async def test_customer_without_limit_costs_no_message(self):
        async with fleets.running_fleet(vms=2, plain=('s1',)) as fleet:
            reports = count_reports(fleet)
            set_customers(fleet)
            for number in range(8):
                answer = await call(fleet, number % 2 + 1, number)
                self.assertEqual(200, answer.status)
            self.assertEqual([], reports)
            for vm in fleet.vms.values():
                self.assertEqual(0, len(vm.entry._customer_limits._credits))

    # Guards against a VM that waits for an owner that is gone.
    @run
    async def test_share_is_used_while_the_owner_does_not_answer(self):
        async with fleets.running_fleet(vms=2, plain=('s1',)) as fleet:
            for vm in fleet.vms.values():
                vm.entry._mailboxes.register(routing.CustomerUsage, None)
            set_customers(fleet, rate_per_s=0.01, burst=10)
            answers = [await call(fleet, 1, n) for n in range(12)]
            served = [item for item in answers if item.status == 200]
            self.assertGreaterEqual(len(served), 4)
            self.assertLessEqual(len(served), 10 / 2 + 1)

    # Guards against a request that counts at both VMs.
    @run
    async def test_request_of_another_vm_counts_once(self):
        async with fleets.running_fleet(vms=2, plain=('s1',)) as fleet:
            set_customers(fleet, rate_per_s=0.01, burst=10)
            vm = fleet.vms[1]
            name = _http_messages.ADMITTED_HEADER.decode()
            async with sites.Caller(
                await sites.trio.open_tcp_stream(
                    vm.host, vm.entry.ports['relay_port']
                )
            ) as other:
                answer = await other.call(
                    'GET', '/read/x', headers=[KEY, f'{name}: 1']
                )
            self.assertEqual(200, answer.status)
            self.assertEqual(0, len(vm.entry._customer_limits._credits))

    # Guards against a customer that pays for requests that have not run.
    @run
    async def test_refused_request_is_given_back(self):
        async with fleets.running_fleet(vms=1, plain=('s1',)) as fleet:
            set_customers(fleet, rate_per_s=0.01, burst=2)
            server = fleet.servers['s1']

            async def refuse(request):
                headers = [
                    *server.answer_headers(request),
                    ('x-not-executed', '1'),
                ]
                await request.answer(503, b'', headers)

            server.script = [refuse] * 99
            for number in range(4):
                answer = await call(fleet, 1, number, deadline_ms=600)
                self.assertEqual(503, answer.status)

    @run
    async def test_metrics_name_the_customer(self):
        async with fleets.running_fleet(vms=1, plain=('s1',)) as fleet:
            set_customers(fleet, rate_per_s=0.01, burst=2)
            for number in range(4):
                await call(fleet, 1, number)
            text = fleet.vms[1].entry.stats.render().decode()
            for outcome in ('admitted', 'refused'):
                self.assertIn(
                    'bluebellthread_customer_units_total'
                    f'{{customer="a",outcome="{outcome}"}}',
                    text,
                )


if __name__ == '__main__':
    sys.exit(unittest.main())
