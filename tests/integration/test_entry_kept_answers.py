"""What a process keeps of a client that was cut off."""

import gc
import socket
import unittest

import trio

from bluebellthread.entry import _http_messages
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ANSWER_BYTES = 3_000_000


def count_answers():
    return sum(
        type(item) is _http_messages.Answer for item in gc.get_objects()
    )


class TestCutClient(unittest.TestCase):
    # Guards against answers that a failed request keeps, in the frames of its
    # error, until the garbage is collected: several times what is counted.
    @run
    async def test_answer_is_freed_at_once(self):
        async with sites.running_site(plain=('s1',)) as site:
            site.servers['s1'].body = ANSWER_BYTES * b'a'
            gc.collect()
            kept_before = count_answers()
            gc.disable()
            self.addCleanup(gc.enable)
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await sock.connect(('127.0.0.1', site.entry.ports['caller_port']))
            async with trio.SocketStream(sock) as stream:
                await stream.send_all(
                    sites.make_request(
                        'GET', '/read/x', request_id='cut', deadline_ms=9000
                    )
                )
                memory = site.entry._control.memory
                await sites.wait_until(
                    lambda: any(item.holds_answer for item in memory._shares)
                )
                await sites.wait_until(lambda: count_answers() > kept_before)
                for share in list(memory._shares):
                    share.cut()
                await sites.wait_until(
                    lambda: not site.entry._control.open_count
                )
                self.assertEqual(kept_before, count_answers())
