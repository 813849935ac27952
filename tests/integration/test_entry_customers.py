"""Requests of customers: their keys, and what backend servers get of them."""

import contextlib
import unittest

import loguru
import trio

from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run
from tests.integration import test_entry_server_cuts as server_cuts

KEY = 'key-of-ash-1'
OTHER_KEY = 'key-of-elm-1'
ASH = {'name': 'ash', 'apiKeys': [KEY], 'priority': 2}
ELM = {'name': 'elm', 'apiKeys': [OTHER_KEY]}
ENGINES = ('p1', 'd1', 'd2')


def bearer(key):
    return f'Authorization: Bearer {key}'


def make_configuration(version, *customers):
    """Return a configuration with customers; one route needs no key."""
    fields = sites.make_configuration(version)
    fields['routes'].append(
        sites.make_route('/open/', 'safe', 'plain', authExempt=True)
    )
    return {**fields, 'tenants': list(customers)}


async def configure(site, version, *customers):
    """Put a configuration with customers in force."""
    site.store.put('op/config', make_configuration(version, *customers))
    await sites.wait_until(lambda: site.entry.state.table.version == version)


def calls_of(servers):
    """Return all calls that servers have got, but those of the router."""
    return [
        call
        for server in servers.values()
        for call in server.arrivals
        if 'x-request-attempt-id' in call.headers
    ]


class CustomerTestCase(unittest.TestCase):
    def check_sent(self, servers, customer, priority=None):
        """Check who servers were told sent the calls; forget the calls."""
        calls = calls_of(servers)
        self.assertTrue(calls)
        for call in calls:
            self.assertEqual(customer, call.headers.get('x-tenant'))
            self.assertEqual(priority, call.headers.get('x-request-priority'))
            self.assertNotIn('authorization', call.headers)
            self.assertNotIn('key-of', repr(call.headers))
        for server in servers.values():
            server.arrivals.clear()


class TestKeys(CustomerTestCase):
    @run
    async def test_missing_and_unknown_keys_get_401_and_reach_no_server(self):
        async with sites.running_site() as site:
            await configure(site, 2, ASH)
            for headers in ((), (bearer('key-of-none'),)):
                for path in ('/read/x', '/order/x', '/ask/x'):
                    answer = await site.call('POST', path, headers=headers)
                    self.assertEqual(401, answer.status)
                    self.assertEqual(
                        'Bearer', answer.headers['www-authenticate']
                    )
                    self.assertIn(b'unknown-key', answer.body)
                    self.assertNotIn('retry-after', answer.headers)
            self.assertEqual([], calls_of(site.servers))

    # Guards against keys and names of callers' own that pass, among them
    # names in headers that the caller declares to be of its connection.
    @run
    async def test_server_gets_the_name_and_no_key(self):
        async with sites.running_site() as site:
            await configure(site, 2, ASH, {**ELM, 'priority': 2})
            for path in ('/read/x', '/order/x'):
                for own in ((), ('X-Tenant: elm',)):
                    answer = await site.call(
                        'POST',
                        path,
                        headers=(
                            bearer(KEY),
                            'Connection: x-tenant',
                            'X-Request-Priority: 0',
                            *own,
                        ),
                    )
                    self.assertEqual(200, answer.status)
                    # The two customers don't differ in priority, but a
                    # request to the open route may have the route's.
                    self.check_sent(site.servers, 'ash', '2')

    @run
    async def test_exempt_route_needs_no_key(self):
        async with sites.running_site() as site:
            await configure(site, 2, ASH)
            for headers, customer, priority in (
                ((), None, '1'),
                (('X-Tenant: ash',), None, '1'),
                ((bearer('key-of-none'), 'X-Tenant: ash'), None, '1'),
                ((bearer(KEY), 'X-Tenant: elm'), 'ash', '2'),
            ):
                answer = await site.call('GET', '/open/x', headers=headers)
                self.assertEqual(200, answer.status)
                self.check_sent(site.servers, customer, priority)

    @run
    async def test_without_customers_callers_headers_pass(self):
        async with sites.running_site(plain=('s1',)) as site:
            await site.call(
                'GET', '/read/x', headers=(bearer(KEY), 'X-Tenant: own')
            )
            (call,) = calls_of(site.servers)
            self.assertEqual(f'Bearer {KEY}', call.headers['authorization'])
            self.assertEqual('own', call.headers['x-tenant'])
            self.assertNotIn('x-request-priority', call.headers)
            # Routes of one service that differ in priority ask for it.
            fields = sites.make_configuration(2)
            fields['routes'][1]['priority'] = 12
            site.store.put('op/config', fields)
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            for path, priority in (('/read/x', '1'), ('/order/x', '9')):
                await site.call('POST', path, request_id=path)
                sent = site.servers['s1'].arrivals[-1].headers
                self.assertEqual(priority, sent.get('x-request-priority'))

    # Retries, and the second run of a stream that broke, are sent by code of
    # their own.
    @run
    async def test_prefill_stream_and_resumed_stream_get_the_name(self):
        async with sites.running_site(engines=ENGINES) as site:
            await configure(site, 2, ASH, ELM)
            engines = {name: site.servers[name] for name in ENGINES}
            breaks = [2]
            for engine in engines.values():
                engine.break_after = breaks
            answer = await site.call('POST', '/ask/x', headers=(bearer(KEY),))
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.whole)
            calls = calls_of(engines)
            stages = [call.headers.get('x-serving-stage') for call in calls]
            self.assertIn('prefill', stages)
            self.assertTrue(
                any('last-event-id' in call.headers for call in calls)
            )
            self.check_sent(engines, 'ash', '2')
            await site.call(
                'POST',
                '/once/x',
                headers=(bearer(OTHER_KEY),),
                request_id='id-2',
            )
            self.check_sent(engines, 'elm', '1')


