import socket
import unittest

import trio
import trio.testing

import standin
from standin import _proxy
from standin import site
from tests.integration import _fleet

PROMPT = 'a cracked glaze, a lost wig; ' * 100


class TestEngine(_fleet.FleetTestCase):
    def test_request_passes_through_both_roles(self):
        self.run_fleet(self.check_both_roles)

    async def check_both_roles(self, fleet):
        await start_engines(fleet, prefill={'cache_event_gap_every': 0})
        transfer = await prefill(fleet, 'r1')
        texts = await decode(fleet, 'r1', transfer, 12)
        self.assertEqual(
            standin.expected_answer(PROMPT, 12), ''.join(texts.values())
        )
        self.assertEqual({}, (await fleet.state('d1'))['token_counts'])
        transfer = await prefill(fleet, 'r2')
        sent = standin.expected_answer(PROMPT, 5)
        rest = await decode(
            fleet, 'r2', transfer, 12, prompt=PROMPT + sent, offset=5
        )
        self.assertEqual({n: texts[n] for n in range(5, 12)}, rest)

        async def find_cache_events():
            answer = await fleet.call(
                'GET', fleet.standins['p1'], '/cache_events'
            )
            return answer.json()['events']

        events = await _fleet.until(find_cache_events)
        self.assertEqual(
            list(standin.prefix_hashes(PROMPT)),
            [event['prefix_hash'] for event in events],
        )

    def test_memory_is_accounted_exactly_and_freed_by_cancel(self):
        self.run_fleet(self.check_memory)

    async def check_memory(self, fleet):
        await start_engines(
            fleet, decode={'total_pieces': 2, 'step_ms': 20, 'load_lag_ms': 0}
        )
        transfer = await prefill(fleet, 'r1')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decode, fleet, 'r1', transfer, 2000)
            await _fleet.until(lambda: holds_memory(fleet, 'r1'))
            self.assertEqual(0, (await fleet.state('d1'))['free_pieces'])
            refused = await start_decode(fleet, 'r2', transfer, 1)
            self.assertEqual(503, refused.status)
            cancelled = await fleet.post(
                'd1', '/v1/cancel', {'request_id': 'r1'}
            )
        self.assertEqual({'held': True}, cancelled)
        self.assertEqual(2, (await fleet.state('d1'))['free_pieces'])
        again = await start_decode(fleet, 'r1', transfer, 1)
        self.assertEqual('cancelled', again.json()['error']['kind'])

    def test_broken_stream_resumes_on_the_same_engine(self):
        self.run_fleet(self.check_resume)

    async def check_resume(self, fleet):
        await start_engines(fleet, decode={'step_ms': 5})
        transfer = await prefill(fleet, 'r1')
        body = decode_body(transfer, 30)
        async with fleet.open(
            'POST',
            fleet.standins['d1'],
            '/v1/completions',
            body,
            {'x-request-id': 'r1'},
        ) as response:
            await anext(_fleet.read_events(response))
        rest = await decode(fleet, 'r1', transfer, 30, offset=0)
        self.assertEqual(
            standin.expected_answer(PROMPT, 30), ''.join(rest.values())
        )
        self.assertEqual(1, (await fleet.state('d1'))['imports'])

    def test_unfetched_export_is_evicted(self):
        self.run_fleet(self.check_eviction)

    async def check_eviction(self, fleet):
        await start_engines(fleet, prefill={'export_keep_ms': 1})
        transfer = await prefill(fleet, 'r1')
        await _fleet.until(lambda: read_evicted_count(fleet))
        refused = await start_decode(fleet, 'r1', transfer, 1)
        self.assertEqual('kv-evicted', refused.json()['error']['kind'])
        self.assertEqual([], (await fleet.state('d1'))['running_ids'])

    def test_pieces_can_arrive_out_of_order_and_twice(self):
        self.run_fleet(self.check_disorder)

    async def check_disorder(self, fleet):
        await start_engines(fleet, decode={'disorder_window': 2})
        transfer = await prefill(fleet, 'r1')
        offsets = []
        await decode(fleet, 'r1', transfer, 4, offsets=offsets)
        self.assertEqual([2, 1, 0, 0, 3, 3], offsets)

    def test_old_fencing_numbers_are_refused_by_engines_that_check(self):
        self.run_fleet(self.check_fencing)

    async def check_fencing(self, fleet):
        await start_engines(fleet, decode={'checks_fencing': True})
        for name, expected in (('d1', [200, 409]), ('p1', [200, 200])):
            statuses = [await order(fleet, name, number) for number in (7, 6)]
            self.assertEqual(expected, statuses)


