import time

from tests.integration import _configuration_fleet as config_fleet
from tests.integration import _fleet
from tests.integration import _router

LEAVING_LIMIT_S = 3.0
BATCH = 6


def make_configuration(
    fleet, revision, *, version='', leaving=(), checks=False
):
    names = [name for name in ('p1', 'd1', 'd2') if name in fleet.standins]
    roles = {'p1': 'prefill', 'd1': 'decode', 'd2': 'decode'}
    value = _router.make_configuration(
        [(n, fleet.standins[n], _router.MODEL, roles[n]) for n in names]
    )
    value['revision'] = revision
    value['models'] = [{'name': _router.MODEL, 'version': version}]
    value['weight_loads_per_min'] = 6000
    for server in value['backend_servers']:
        server['leaving'] = server['name'] in leaving
        server['checks_fencing'] = checks
    return value


class TestOrders(_fleet.FleetTestCase):
    def test_engines_load_the_configured_model_version(self):
        self.run_fleet(self.check_versions)

    async def check_versions(self, fleet):
        await self.start(fleet, checks=False)
        for revision, version in ((2, '2'), (3, '3')):
            value = make_configuration(fleet, revision, version=version)
            await fleet.publish_config(value)
            await self.until_targets(fleet, [f'{_router.MODEL}@{version}'])
        numbers = [
            order['fencing_number']
            for order in (await fleet.state('d1'))['orders']
        ]
        self.assertEqual([1, 2, 2, 3, 3], numbers)

    def test_an_isolated_owner_gives_no_orders(self):
        self.run_fleet(self.check_isolated)

    async def check_isolated(self, fleet):
        await self.isolate_owner(fleet)
        await self.until_logged(fleet, ' E3009 order 1: load')
        numbers = await self.fencing_numbers_of(fleet)
        self.assertEqual(0, numbers[numbers.index(2) :].count(1))

    def test_without_order_confirmation_an_isolated_owner_gives_stale_orders(
        self,
    ):
        self.run_fleet(self.check_unconfirmed)

    async def check_unconfirmed(self, fleet):
        await self.isolate_owner(
            fleet, disabled_mechanisms=('order-confirmation',)
        )
        await self.until_targets(fleet, [f'{_router.MODEL}@1'])

    def test_an_engine_that_checks_refuses_a_stale_fencing_token(self):
        self.run_fleet(self.check_fenced)

    async def check_fenced(self, fleet):
        await self.isolate_owner(fleet, checks=True)
        await self.until_logged(fleet, ' E3008 order 1: load')
        await self.until_targets(fleet, [f'{_router.MODEL}@2'])

    async def start(self, fleet, *, checks, disabled_mechanisms=()):
        await fleet.start_standins([{'kind': 'platform'}])
        engine = {'kind': 'engine', 'name': 'd1', 'role': 'decode'}
        await fleet.start_standins([{**engine, 'checks_fencing': checks}])
        await fleet.publish_config(
            make_configuration(fleet, 1, version='1', checks=checks)
        )
        settings = _router.make_settings(
            fleet, 'vm1', disabled_mechanisms=list(disabled_mechanisms)
        )
        await fleet.start_daemon(settings)
        await fleet.publish_vms()
        await self.until_targets(fleet, [f'{_router.MODEL}@1'])

    async def isolate_owner(
        self, fleet, *, checks=False, disabled_mechanisms=()
    ):
        """Cut vm1 off from the platform and act as a second owner at d1.

        The second owner has configuration revision 2 and replaces version 1
        of the model at d1 by version 2.
        """
        await self.start(
            fleet, checks=checks, disabled_mechanisms=disabled_mechanisms
        )
        await fleet.control('platform', down=True)
        for action, version in (('load', 2), ('unload', 1)):
            order = {'action': action, 'target': f'{_router.MODEL}@{version}'}
            await fleet.post('d1', '/orders', {**order, 'fencing_number': 2})

    async def fencing_numbers_of(self, fleet):
        orders = (await fleet.state('d1'))['orders']
        return [order['fencing_number'] for order in orders]

    async def until_targets(self, fleet, expected):
        async def has_targets():
            return (await fleet.state('d1'))['targets'] == expected

        await _fleet.until(has_targets, what=f'{expected} at d1')

    async def until_logged(self, fleet, text):
        await _fleet.until(
            lambda: text in fleet.process_of('vm1').stderr, what=text
        )


class TestLeaving(_fleet.FleetTestCase):
    def test_server_leaving_by_configuration_gets_no_new_requests(self):
        self.run_fleet(self.check_server_leaving_by_configuration)

    async def check_server_leaving_by_configuration(self, fleet):
        await self.start(fleet)
        value = make_configuration(fleet, 2, leaving=('d1',))

        async def start_leaving():
            await fleet.publish_config(value)

        await self.check_no_new_work(fleet, start_leaving)
        for vm in ('vm1', 'vm2'):
            self.assertTrue(config_fleet.is_in_force(fleet, vm, 2))

    def test_server_that_reports_leaving_gets_no_new_requests(self):
        self.run_fleet(self.check_server_that_reports_leaving)

    async def check_server_that_reports_leaving(self, fleet):
        await self.start(fleet)

        async def start_leaving():
            await fleet.control('d1', leaving=True)

        await self.check_no_new_work(fleet, start_leaving)

    async def start(self, fleet):
        await _router.start_router(fleet, vms=('vm1', 'vm2'))

        async def is_used():
            await self.send_batch(fleet)
            return await self.count_requests(fleet)

        # Before it is leaving, d1 must get some of the requests.
        await _fleet.until(is_used, what='work at d1')

    async def check_no_new_work(self, fleet, start_leaving):
        started_s = time.monotonic()
        await start_leaving()

        async def is_avoided():
            before = await self.count_requests(fleet)
            await self.send_batch(fleet)
            return await self.count_requests(fleet) == before

        await _fleet.until(is_avoided, what='a batch without d1')
        elapsed_s = time.monotonic() - started_s
        print(f'no new work at d1 after {elapsed_s:.2f} s')
        self.assertLess(elapsed_s, LEAVING_LIMIT_S)
        before = await self.count_requests(fleet)
        for _ in range(4):
            await self.send_batch(fleet)
        self.assertEqual(before, await self.count_requests(fleet))

    async def send_batch(self, fleet):
        for number in range(BATCH):
            vm = ('vm1', 'vm2')[number % 2]
            answer = await _router.ask_whole(fleet, vm, _router.PROMPT, 3)
            self.assertEqual(200, answer.status, answer.body)

    async def count_requests(self, fleet):
        return (await fleet.state('d1'))['asked_count']