class TestVersions(CustomerTestCase):
    @run
    async def test_keys_come_and_go_while_a_connection_is_open(self):
        async with sites.running_site() as site:
            await configure(site, 2, ASH)
            async with await site.connect() as caller:
                for version, customers, status in (
                    (2, (ASH,), 401),
                    (3, (ASH, ELM), 200),
                    (4, (ASH,), 401),
                ):
                    await configure(site, version, *customers)
                    answer = await caller.call(
                        'GET',
                        '/read/x',
                        request_id=f'id-{version}',
                        headers=(bearer(OTHER_KEY),),
                    )
                    self.assertEqual(status, answer.status)

    @run
    async def test_stream_under_way_ends_after_its_key_is_taken_away(self):
        async with sites.running_site(engines=ENGINES) as site:
            await configure(site, 2, ASH, ELM)
            gate = trio.Event()
            for name in ENGINES:
                site.servers[name].last_event_gate = gate
            async with await site.connect() as caller:
                await caller.send('POST', '/ask/x', headers=(bearer(KEY),))
                status, _ = await caller.read_head()
                await configure(site, 3, ELM)
                gate.set()
                body = b''
                while piece := await caller.read_chunk():
                    body += piece
                self.assertEqual(200, status)
                self.assertEqual(b'', piece, 'the stream was cut off')
                self.assertEqual(server_cuts.ALL_EVENTS, body)

    @run
    async def test_bad_version_changes_nothing_and_no_key_is_logged(self):
        lines = []
        sink = loguru.logger.add(lines.append, level='TRACE', serialize=True)
        self.addCleanup(loguru.logger.remove, sink)
        async with sites.running_site() as site:
            await configure(site, 2, ASH)
            bad = {**ELM, 'priority': 'high'}
            site.store.put('op/config', make_configuration(3, ASH, bad))
            await sites.wait_until(
                lambda: any('tenants[1]' in line for line in lines)
            )
            for key, status in ((KEY, 200), (OTHER_KEY, 401)):
                answer = await site.call(
                    'GET',
                    '/read/x',
                    request_id=key[-5:],
                    headers=[bearer(key)],
                )
                self.assertEqual(status, answer.status)
            self.assertEqual(2, site.entry.state.table.version)
            log = ''.join(lines)
            metrics = site.entry.stats.render().decode()
            self.assertIn('version 2 has 1 customers with 1 keys', log)
            self.assertIn('no customer of configuration version 2', log)
            self.assertIn('customer_requests_total{customer="ash"} 1', metrics)
            self.assertIn('unknown_keys_total 1', metrics)
            self.assertNotIn('key-of', log + metrics)