class TestServiceAndPlatform(_fleet.FleetTestCase):
    def test_the_ledger_counts_each_run(self):
        self.run_fleet(self.check_ledger)

    async def check_ledger(self, fleet):
        await fleet.start_standins([{'kind': 'service', 'name': 'm1'}])
        for order_id in ('a', 'b', 'a'):
            await fleet.post('m1', '/orders', {'order_id': order_id})
        answer = await fleet.call('GET', fleet.standins['m1'], '/ledger')
        self.assertEqual({'a': 2, 'b': 1}, answer.json()['runs'])
        await fleet.control('m1', leaving=True)
        answer = await fleet.call('POST', fleet.standins['m1'], '/orders')
        self.assertEqual('leaving', answer.json()['error']['kind'])

    def test_a_watch_returns_the_next_revision_as_published(self):
        self.run_fleet(self.check_watch)

    async def check_watch(self, fleet):
        await fleet.start_standins([{'kind': 'platform'}])
        await fleet.publish_config({'revision': 1})
        text = '{"revision": 2 /* more room */}'
        answers = []

        async def watch():
            answers.append(
                await fleet.call(
                    'GET',
                    fleet.standins['platform'],
                    '/config?after=1&wait_s=10',
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await _fleet.until(lambda: count_config_reads(fleet))
            await fleet.publish_config(text)
        self.assertEqual(text.encode(), answers[0].body)
        await fleet.control('platform', stale_revision=1)
        stale = await fleet.call(
            'GET', fleet.standins['platform'], '/config?after=1'
        )
        self.assertEqual(304, stale.status)
        self.assertEqual(2, await count_config_reads(fleet))


class TestClosedProxy(unittest.TestCase):
    # Guards against a port that another process gets while a path is cut.
    def test_closed_proxy_refuses_connections_and_keeps_its_port(self):
        trio.run(self.close_and_reopen)

    async def close_and_reopen(self):
        async with trio.open_nursery() as nursery:
            server = site.PlainServer(name='s1')
            await server.start(nursery)
            proxy = _proxy.Proxy(
                _proxy.ProxySettings(name='x', target_port=server.port)
            )
            await proxy.start(nursery)
            address = ('127.0.0.1', proxy.settings.port)
            proxy.close()
            await trio.testing.wait_all_tasks_blocked()
            with self.assertRaises(OSError):
                await trio.open_tcp_stream(*address)
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind(address)
            await proxy.reopen()
            await trio.aclose_forcefully(await trio.open_tcp_stream(*address))
            nursery.cancel_scope.cancel()


class TestProxy(_fleet.FleetTestCase):
    def test_faults_affect_only_connections_of_their_source(self):
        self.run_fleet(self.check_faults)

    async def check_faults(self, fleet):
        started = await fleet.start_standins(
            [{'kind': 'service', 'name': 'm1'}]
        )
        await fleet.start_standins(
            [
                {
                    'kind': 'proxy',
                    'name': 'x',
                    'target_port': started['m1'].port,
                }
            ]
        )
        streams = {}
        for source in ('127.0.0.8', '127.0.0.9'):
            streams[source] = await trio.open_tcp_stream(
                '127.0.0.1', fleet.standins['x'].port, local_address=source
            )
            self.assertIn(b'200', await request_stock(streams[source]))
        await fleet.set_rules('x', {'127.0.0.9': {'stall': True}})
        self.assertIn(b'200', await request_stock(streams['127.0.0.8']))
        with trio.move_on_after(0.2) as scope:
            await request_stock(streams['127.0.0.9'])
        self.assertTrue(scope.cancelled_caught)
        await fleet.set_rules('x', {'127.0.0.9': {'cut': True}})
        self.assertEqual(b'', await streams['127.0.0.9'].receive_some())
        self.assertIn(b'200', await request_stock(streams['127.0.0.8']))

    def test_datagrams_are_relayed_or_dropped(self):
        self.run_fleet(self.check_datagrams)

    async def check_datagrams(self, fleet):
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as target:
            await target.bind(('127.0.0.1', 0))
            port = target.getsockname()[1]
            await fleet.start_standins(
                [
                    {
                        'kind': 'proxy',
                        'name': 'x',
                        'target_port': port,
                        'forwards_udp': True,
                    }
                ]
            )
            address = ('127.0.0.1', fleet.standins['x'].port)
            await fleet.set_rules('x', {'127.0.0.1': {'cut': True}})
            await target.sendto(b'lost', address)
            await _fleet.until(lambda: read_proxy_count(fleet, 'dropped'))
            await fleet.set_rules('x', {})
            await target.sendto(b'kept', address)
            self.assertEqual(b'kept', await target.recv(100))


async def start_engines(fleet, *, prefill=None, decode=None):
    await fleet.start_standins(
        [
            {
                'kind': 'engine',
                'name': 'p1',
                'role': 'prefill',
                **(prefill or {}),
            },
            {
                'kind': 'engine',
                'name': 'd1',
                'role': 'decode',
                **(decode or {}),
            },
        ]
    )


async def prefill(fleet, request_id):
    answer = await fleet.call(
        'POST',
        fleet.standins['p1'],
        '/v1/completions',
        {'model': 'm', 'prompt': PROMPT, 'max_tokens': 1},
        {'x-request-id': request_id},
    )
    return answer.json()['kv_transfer_params']


def decode_body(transfer, max_tokens, *, prompt=PROMPT, offset=0):
    return {
        'model': 'm',
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': True,
        'resume_offset': offset,
        'kv_transfer_params': transfer,
    }


async def decode(
    fleet,
    request_id,
    transfer,
    max_tokens,
    *,
    prompt=PROMPT,
    offset=0,
    offsets=None,
):
    texts = {}
    async with fleet.open(
        'POST',
        fleet.standins['d1'],
        '/v1/completions',
        decode_body(transfer, max_tokens, prompt=prompt, offset=offset),
        {'x-request-id': request_id},
    ) as response:
        async for event in _fleet.read_events(response):
            if 'offset' in event:
                texts[event['offset']] = event['choices'][0]['text']
                if offsets is not None:
                    offsets.append(event['offset'])
    return texts


async def start_decode(fleet, request_id, transfer, max_tokens):
    return await fleet.call(
        'POST',
        fleet.standins['d1'],
        '/v1/completions',
        decode_body(transfer, max_tokens),
        {'x-request-id': request_id},
    )


async def order(fleet, name, number):
    answer = await fleet.call(
        'POST',
        fleet.standins[name],
        '/orders',
        {'fencing_number': number, 'action': 'load', 'target': 'wigs'},
    )
    return answer.status


async def holds_memory(fleet, request_id):
    answer = await fleet.call('GET', fleet.standins['d1'], '/load')
    return request_id in answer.json()['running_ids']


async def read_evicted_count(fleet):
    return (await fleet.state('p1'))['evicted_count']


async def count_config_reads(fleet):
    answer = await fleet.call('GET', fleet.standins['platform'], '/counts')
    return answer.json().get('config', 0)


async def read_proxy_count(fleet, name):
    address = fleet.standins['x']
    control = _fleet.Address(host=address.host, port=address.control_port)
    answer = await fleet.call('GET', control, '/counts')
    return answer.json().get(name, 0)


async def request_stock(stream):
    await stream.send_all(b'GET /stock/wig HTTP/1.1\r\nhost: x\r\n\r\n')
    data = b''
    while not data.endswith(b'}'):
        data += await stream.receive_some()
    return data
