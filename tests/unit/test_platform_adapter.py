import base64
import json
import pathlib
import tempfile
import unittest

from bluebellthread import core
from bluebellthread.core import _sections
from bluebellthread.core import routing
from bluebellthread.entry import TableError
from bluebellthread import platform
from bluebellthread.platform import _decoding
from bluebellthread.platform import _settings
from bluebellthread.platform import _store_client
from bluebellthread import wire

SERVER = {
    'service': 's',
    'address': '10.128.0.9:8080',
    'zone': 'cluj-a',
    'version': 'v1',
    'slots': 48,
    'state': 'ready',
    'coldLeftMs': 0,
    'stage': 'decode',
    'sequence': 4,
    'born': 1700000000000,
}

ROUTE = {
    'name': 'r',
    'host': 'H.example',
    'prefix': '/a/',
    'kind': 'stream',
    'timeoutMs': 14000,
    'targetLatencyMs': 900,
    'priority': 1,
    'service': 's',
    'maxAttempts': 2,
    'sessionAffinity': True,
    'resumable': True,
    'gapAimMs': 300,
}

CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's',
            'healthPath': '/health',
            'maxConnections': 300,
            'engine': {'slots': 48, 'kvTokens': 35962, 'kvHoldS': 0.5},
        },
        {'name': 'p', 'healthPath': '/health', 'maxConnections': 110},
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}

SETTINGS = {
    'nodeName': 'front-1',
    'ip': '127.0.0.1',
    'zone': 'cluj-a',
    'region': 'north',
    'zones': {'cluj-a': 'north'},
    'listen': {'front': '127.0.0.1:8149', 'ready': '127.0.0.1:8141'},
    'internalPorts': [7380, 7395],
    'seedNodes': ['10.1.0.38:8144'],
    'heartbeatMs': 1200,
    'limits': {'memoryMb': 150, 'fdLimit': 4100},
    'bounds': {
        'graceS': 8,
        'retryBudgetRatio': 0.2,
        'budgetWindowS': 10,
        'budgetSlack': 56,
    },
    'platform': {'address': '10.200.1.7:8142'},
}

TENANTS = [
    {
        'name': 'ash',
        'apiKeys': ['k-ash', 'k-ash-2'],
        'priority': 0,
        'ratePerS': 2.5,
        'burst': 4,
        'unit': 'token_stream',
        'plainTokens': 200,
    },
    {'name': 'elm', 'apiKeys': ['k-elm']},
]


class TestServers(unittest.TestCase):
    def test_entry_is_decoded_into_a_server(self):
        server = _decoding.decode_server('servers/i-1', SERVER)
        self.assertEqual(
            routing.ListedServer(
                name='i-1',
                service='s',
                host='10.128.0.9',
                port=8080,
                data_centre='cluj-a',
                incarnation=1700000000000,
                slot_count=48,
                role='decode',
                software_version='v1',
            ),
            server,
        )

    def test_invalid_server_entries_are_rejected(self):
        for change in (
            {'service': None},
            {'service': 7},
            {'state': 'asleep'},
            {'address': 'nowhere'},
            {'address': '10.0.0.1:x'},
            {'slots': 'many'},
            {'slots': True},
            {'slots': -1},
            {'zone': ''},
            {'stage': 'both'},
            {'born': 1.5},
            {'version': 7},
            {'version': ''},
            {'version': None},
            {'born': 10**30},
            {'slots': 10**30},
            {'address': '10.0.0.1:65536'},
            {'address': '10.0.0.1:\N{SUPERSCRIPT TWO}'},
            {'address': '10.0.0.1:' + 5000 * '1'},
            {'address': 'a\0b:80'},
            {'address': 'b\xe4r:80'},
            {'address': 'localhost:80'},
            {'address': '10.0.0:80'},
            {'address': f'{"5f" * 32}:80'},
            {'address': 'a..b:80'},
            {'address': '.:80'},
            {'address': '[::1]:80'},
            {'address': '0.0.0.0:80'},
            {'address': '224.0.0.1:80'},
            {'address': '255.255.255.255:80'},
            {'address': '10.0.0.1:0'},
            {'service': '\ud800'},
        ):
            with self.subTest(change=str(change)[:80]):
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_server(
                        'servers/i-1', {**SERVER, **change}
                    )

    def test_values_that_are_not_json_objects_are_rejected(self):
        for value in (
            '',
            '%%%',
            _encode(b'[1]'),
            _encode(b'\xff'),
            None,
            _encode(b'{"a": NaN}'),
            _encode(b'{"a": [-Infinity]}'),
            _encode(b'{"a": {"b": 1e999}}'),
            _encode(b'{"a": ' + 5000 * b'1' + b'}'),
            _encode(b'{"a": ' + nest(100_000) + b'}'),
        ):
            with self.subTest(value=str(value)[:40]):
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_value({'value': value})


