import unittest

from bluebellthread.core import routing


def make_route(**changes):
    fields = {
        'name': 'r',
        'host': 'h.example',
        'prefix': '/a/',
        'kind': routing.KIND_ONCE,
        'shares': (routing.ServiceShare(service='s'),),
        **changes,
    }
    return routing.Route(**fields)


class TestFind(unittest.TestCase):
    def test_route_with_longest_path_prefix_on_the_host_wins(self):
        table = routing.RoutingTable(
            version=1,
            routes=[
                make_route(name='short', prefix='/a/'),
                make_route(name='long', prefix='/a/b/'),
                make_route(name='other', host='o.example', prefix='/a/b/c/'),
            ],
        )
        self.assertEqual('long', table.find('h.example', '/a/b/c/d').name)
        self.assertEqual('short', table.find('h.example', '/a/bb').name)
        self.assertEqual('other', table.find('o.example', '/a/b/c/').name)

    def test_path_without_the_whole_prefix_has_no_route(self):
        table = routing.RoutingTable(version=1, routes=[make_route()])
        for path in ('/a', '/ab/', '/', 'a/'):
            self.assertIsNone(table.find('h.example', path))
        self.assertIsNone(table.find('unknown.example', '/a/'))


class TestShares(unittest.TestCase):
    def test_split_follows_the_weights_and_is_stable(self):
        route = make_route(
            shares=(
                routing.ServiceShare(service='a', weight=90),
                routing.ServiceShare(service='b', weight=10),
            )
        )
        chosen = [route.choose_service(f'id-{n}') for n in range(2000)]
        self.assertEqual(
            chosen, [route.choose_service(f'id-{n}') for n in range(2000)]
        )
        self.assertTrue(100 < chosen.count('b') < 300)

    def test_split_with_zero_weights_uses_the_first_service(self):
        route = make_route(
            shares=(
                routing.ServiceShare(service='a', weight=0),
                routing.ServiceShare(service='b', weight=0),
            )
        )
        self.assertEqual('a', route.choose_service('x'))
