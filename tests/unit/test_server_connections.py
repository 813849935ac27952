"""The pool of connections to backend servers."""

import contextlib
import tracemalloc
import unittest

import trio

from bluebellthread.daemon import _clock
from bluebellthread.entry import _server_connection

TIMEOUT_S = 5.0
LONG_MS = 60_000


async def _keep_open(stream):
    del stream
    await trio.sleep_forever()


@contextlib.asynccontextmanager
async def running_pool():
    """Yield a pool, and the address of a server that accepts connections."""
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(trio.serve_listeners, _keep_open, [listener])
            address = listener.socket.getsockname()
            yield _server_connection.ServerConnections(), address
            nursery.cancel_scope.cancel()


async def fill(pool, address, *idle_times_ms):
    """Open connections, and pool each for some time; return them."""
    opened = [await pool.open(address, 1) for _ in idle_times_ms]
    for connection, idle_ms in zip(opened, idle_times_ms, strict=True):
        await pool.release(connection, idle_ms)
    return opened


async def wait_expired(connection):
    while _clock.read_clock_ms() < connection.idle_deadline_ms:
        await trio.sleep(0.001)


class TestPruning(unittest.TestCase):
    # Guards against two requests that share a connection: the second one
    # fails, or would get the answer to the first.
    def test_connection_acquired_during_a_prune_is_not_pooled_again(self):
        async def check():
            async with running_pool() as (pool, address):
                good, expired = await fill(pool, address, LONG_MS, 1)
                await wait_expired(expired)
                acquired = []

                async def acquire():
                    acquired.append(
                        await pool.acquire(
                            address, idle_max_ms=LONG_MS, connect_timeout_s=1
                        )
                    )

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(pool.prune)
                    nursery.start_soon(acquire)
                await acquire()
                self.assertIsNot(acquired[0], acquired[1])
                self.assertIn(good, acquired)
                self.assertNotIn(expired, acquired)

        # The order in which trio begins the tasks is random.
        for _ in range(8):
            trio.run(check)

    def test_expired_connections_are_closed_and_others_kept(self):
        async def check():
            async with running_pool() as (pool, address):
                good, expired = await fill(pool, address, LONG_MS, 1)
                await wait_expired(expired)
                await pool.prune()
                self.assertEqual(-1, expired.stream.socket.fileno())
                self.assertIs(
                    good,
                    await pool.acquire(
                        address, idle_max_ms=LONG_MS, connect_timeout_s=1
                    ),
                )

        trio.run(check)

    def test_pool_may_be_used_while_it_is_closed(self):
        async def check():
            async with running_pool() as (pool, address):
                await fill(pool, address, LONG_MS, LONG_MS)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(pool.close)
                    for port in range(1, 4):
                        with contextlib.suppress(
                            _server_connection.ServerUnreachableError
                        ):
                            await pool.acquire(
                                ('127.0.0.1', port),
                                idle_max_ms=1,
                                connect_timeout_s=1,
                            )

        trio.run(check)


if __name__ == '__main__':
    unittest.main()


class TestCarriedRequests(unittest.TestCase):
    # Guards against answers to two sendings of one request that can't be told
    # apart.
    def test_connection_carries_a_request_once_only(self):
        async def check():
            async with running_pool() as (pool, address):

                async def acquire(request_id):
                    return await pool.acquire(
                        address,
                        idle_max_ms=LONG_MS,
                        connect_timeout_s=1,
                        request_id=request_id,
                    )

                first = await acquire('a')
                first.note_carried('a')
                await pool.release(first, LONG_MS)
                second = await acquire('a')
                self.assertIsNot(first, second)
                self.assertIs(first, await acquire('b'))

        trio.run(check)

    # Guards against ids that a connection forgets, or remembers without end.
    def test_connection_that_carried_many_requests_is_not_pooled(self):
        async def check():
            async with running_pool() as (pool, address):
                connection = await pool.open(address, 1)
                for number in range(_server_connection.CARRIED_REQUESTS_MAX):
                    self.assertTrue(connection.may_carry(f'next-{number}'))
                    connection.note_carried(f'{number}')
                await pool.release(connection, LONG_MS)
                self.assertEqual(-1, connection.stream.socket.fileno())

        trio.run(check)

    # Guards against memory that grows by ids as long as callers choose.
    def test_connection_remembers_long_ids_in_little_memory(self):
        connection = _server_connection.ServerConnection(
            stream=None, address=('127.0.0.1', 1)
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(_server_connection.CARRIED_REQUESTS_MAX):
            connection.note_carried(f'{number}'.ljust(15_000, 'i'))
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 64 * 1024)
        self.assertFalse(connection.may_carry('1'.ljust(15_000, 'i')))