class TestConfiguration(unittest.TestCase):
    def test_configuration_is_decoded_into_a_routing_table(self):
        table = _decoding.decode_table(CONFIGURATION)
        route = table.find('h.example', '/a/x')
        self.assertEqual(7, table.version)
        self.assertEqual(routing.KIND_STREAM, route.kind)
        self.assertEqual((14000, 900, 2), _times_of(route))
        # The patience is the longest of three times, here 4 latency targets.
        self.assertEqual(3600, route.patience_ms)
        self.assertEqual(
            routing.EngineTraits(
                slot_count=48, memory_tokens=35962, kv_cache_hold_ms=500
            ),
            table.services['s'].engine,
        )
        self.assertIsNone(table.services['p'].engine)

    def test_traffic_split_is_decoded_into_shares(self):
        split = [
            {'service': 's', 'weight': 90},
            {'service': 'p', 'weight': 10},
        ]
        fields = {key: ROUTE[key] for key in ROUTE if key != 'service'}
        table = _decoding.decode_table(
            {
                **CONFIGURATION,
                'routes': [{**fields, 'trafficSplit': split}],
            }
        )
        self.assertEqual(2, len(table.routes[0].shares))

    def test_customers_are_decoded(self):
        table = _decoding.decode_table({**CONFIGURATION, 'tenants': TENANTS})
        ash, elm = map(table.customers.find, ('k-ash', 'k-elm'))
        self.assertEqual(
            routing.Customer(
                name='ash',
                priority=0,
                limit=routing.CustomerLimit(
                    rate_per_s=2.5, burst=4, counts_tokens=True, plain_cost=200
                ),
            ),
            ash,
        )
        self.assertEqual(routing.Customer(name='elm'), elm)
        self.assertIs(ash, table.customers.find('k-ash-2'))
        self.assertTrue(table.routes[0].needs_key)
        exempt = _decoding.decode_table(
            {**CONFIGURATION, 'routes': [{**ROUTE, 'authExempt': True}]}
        )
        self.assertFalse(exempt.routes[0].needs_key)

    # Without the list no request needs a key; with an empty one all do.
    def test_no_list_of_customers_differs_from_an_empty_one(self):
        table = _decoding.decode_table(CONFIGURATION)
        self.assertIsNone(table.customers)
        table = _decoding.decode_table({**CONFIGURATION, 'tenants': []})
        self.assertIsNone(table.customers.find('k-ash'))

    # Guards against errors that leave the operator to search the entry, and
    # against keys in errors, which are logged.
    def test_error_names_the_bad_customer_and_no_key(self):
        for change in (
            'ash',
            None,
            {'name': 'oak'},
            {'name': '', 'apiKeys': ['k-oak']},
            {'name': 'o\nak', 'apiKeys': ['k-oak']},
            {'name': 'oak', 'apiKeys': 'k-oak'},
            {'name': 'oak', 'apiKeys': ['k-oak', 7]},
            {'name': 'oak', 'apiKeys': ['k-oak', '']},
            {'name': 'oak', 'apiKeys': ['k-oak', 'k-ash']},
            {'name': 'oak', 'apiKeys': ['k-oak'], 'priority': 'high'},
            {'name': 'oak', 'apiKeys': ['k-oak'], 'priority': 10**30},
            {'name': 'oak', 'apiKeys': ['k-oak'], 'ratePerS': -1},
            {'name': 'oak', 'apiKeys': ['k-oak'], 'ratePerS': 10**400},
            {'name': 'oak', 'apiKeys': ['k-oak'], 'ratePerS': [1]},
        ):
            with self.subTest(change=str(change)):
                with self.assertRaises(_decoding.EntryError) as raised:
                    _decoding.decode_table(
                        {**CONFIGURATION, 'tenants': [*TENANTS, change]}
                    )
                self.assertIn('tenants[2]', str(raised.exception))
                self.assertNotIn('k-', str(raised.exception))

    # The error of a text that is not UTF-8 holds the whole text.
    def test_keys_stay_out_of_errors_of_undecodable_values(self):
        raw = b'{"tenants": [{"apiKeys": ["k-ash"]}], "name": "\xff"}'
        change = _store_client._to_table_change({'value': _encode(raw)}, None)
        self.assertTrue(change.problem)
        self.assertNotIn('k-ash', change.problem)

    def test_invalid_configurations_are_rejected(self):
        for change in (
            {'version': None},
            {'routes': 'none'},
            {'routes': [{**ROUTE, 'kind': 'maybe'}]},
            {'services': [{}]},
            {'version': -1},
            {'version': 2**63},
            {'version': float('inf')},
            {'routes': {}},
            {'routes': ['r']},
            {'routes': [None]},
            {'routes': [{**ROUTE, 'host': 7}]},
            {'routes': [{**ROUTE, 'prefix': 7}]},
            {'routes': [{**ROUTE, 'service': ['s']}]},
            {'routes': [{**ROUTE, 'timeoutMs': 10**30}]},
            {'routes': [{**ROUTE, 'timeoutMs': -1}]},
            {'routes': [{**ROUTE, 'priority': -(10**30)}]},
            {'routes': [{**ROUTE, 'name': '\ud800'}]},
            {'services': [{'name': 7}]},
            {'services': [{'name': 's', 'healthPath': 7}]},
            {'services': [{'name': 's', 'engine': {'slots': 10**30}}]},
            {'services': [make_engine_service(kvHoldS='1e999')]},
            {'services': [make_engine_service(kvHoldS=10**400)]},
            {'services': [make_engine_service(kvTokens=10**30)]},
            {'limits': {'maxBodyBytes': float('inf')}},
            {'limits': {'idleTimeoutMs': 10**400}},
            {'limits': {'headerTimeoutMs': -1}},
            {'note': float('nan')},
            {'note': [{'a': float('-inf')}]},
            {'note': json.loads(nest(40))},
            {'note': '\ud800'},
            {'\ud800': 1},
        ):
            with self.subTest(change=str(change)[:80]):
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_table({**CONFIGURATION, **change})

    def test_largest_version_can_be_sent_to_other_vms(self):
        fields = {**CONFIGURATION, 'version': 2**63 - 1}
        table = _decoding.decode_table(fields)
        value = _decoding.make_value(fields, table.version)
        manifest, _ = core.split_value(value)
        envelope = wire.Envelope(
            message=core.ManifestAnswer(
                revision=manifest.revision,
                digest=manifest.digest(),
                parts=manifest.parts,
            ),
            sender='front-1',
            sender_incarnation=1,
        )
        self.assertEqual(
            envelope, wire.decode(wire.encode(envelope, now_ms=0), now_ms=0)
        )

    # Guards against bytes in the store that end the process, at the latest
    # when the configuration is encoded for the other VMs.
    def test_accepted_values_can_be_split_and_refused_ones_have_a_problem(
        self,
    ):
        text = json.dumps(CONFIGURATION)[:-1]
        for note, is_valid in (
            (b'1', True),
            (b'1e308', True),
            (nest(20), True),
            (b'NaN', False),
            (b'1e999', False),
            (nest(100), False),
            (nest(100_000), False),
            (b'"\\ud800"', False),
            (5000 * b'1', False),
        ):
            with self.subTest(note=note[:10], length=len(note)):
                raw = text.encode() + b', "note": ' + note + b'}'
                change = _store_client._to_table_change(
                    {'key': 'op/config', 'value': _encode(raw)}, None
                )
                self.assertEqual(is_valid, not change.problem)
                if is_valid:
                    core.split_value(change.value)

    # Guards against a line of the log that is longer than what its reader
    # takes at once, of which only the beginning would be written.
    def test_problem_of_a_long_value_is_short(self):
        for fields in (
            {'value': _encode(100_000 * b'\xff')},
            {'value': _encode(b'{"version": "' + 100_000 * b'x' + b'"}')},
        ):
            change = _store_client._to_table_change(fields, None)
            self.assertTrue(change.problem)
            self.assertLess(len(change.problem), 1000)
        for change in (
            {'state': 100_000 * 'x'},
            {'stage': 100_000 * 'x'},
        ):
            with self.assertRaises(_decoding.EntryError) as raised:
                _decoding.decode_server('servers/a', {**SERVER, **change})
            self.assertLess(len(str(raised.exception)), 1000)


