import base64
import json
import pathlib
import tempfile
import unittest

from bluebellthread.core import routing
from bluebellthread import platform
from bluebellthread.platform import _decoding
from bluebellthread.platform import _settings

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
        ):
            with self.subTest(change=change):
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_server(
                        'servers/i-1', {**SERVER, **change}
                    )

    def test_values_that_are_not_json_objects_are_rejected(self):
        for value in ('', '%%%', _encode(b'[1]'), _encode(b'\xff'), None):
            with self.subTest(value=value):
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

    def test_invalid_configurations_are_rejected(self):
        for change in (
            {'version': None},
            {'routes': 'none'},
            {'routes': [{**ROUTE, 'kind': 'maybe'}]},
            {'services': [{}]},
        ):
            with self.subTest(change=change):
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_table({**CONFIGURATION, **change})


class TestSettings(unittest.TestCase):
    def test_settings_fields_are_decoded(self):
        settings = _settings.decode_settings(SETTINGS)
        self.assertEqual('front-1', settings.vm)
        self.assertEqual(7380, settings.peer_port)
        self.assertEqual(('10.1.0.38',), settings.seed_hosts)
        self.assertEqual(8000, settings.stop_grace_ms)

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


def _encode(raw):
    return base64.b64encode(raw).decode()


def _times_of(route):
    return route.timeout_ms, route.target_ms, route.run_max
