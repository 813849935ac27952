import unittest

from bluebellthread import core

DONE_MS = 100_000


def make_server(name, **changes):
    fields = {
        'name': name,
        'host': '127.0.0.1',
        'port': int(name[1:]),
        'data_centre': 'a',
        'serves': 'm',
        'role': 'decode',
    }
    return core.BackendServer(**fields | changes)


SERVERS = (make_server('d1'), make_server('d2'))


def make_report(server, *, targets=(), role='decode'):
    return core.LoadReport(
        server=server,
        sequence=1,
        total_pieces=1,
        free_pieces=1,
        received_ms=0,
        role=role,
        targets=targets,
    )


class TestOrderPlanner(unittest.TestCase):
    def setUp(self):
        self.planner = core.OrderPlanner()
        self.configure(3, version='1', adapters=('x',))

    def configure(self, revision, *, loads=6000.0, **model):
        configuration = core.Configuration(
            revision=revision,
            models=(core.Model(name='m', **model),),
            backend_servers=SERVERS,
            weight_loads_per_min=loads,
        )
        event = core.OrdersConfigured(
            configuration=configuration, servers=SERVERS
        )
        return self.planner.handle(event, 0)

    def report(self, server='d1', now_ms=0, **fields):
        event = make_report(server, **fields)
        commands = self.planner.handle(event, now_ms)
        return [command.order for command in commands]

    def execute_orders(self, targets, role='decode'):
        """Obey every order; return them."""
        given = []
        now_ms = 0
        while True:
            now_ms += 60_000
            orders = self.report(
                now_ms=now_ms, targets=tuple(targets), role=role
            )
            if not orders:
                return given
            order = orders[0]
            given.append((order.action, order.target, order.fencing_number))
            if order.action == 'role':
                role = order.target
            elif order.action == 'load':
                targets = [*targets, order.target]
            else:
                targets = [item for item in targets if item != order.target]
            self.planner.handle(core.OrderDone(order=order), now_ms)

    def test_orders_lead_to_what_the_configuration_wants(self):
        expected = [
            ('role', 'decode', 3),
            ('load', 'm@1', 3),
            ('load', 'm/x', 3),
            ('unload', 'm@0', 3),
        ]
        self.assertEqual(
            expected, self.execute_orders(['m@0'], role='prefill')
        )

    def test_the_number_rises_with_the_revision(self):
        self.configure(4, version='2')
        self.assertEqual(4, self.report()[0].fencing_number)

    def test_an_older_configuration_changes_nothing(self):
        self.configure(2, version='0')
        self.assertEqual('m@1', self.report()[0].target)

    def test_one_order_at_a_time_and_again_if_no_report_shows_it(self):
        order = self.report()[0]
        self.assertEqual([], self.report(now_ms=1))
        self.planner.handle(core.OrderDone(order=order), 10)
        self.assertEqual([], self.report(now_ms=11))
        self.assertEqual([order], self.report(now_ms=DONE_MS))

    def test_loads_keep_to_the_weight_stores_rate(self):
        self.configure(4, loads=60.0, version='1')
        self.assertEqual(1, len(self.report('d1')))
        self.assertEqual([], self.report('d2', now_ms=900))
        self.assertEqual(1, len(self.report('d2', now_ms=1000)))

    def test_an_engine_that_nobody_steers_keeps_what_it_has(self):
        self.configure(4)
        self.assertEqual([], self.report(targets=('m@7',)))

    def test_an_engine_that_does_not_say_gets_no_order(self):
        self.assertEqual([], self.report(targets=None, role=''))