class TestPeerValue(unittest.TestCase):
    """A value that another VM has sent, which may be of another build."""

    def test_nested_section_is_a_section_error(self):
        section = nest(100_000)
        manifest = core.Manifest(
            revision=2,
            parts=(core.ManifestPart(key='a', is_list=True, digests=(5,)),),
        )
        with self.assertRaises(_sections.SectionError):
            core.join_value(manifest, {5: section})

    def test_values_that_cannot_be_used_are_table_errors(self):
        client = _store_client.StoreClient(host='store', port=1)
        value = _decoding.make_value(CONFIGURATION, 7)
        self.assertEqual(7, client.build_table(value).version)
        for change in (
            {'revision': 2**63},
            {'note': float('nan')},
            {'limits': {'maxBodyBytes': float('inf')}},
            {'note': json.loads(nest(900))},
            {'routes': [[]]},
            {'limits': 7},
            # The wire passes a text on as bytes if it is not valid UTF-8.
            {b'\xff': 1},
        ):
            with self.subTest(change=str(change)[:40]):
                with self.assertRaises(TableError):
                    client.build_table({**value, **change})


class TestSettings(unittest.TestCase):
    def test_settings_fields_are_decoded(self):
        settings = _settings.decode_settings(SETTINGS)
        self.assertEqual('front-1', settings.vm)
        self.assertEqual(7380, settings.peer_port)
        self.assertEqual(('10.1.0.38',), settings.seed_hosts)
        self.assertEqual(8000, settings.stop_grace_ms)
        self.assertEqual(4100, settings.fd_limit)

    # Guards against a process that does not start, or refuses all long bodies.
    def test_settings_may_name_no_memory(self):
        named = {**SETTINGS, 'limits': {'memoryMb': 300}}
        self.assertEqual(300, _settings.decode_settings(named).memory_max_mb)
        for limits in ({}, {'memoryMb': 0}, {'memoryMb': None}, None):
            with self.subTest(limits=limits):
                settings = _settings.decode_settings(
                    {**SETTINGS, 'limits': limits}
                )
                self.assertEqual(150, settings.memory_max_mb)
                self.assertEqual(4096, settings.fd_limit)

    def test_error_names_the_missing_field(self):
        fields = {key: SETTINGS[key] for key in SETTINGS if key != 'zone'}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'local.json'
            path.write_text(json.dumps(fields), encoding='utf-8')
            with self.assertRaisesRegex(platform.SettingsError, "'zone'"):
                platform.load_settings(str(path))

    def test_missing_file_raises_a_settings_error(self):
        with self.assertRaises(platform.SettingsError):
            platform.load_settings('/nonexistent/local.json')


def nest(depth):
    """Return JSON of lists inside each other."""
    return depth * b'[' + depth * b']'


def make_engine_service(**change):
    """Return a service of the configuration with a changed engine."""
    service = CONFIGURATION['services'][0]
    return {**service, 'engine': {**service['engine'], **change}}


def _encode(raw):
    return base64.b64encode(raw).decode()


def _times_of(route):
    return route.timeout_ms, route.target_ms, route.run_max
