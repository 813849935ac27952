import unittest

from bluebellthread import core

LONG_AFTER_TIMEOUT_MS = 100_000


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
        """Execute the planner's orders one by one and return all of them.

        Each result is reported to the planner, until it gives no more orders.
        """
        orders_given = []
        now_ms = 0
        while True:
            now_ms += 60_000
            orders = self.report(
                now_ms=now_ms, targets=tuple(targets), role=role
            )
            if not orders:
                return orders_given
            order = orders[0]
            orders_given.append(
                (order.action, order.target, order.fencing_number)
            )
            if order.action == 'role':
                role = order.target
            elif order.action == 'load':
                targets = [*targets, order.target]
            else:
                targets = [item for item in targets if item != order.target]
            self.planner.handle(core.OrderDone(order=order), now_ms)

    def test_orders_bring_engine_to_configured_state(self):
        expected = [
            ('role', 'decode', 3),
            ('load', 'm@1', 3),
            ('load', 'm/x', 3),
            ('unload', 'm@0', 3),
        ]
        self.assertEqual(
            expected, self.execute_orders(['m@0'], role='prefill')
        )

    def test_fencing_number_follows_the_revision(self):
        self.configure(4, version='2')
        self.assertEqual(4, self.report()[0].fencing_number)

    def test_older_configuration_is_ignored(self):
        self.configure(2, version='0')
        self.assertEqual('m@1', self.report()[0].target)

    def test_unconfirmed_order_blocks_others_and_is_repeated(self):
        order = self.report()[0]
        self.assertEqual([], self.report(now_ms=1))
        self.planner.handle(core.OrderDone(order=order), 10)
        self.assertEqual([], self.report(now_ms=11))
        self.assertEqual([order], self.report(now_ms=LONG_AFTER_TIMEOUT_MS))

    def test_loads_respect_the_weight_store_rate(self):
        self.configure(4, loads=60.0, version='1')
        self.assertEqual(1, len(self.report('d1')))
        self.assertEqual([], self.report('d2', now_ms=900))
        self.assertEqual(1, len(self.report('d2', now_ms=1000)))

    def test_engine_without_configured_targets_gets_no_order(self):
        self.configure(4)
        self.assertEqual([], self.report(targets=('m@7',)))

    def test_engine_that_reports_no_targets_gets_no_order(self):
        self.assertEqual([], self.report(targets=None, role=''))