class OlderBuild:
    """Has a VM behave as one of a build that looks no keys up.

    Parameters
    ----------
    vm : object
        The VM of a fleet.
    """

    def __init__(self, vm):
        self.requests = []
        self._serve = vm.entry._gateway.serve_handed_on
        vm.entry._gateway.serve_handed_on = self._serve_handed_on

    async def _serve_handed_on(self, exchange):
        self.requests.append(exchange.request)
        respond = exchange.respond

        async def respond_without_key_checks(status, headers, body):
            kept = [item for item in headers if b'keys' not in item[0]]
            await respond(status, kept, body)

        exchange.respond = respond_without_key_checks
        await self._serve(exchange)


@contextlib.asynccontextmanager
async def running_cut_fleet(**options):
    """Run a fleet with customers; its first VM reaches no server."""
    async with server_cuts.running_fleet(**options) as (fleet, cuts):
        fleet.store.put('op/config', make_configuration(2, ASH, ELM))
        await sites.wait_until(
            lambda: all(
                vm.entry.state.table.version == 2 for vm in fleet.vms.values()
            )
        )
        cuts.cut_off((1,), 'refused')
        yield fleet


class TestHandOn(CustomerTestCase):
    # A caller may declare any header to be of its connection; the other VM
    # needs the key all the same.
    @run
    async def test_other_vm_looks_the_key_up(self):
        for path, servers in (
            ('/order/x', {'plain': server_cuts.PLAIN}),
            ('/ask/x', {'engines': server_cuts.ENGINES}),
        ):
            async with running_cut_fleet(**servers) as fleet:
                answer = await server_cuts.ask(
                    fleet,
                    1,
                    path,
                    'id-1',
                    headers=(
                        bearer(KEY),
                        'X-Tenant: elm',
                        'Connection: authorization',
                    ),
                )
                self.assertEqual(200, answer.status, answer.body)
                self.check_sent(fleet.servers, 'ash', '2')

    @run
    async def test_unknown_key_is_refused_or_dropped_by_the_other_vm(self):
        async with running_cut_fleet(plain=server_cuts.PLAIN) as fleet:
            headers = (bearer('key-of-none'),)
            answer = await server_cuts.ask(
                fleet, 1, '/open/x', 'id-1', headers=headers
            )
            self.assertEqual(200, answer.status)
            self.check_sent(fleet.servers, None, '1')
            vm = fleet.vms[2]
            async with sites.Caller(
                await trio.open_tcp_stream(
                    vm.host, vm.entry.ports['relay_port']
                )
            ) as caller:
                answer = await caller.call('POST', '/read/x', headers=headers)
                self.assertEqual(401, answer.status)
                # A 401 would hide that a server may have run it.
                answer = await caller.call(
                    'POST',
                    '/read/x',
                    request_id='id-2',
                    headers=(*headers, 'Bluebellthread-Runs: 1'),
                )
                self.assertEqual(503, answer.status)
                self.assertEqual(
                    'unknown-key', answer.headers['bluebellthread-not-taken']
                )
            self.assertEqual([], calls_of(fleet.servers))

    # A VM of an older build would pass the key on to a server.
    @run
    async def test_vm_of_an_older_build_gets_no_key(self):
        async with running_cut_fleet(plain=server_cuts.PLAIN) as fleet:
            older = OlderBuild(fleet.vms[2])
            for number in range(4):
                answer = await server_cuts.ask(
                    fleet, 1, '/order/x', f'id-{number}', headers=[bearer(KEY)]
                )
                self.assertEqual(200, answer.status, answer.body)
            self.check_sent(fleet.servers, 'ash', '2')
            others = [older, OlderBuild(fleet.vms[3])]
            vm1 = fleet.vms[1].entry
            await vm1._hand_on.close()
            answer = await server_cuts.ask(
                fleet, 1, '/order/x', 'id-9', headers=[bearer(KEY)]
            )
            self.assertEqual(503, answer.status)
            self.assertEqual([], calls_of(fleet.servers))
            asked = [item for other in others for item in other.requests]
            self.assertTrue(asked)
            self.assertNotIn('key-of', repr(asked))

    # Guards upgrades of deployments without customers, whose VMs of the
    # previous build must still be asked to serve.
    @run
    async def test_vm_of_an_older_build_serves_without_customers(self):
        async with server_cuts.running_fleet(plain=server_cuts.PLAIN) as (
            fleet,
            cuts,
        ):
            cuts.cut_off((1,), 'refused')
            for number in (2, 3):
                OlderBuild(fleet.vms[number])
            answer = await server_cuts.ask(fleet, 1, '/order/x', 'id-1')
            self.assertEqual(200, answer.status)


if __name__ == '__main__':
    unittest.main()
