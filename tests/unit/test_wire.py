import unittest

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from bluebellthread import core
from bluebellthread import wire

POOL = core.PoolKey(serves='atelier-llm', data_centre='cluj-a')


def make_envelope():
    message = core.PermitRequest(
        request_id='r1',
        gateway='vm1',
        gateway_incarnation=2**62,
        caller='workshop-12',
        pool=POOL,
        prompt_tokens=1200,
        output_tokens=100,
        deadline_ms=9000,
        first_output_deadline_ms=780,
        prefix_hashes=(3, 4),
    )
    return wire.Envelope(
        message=message, sender='vm1', sender_incarnation=5, correlation=3
    )


class TestCodec(unittest.TestCase):
    def test_round_trip_keeps_every_field(self):
        envelope = make_envelope()
        data = wire.encode(envelope, now_ms=100)
        self.assertEqual(envelope, wire.decode(data, now_ms=100))

    def test_deadline_is_converted_to_the_receivers_clock(self):
        data = wire.encode(make_envelope(), now_ms=100)
        message = wire.decode(data, now_ms=50100).message
        self.assertEqual(59000, message.deadline_ms)
        self.assertEqual(50780, message.first_output_deadline_ms)

    def test_undecodable_bytes_raise_an_error_with_a_remedy(self):
        with self.assertRaisesRegex(wire.WireError, 'check that both'):
            wire.decode(b'\x80abc' * 9, now_ms=0)

    # Guards against a process that skips two thousand million elements of a
    # damaged list, or tells a name that is no text from one that is.
    def test_sizes_that_do_not_fit_the_bytes_are_refused(self):
        data = wire.encode(make_envelope(), now_ms=0)
        whole = data[:-1]
        count = (10**6).to_bytes(4, 'big')
        for name, field in {
            'unknown element type': b'\x0f\x00\x63\x05' + count,
            'unknown type': b'\x05\x00\x63',
            'long list': b'\x0f\x00\x63\x03' + count,
            'long text': b'\x0b\x00\x63' + count,
            'negative length': b'\x0b\x00\x63' + b'\xff' * 4,
            'long map': b'\x0d\x00\x63\x03\x03' + count,
            'deep nesting': b'\x0c\x00\x63' * 100,
        }.items():
            with self.subTest(name):
                with self.assertRaises(wire.WireError):
                    wire.decode(whole + field + b'\x00', now_ms=0)

    def test_unknown_fields_are_skipped(self):
        envelope = make_envelope()
        whole = wire.encode(envelope, now_ms=0)[:-1]
        for field in (
            b'\x0f\x00\x63\x0b\x00\x00\x00\x01\x00\x00\x00\x02ab',
            b'\x0d\x00\x63\x03\x0b\x00\x00\x00\x01\x07\x00\x00\x00\x01a',
            b'\x0c\x00\x63\x02\x00\x01\x01\x00',
            b'\x04\x00\x63' + 8 * b'\x00',
        ):
            with self.subTest(field):
                found = wire.decode(whole + field + b'\x00', now_ms=0)
                self.assertEqual(envelope, found)

    def test_name_that_is_no_text_is_refused(self):
        data = wire.encode(make_envelope(), now_ms=0)
        damaged = data.replace(b'workshop-12', b'\xff\xfeorkshop-1')
        self.assertNotEqual(data, damaged)
        with self.assertRaises(wire.WireError):
            wire.decode(damaged, now_ms=0)

    # Guards against a message that is taken from a connection cut within it.
    def test_frame_that_is_cut_off_is_no_message(self):
        frame = wire.encode_frame(make_envelope(), now_ms=0)

        async def read(data):
            send, receive = trio.testing.memory_stream_pair()
            await send.send_all(data)
            await send.aclose()
            return await wire.FrameReader(receive).read()

        for count in range(len(frame)):
            self.assertIsNone(trio.run(read, frame[:count]))
        self.assertIsNotNone(trio.run(read, frame))

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, print_blob=True)
    def test_damaged_bytes_decode_to_a_message_or_raise_wire_error(self, data):
        whole = wire.encode(make_envelope(), now_ms=0)
        position = data.draw(strategies.integers(0, len(whole) - 1))
        byte = data.draw(strategies.integers(0, 255))
        cut = data.draw(strategies.integers(0, len(whole)))
        damaged = bytearray(whole)
        damaged[position] = byte
        try:
            envelope = wire.decode(bytes(damaged[:cut]), now_ms=0)
        except wire.WireError:
            return
        self.assertIsInstance(envelope.message, core.PermitRequest)
