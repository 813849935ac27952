"""Messages between this build and older ones, by their ``peer.thrift``."""

import pathlib
import unittest

import thriftpy2
from thriftpy2 import utils

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread import wire
from bluebellthread.wire import _codec

GOLDEN = pathlib.Path(__file__).parents[1] / 'golden'
NOW_MS = 5000


def load_old(build):
    return thriftpy2.load(
        str(GOLDEN / f'peer_{build}.thrift'), module_name=f'{build}_thrift'
    )


def list_structs(idl):
    return {
        name: {
            number: describe(spec)
            for number, spec in getattr(idl, name).thrift_spec.items()
        }
        for name in dir(idl)
        if hasattr(getattr(idl, name), 'thrift_spec')
    }


def describe(spec):
    """Return a field's type and name, with the names of structs in it."""
    return [
        describe(item)
        if isinstance(item, tuple)
        else getattr(item, '__name__', item)
        for item in spec
    ]


def read_as_old(old, message):
    """Return what a VM of an older build reads of a message."""
    data = wire.encode(make_envelope(message), now_ms=NOW_MS)
    envelope = utils.deserialize(old.Envelope(), data)
    struct = getattr(old, envelope.kind)()
    return utils.deserialize(struct, envelope.body)


def read_from_old(old, message):
    """Return what this build reads of a message of an older one."""
    struct = read_as_old(old, message)
    envelope = old.Envelope(
        kind=type(message).__name__,
        sender='vm1',
        sender_incarnation=5,
        body=utils.serialize(struct),
    )
    return wire.decode(utils.serialize(envelope), now_ms=NOW_MS).message


def make_envelope(message):
    return wire.Envelope(message=message, sender='vm1', sender_incarnation=5)


class TestOlderBuilds(unittest.TestCase):
    def test_no_field_of_an_older_build_has_changed(self):
        current = list_structs(_codec._idl)
        for path in sorted(GOLDEN.glob('peer_*.thrift')):
            old = list_structs(load_old(path.stem.removeprefix('peer_')))
            self.assertIn('Envelope', old)
            for name, fields in old.items():
                with self.subTest(build=path.stem, struct=name):
                    kept = {
                        number: spec
                        for number, spec in current[name].items()
                        if number in fields
                    }
                    self.assertEqual(fields, kept)

    def test_older_build_reads_news_but_for_what_it_does_not_know(self):
        departure = routing.Departure(
            name='s1',
            incarnation=1,
            has_drained=True,
            era=0,
            revision=7,
            keep_deadline_ms=NOW_MS + 100,
        )
        outage = core.Outage(start_clock_ms=NOW_MS - 9, end_clock_ms=NOW_MS)
        news = routing.News(departures=(departure,), outages=(outage,))
        old = load_old('6e3bd1a')
        found = read_as_old(old, news)
        self.assertEqual(
            [('s1', 100)],
            [(item.name, item.keep_deadline_ms) for item in found.departures],
        )
        self.assertEqual(
            routing.News(departures=(departure,)), read_from_old(old, news)
        )

    def test_fields_that_an_older_build_lacks_have_their_defaults(self):
        old = load_old('6e3bd1a')
        request = core.ManifestRequest(
            vm='vm1', revision=3, digest=4, asks_to_watch=True
        )
        found = read_from_old(old, request)
        self.assertEqual((3, False), (found.revision, found.asks_to_watch))
