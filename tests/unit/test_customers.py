"""Finds customers by their keys, and the priority of their requests."""

import types
import unittest

from bluebellthread.core import routing
from bluebellthread.entry import _customer_lookup
from bluebellthread.entry import _stats
from bluebellthread.entry import _work
from bluebellthread import platform

DIALECT = platform.make_dialect()


def make_request(*keys):
    return types.SimpleNamespace(
        header=lambda name: '',
        method=b'GET',
        host='h',
        target=b'/',
        headers=tuple((b'authorization', key) for key in keys),
        body=b'',
        received_ms=0,
    )


def make_route(**changes):
    return routing.Route(
        name='r',
        host='h',
        prefix='/',
        kind=routing.KIND_ONCE,
        shares=(routing.ServiceShare(service='plain'),),
        timeout_ms=8000,
        **changes,
    )


def make_work(*, customer=None, priority=0):
    return _work.Work(
        exchange=types.SimpleNamespace(request=make_request()),
        route=make_route(priority=priority),
        service='plain',
        table_version=1,
        dialect=DIALECT,
        stats=None,
        admission=None,
        customer=customer,
    )


class TestLookup(unittest.TestCase):
    def setUp(self):
        self.ash = routing.Customer(name='ash', priority=0)
        self.customers = routing.Customers(
            [('k1', self.ash), ('k2', self.ash), ('clé', self.ash)]
        )

    def find(self, *keys):
        return _customer_lookup.find_customer(
            self.customers, make_request(*keys), DIALECT
        )

    def test_each_key_of_a_customer_finds_it(self):
        for value in (b'Bearer k1', b'bearer  k2', 'BEARER clé'.encode()):
            self.assertIs(self.ash, self.find(value))

    # Guards against lookups that take part of a key, another scheme, or
    # bytes that are not valid UTF-8 for a key.
    def test_anything_else_finds_no_customer(self):
        for value in (
            b'',
            b'k1',
            b'Bearer',
            b'Bearer ',
            b'Bearer k',
            b'Bearer k1 k2',
            b'Basic k1',
            b'Bearer \xff',
        ):
            self.assertIsNone(self.find(value), value)
        self.assertIsNone(self.find())

    # Two keys may be of two customers; a server or another proxy may read
    # the other one.
    def test_two_keys_find_no_customer(self):
        self.assertIsNone(self.find(b'Bearer k1', b'Bearer k2'))

    def test_keys_are_not_kept(self):
        kept = repr(vars(self.customers))
        self.assertNotIn('k1', kept)
        self.assertEqual(3, self.customers.key_count)
        self.assertEqual({'ash'}, set(self.customers.names))


class TestPriority(unittest.TestCase):
    def test_priority_is_the_customers_else_the_routes(self):
        urgent = routing.Customer(name='ash', priority=0)
        plain = routing.Customer(name='elm')
        self.assertEqual(0, make_work(customer=urgent, priority=3).priority)
        self.assertEqual(3, make_work(customer=plain, priority=3).priority)
        self.assertEqual(3, make_work(priority=3).priority)

    def test_priority_stays_within_what_servers_know(self):
        self.assertEqual(0, make_work(priority=-4).priority)
        self.assertEqual(9, make_work(priority=12).priority)

    def has_priorities(self, *routes, customers=None):
        if customers is not None:
            customers = routing.Customers(
                (f'k{priority}', routing.Customer(name='a', priority=priority))
                for priority in customers
            )
        table = routing.RoutingTable(
            version=1, routes=routes, customers=customers
        )
        return table.has_priorities('plain')

    def test_priorities_differ_by_routes_or_customers(self):
        low, high = make_route(priority=4), make_route(priority=1)
        exempt = make_route(priority=4, needs_key=False)
        for expected, routes, customers in (
            (False, [low], None),
            (True, [low, high], None),
            (True, [low], [1, 2]),
            (True, [low], [1, None]),
            (False, [low, high], [1]),
            (False, [low], [4, None]),
            (True, [exempt], [1]),
            (False, [make_route(priority=9)], [12, None]),
            (False, [], [1, 2]),
        ):
            with self.subTest(routes=routes, customers=customers):
                self.assertEqual(
                    expected, self.has_priorities(*routes, customers=customers)
                )


class TestMetric(unittest.TestCase):
    # Guards against memory that grows with each customer of each version.
    def test_number_of_names_is_bounded(self):
        stats = _stats.EntryStats()
        for number in range(3 * _stats.CUSTOMERS_MAX):
            stats.count_customer(routing.Customer(name=f'c{number}'))
        stats.count_customer(routing.Customer(name='c0'))
        stats.count_customer(None)
        lines = [
            line
            for line in stats.render().decode().splitlines()
            if line.startswith('bluebellthread_customer_requests_total{')
        ]
        self.assertEqual(_stats.CUSTOMERS_MAX + 2, len(lines))
        name = 'bluebellthread_customer_requests_total{customer='
        self.assertIn(name + '"c0"} 2.0', lines)
        self.assertIn(name + '"(other)"} 256.0', lines)
        self.assertIn(name + '"(none)"} 1.0', lines)


if __name__ == '__main__':
    unittest.main()
