"""Limits that backend servers name for the requests of all VMs together."""

import itertools
import sys
import types
import unittest

import attrs
import trio

from bluebellthread.cli import _vm_calls
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _server_limits
from bluebellthread import platform
from standin.site import _connection
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration import _fleet
from tests.integration.test_entry_plain import refuse
from tests.integration.test_entry_plain import run

WINDOW_S = 4.0
PLAIN = ('s1', 's2', 's3', 's4')

_numbers = itertools.count(1)


def allowed_arrivals(rate_per_s):
    """Return the most arrivals in `WINDOW_S`, by the users' rule LIMIT.

    "more than one and a half times what that allows, + 5 requests"
    """
    return 1.5 * rate_per_s * WINDOW_S + 5


@attrs.define
class Load:
    """Calls that callers make at a steady rate, and their answers."""

    fleet: fleets.Fleet
    rate_per_s: float
    vms: tuple
    method: str = 'GET'
    path: str = '/read/x'
    answers: list = attrs.field(factory=list)

    async def run(self, length_s):
        """Make calls for ``length_s`` and wait for all answers."""
        async with trio.open_nursery() as nursery:
            for number in range(int(self.rate_per_s * length_s)):
                vm = self.vms[number % len(self.vms)]
                nursery.start_soon(self._call, vm)
                await trio.sleep(1 / self.rate_per_s)

    async def _call(self, vm):
        request_id = f'i{next(_numbers)}'
        async with await self.fleet.connect(vm) as caller:
            answer = await caller.call(
                self.method, self.path, request_id=request_id
            )
        self.answers.append((request_id, answer))

    def count(self, status):
        """Return the number of answers with a status."""
        return sum(answer.status == status for _, answer in self.answers)


def ids_of(requests):
    return {item.headers['x-request-attempt-id'] for item in requests}


def name_limits(fleet, limits):
    for name, limit in limits.items():
        fleet.servers[name].limit = limit


