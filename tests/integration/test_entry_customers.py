"""Requests of customers: their keys, and what backend servers get of them."""

import unittest

from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

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


if __name__ == '__main__':
    unittest.main()