class TestServerLimits(unittest.TestCase):
    def check_arrivals(self, fleet, limits, since_s):
        """Check the users' rule for each server that names a limit."""
        for name, limit in limits.items():
            most = fleet.servers[name].count_most_arrivals(
                WINDOW_S, since_s=since_s
            )
            self.assertLessEqual(most, allowed_arrivals(float(limit)), name)

    def check_refusals(self, fleet, load):
        """Check that what was refused did not arrive and names a time."""
        arrived = set().union(
            *(ids_of(server.arrivals) for server in fleet.servers.values())
        )
        for request_id, answer in load.answers:
            if answer.status == 503:
                self.assertIn(b'server-limit', answer.body)
                self.assertIn('retry-after', answer.headers)
                self.assertNotIn(request_id, arrived)

    # Guards against VMs that send each as much as a server names for all.
    @run
    async def test_limit_of_one_server_holds_over_all_vms(self):
        limits = {'s1': '1.5'}
        async with fleets.running_fleet(plain=PLAIN) as fleet:
            name_limits(fleet, limits)
            load = Load(fleet, 40, (1, 2, 3))
            begun_s = trio.current_time()
            await load.run(6)
            self.check_arrivals(fleet, limits, begun_s)
            self.assertEqual(len(load.answers), load.count(200))
            # The server is used, too: two thirds of what it takes or more.
            self.assertGreaterEqual(len(fleet.servers['s1'].arrivals), 6)

    @run
    async def test_rest_is_refused_if_all_servers_name_limits(self):
        limits = dict.fromkeys(PLAIN, '2.0')
        for path, method in (('/read/x', 'GET'), ('/order/x', 'POST')):
            with self.subTest(path=path):
                async with fleets.running_fleet(plain=PLAIN) as fleet:
                    name_limits(fleet, limits)
                    load = Load(fleet, 30, (1, 2, 3), method, path)
                    begun_s = trio.current_time()
                    await load.run(6)
                    self.check_arrivals(fleet, limits, begun_s)
                    self.check_refusals(fleet, load)
                    self.assertEqual(
                        len(load.answers), load.count(200) + load.count(503)
                    )
                    self.assertGreaterEqual(load.count(200), 32)

    @run
    async def test_failure_of_a_server_is_passed_on_if_no_other_has_tokens(
        self,
    ):
        async def fail(request):
            server = site.servers['s1']
            await request.answer(500, b'own', server.answer_headers(request))

        async with sites.running_site(plain=('s1',)) as site:
            site.servers['s1'].limit = '0'
            await site.call('GET', '/read/x')
            # The one token that there is goes to the first attempt.
            site.servers['s1'].script = [fail] * 9
            answer = await site.call('GET', '/read/x')
            while answer.status == 503:
                answer = await site.call('GET', '/read/x')
            self.assertEqual((500, b'own'), (answer.status, answer.body))

    @run
    async def test_limit_holds_while_a_vm_is_killed_and_another_starts(self):
        limits = {'s1': '4.0'}
        async with fleets.running_fleet(plain=('s1',), vms=4) as fleet:
            name_limits(fleet, limits)
            begun_s = trio.current_time()
            load = Load(fleet, 30, (1, 2, 3))
            await load.run(2)
            owner = fleet.vms[1].entry.state.rank_owners('plain')[0].name
            killed = int(owner.removeprefix('vm'))
            fleet.kill_vm(killed)
            load.vms = tuple(fleet.vms)
            await load.run(2)
            await fleet.start_vm(killed)
            await sites.wait_until(
                lambda: fleet.vms[killed].entry.state.is_ready
            )
            load.vms = (killed,)
            await load.run(2)
            self.check_arrivals(fleet, limits, begun_s)
            self.check_refusals(fleet, load)

    @run
    async def test_limit_of_a_prefill_server_holds(self):
        limits = {'p1': '1.0'}
        async with fleets.running_fleet(engines=('p1', 'p2', 'd1')) as fleet:
            name_limits(fleet, limits)
            load = Load(fleet, 15, (1, 2, 3), 'POST', '/ask/x')
            begun_s = trio.current_time()
            await load.run(5)
            self.check_arrivals(fleet, limits, begun_s)
            self.assertEqual(len(load.answers), load.count(200))

    @run
    async def test_limit_of_a_decode_server_holds_for_all_kinds(self):
        limits = {'d1': '1.0'}
        for path in ('/ask/x', '/once/x'):
            with self.subTest(path=path):
                async with fleets.running_fleet(
                    engines=('p1', 'd1', 'd2')
                ) as fleet:
                    name_limits(fleet, limits)
                    load = Load(fleet, 15, (1, 2, 3), 'POST', path)
                    begun_s = trio.current_time()
                    await load.run(5)
                    self.check_arrivals(fleet, limits, begun_s)
                    self.assertEqual(len(load.answers), load.count(200))

    @run
    async def test_limit_of_the_only_decode_server_ends(self):
        async with fleets.running_fleet(engines=('p1', 'd1')) as fleet:
            name_limits(fleet, {'d1': '0'})
            load = Load(fleet, 10, (1, 2, 3), 'POST', '/ask/x')
            await load.run(2)
            self.assertGreater(load.count(503), 5)
            name_limits(fleet, {'d1': ''})
            while any(
                vm.entry.server_limits.list_all() for vm in fleet.vms.values()
            ):
                await load.run(0.2)
            load.answers.clear()
            await load.run(1)
            self.assertEqual(len(load.answers), load.count(200))

    @run
    async def test_limit_ends_when_the_server_stops_naming_it(self):
        async with fleets.running_fleet(plain=('s1',)) as fleet:
            name_limits(fleet, {'s1': '0'})
            load = Load(fleet, 20, (1, 2, 3))
            await load.run(2)
            self.assertGreater(load.count(503), 20)
            name_limits(fleet, {'s1': ''})
            await sites.wait_until(
                lambda: (
                    not any(
                        vm.entry.server_limits.list_all()
                        for vm in fleet.vms.values()
                    )
                    or self._is_asked(fleet)
                )
            )
            load.answers.clear()
            await load.run(1)
            self.assertEqual(len(load.answers), load.count(200))

    def _is_asked(self, fleet):
        """Make a call, so that the server's answer tells that it ended."""
        fleet.nursery.start_soon(Load(fleet, 10, (1, 2, 3)).run, 0.1)
        return False

    @run
    async def test_every_kind_of_answer_tells_the_limit(self):
        def answer(status, headers=()):
            async def handler(request):
                await request.answer(
                    status, headers=[('server-limit', '2'), *headers]
                )

            return handler

        async def break_off(request):
            ending = _connection.Ending(framing='chunks')
            await request.begin(200, [('server-limit', '2')], ending=ending)
            await request.reset()

        for handler in (
            answer(503, [('x-not-executed', '1')]),
            answer(429, [('x-not-executed', '1')]),
            answer(500),
            break_off,
        ):
            async with sites.running_site(plain=('s1',)) as site:
                site.servers['s1'].script = [handler]
                await site.call('POST', '/order/x')
                (item,) = site.entry.server_limits.list_all()
                self.assertEqual(2.0, item.limit.rate_per_s)

    @run
    async def test_refusal_without_a_limit_ends_none(self):
        async with sites.running_site(plain=('s1',)) as site:
            site.servers['s1'].limit = '2'
            await site.call('POST', '/order/x')
            site.servers['s1'].script = [refuse] * 2
            arrived_count = len(site.servers['s1'].arrivals)
            while len(site.servers['s1'].arrivals) == arrived_count:
                await site.call('POST', '/order/x')
            (item,) = site.entry.server_limits.list_all()
            self.assertEqual(2.0, item.limit.rate_per_s)

    @run
    async def test_answer_of_another_server_tells_nothing(self):
        async def answer(request):
            await request.answer(421, headers=[('server-limit', '2')])

        async with sites.running_site(plain=('s1',)) as site:
            site.servers['s1'].script = [answer]
            await site.call('POST', '/order/x')
            self.assertEqual((), site.entry.server_limits.list_all())

    @run
    async def test_malformed_limit_is_ignored(self):
        async with sites.running_site(plain=('s1',)) as site:
            for text in ('-1', 'soon', 'nan', '1e9'):
                site.servers['s1'].limit = text
                await site.call('POST', '/order/x')
                self.assertEqual((), site.entry.server_limits.list_all(), text)

    @run
    async def test_vms_that_only_heard_of_a_limit_keep_it(self):
        async with fleets.running_fleet(plain=('s1',)) as fleet:
            name_limits(fleet, {'s1': '0'})
            await Load(fleet, 20, (1,)).run(0.2)
            await sites.wait_until(
                lambda: all(
                    vm.entry.server_limits.list_all()
                    for vm in fleet.vms.values()
                )
            )
            arrived_count = len(fleet.servers['s1'].arrivals)
            load = Load(fleet, 60, (2, 3))
            begun_s = trio.current_time()
            await load.run(0.5)
            took_s = trio.current_time() - begun_s
            # A server that names 0 gets one request in two seconds, beside
            # the burst of one.
            sent_max = 2 + int(0.5 * took_s)
            sent_count = len(fleet.servers['s1'].arrivals) - arrived_count
            self.assertLessEqual(sent_count, sent_max)
            self.assertEqual(len(load.answers) - sent_count, load.count(503))

    @run
    async def test_vms_keep_the_limit_without_an_owner(self):
        """An owner of an older build grants no tokens."""
        limits = {'s1': '2.0'}
        async with fleets.running_fleet(plain=('s1',)) as fleet:
            for vm in fleet.vms.values():
                vm.entry._mailboxes.register(routing.TokensAsk, None)
            name_limits(fleet, limits)
            load = Load(fleet, 40, (1, 2, 3))
            begun_s = trio.current_time()
            await load.run(6)
            self.check_arrivals(fleet, limits, begun_s)
            self.check_refusals(fleet, load)
            self.assertGreater(load.count(200), 6)

    @run
    async def test_request_that_stood_still_needs_another_token(self):
        async with sites.running_site(plain=('s1',)) as site:
            site.servers['s1'].limit = '0'
            await site.call('GET', '/read/x')
            server = site.entry.state.directory.find('s1')
            expired = _server_limits.Admission(deadline_ms=0)
            caller = _server_calls.ServerCaller(
                connections=_server_connection.ServerConnections(),
                dialect=platform.make_dialect(),
                limits=site.entry.server_limits,
                paths=site.entry._paths,
                note_leaving=lambda server: None,
                note_wrong_server=lambda server: None,
            )
            arrived_count = len(site.servers['s1'].arrivals)
            with self.assertRaises(_server_calls.ServerLimitedError):
                await caller.open(
                    server,
                    types.SimpleNamespace(
                        request=_http_messages.Request(
                            method=b'GET',
                            target=b'/read/x',
                            headers=((b'host', b'calls.example'),),
                            body=b'',
                            received_ms=0,
                        )
                    ),
                    deadline_ms=_clock.read_clock_ms() + 1000,
                    is_retryable=True,
                    admission=expired,
                )
            self.assertEqual(arrived_count, len(site.servers['s1'].arrivals))

    @run
    async def test_operator_sees_limits(self):
        async with fleets.running_fleet(plain=('s1',)) as fleet:
            name_limits(fleet, {'s1': '0'})
            await Load(fleet, 30, (1,)).run(0.5)
            answer = await _vm_calls.call(
                fleet.vms[1].host, fleet.peer_port, routing.LimitsAsk()
            )
            (item,) = answer.limits
            self.assertEqual('s1', item.limit.server)
            self.assertGreater(item.turned_away_count, 5)
            listed = await trio.run_process(
                [
                    sys.executable,
                    '-m',
                    'bluebellthread.cli',
                    'limits',
                    'list',
                    '--vm',
                    f'{fleet.vms[1].host}:{fleet.peer_port}',
                ],
                cwd=_fleet.ROOT,
                capture_stdout=True,
            )
            self.assertIn('s1  0 a second', listed.stdout.decode())


if __name__ == '__main__':
    unittest.main()
