import types
import unittest

import trio
import trio.testing

from bluebellthread.core import routing
from bluebellthread.entry import _role_task
from bluebellthread import platform
from tests.unit import _allocation

HOST = '10.1.0.1'
PREFILL_COUNT = 4
DECODE_COUNT = 5


class _State:
    """Stand-in for `EntryState` whose engines are listed by the test."""

    def __init__(self):
        self.is_ready = True
        self.settings = types.SimpleNamespace(
            vm='vm1', host=HOST, seed_hosts=(HOST,), is_first_start=True
        )
        self.directory = types.SimpleNamespace(
            version=0,
            find=lambda name: name,
            find_departure=lambda name, now_ms: name in self.left or None,
        )
        traits = types.SimpleNamespace(name='m')
        self.table = types.SimpleNamespace(engine_services=lambda: (traits,))
        self.engines = ()
        self.left = ()

    def engines_of(self, service):
        del service
        return self.engines

    def list_engines(self, prefill_count, decode_count):
        roles = ['prefill'] * prefill_count + ['decode'] * decode_count
        self.engines = tuple(
            _allocation.make_engine(f'e{number}', role, memory_tokens=35962)
            for number, role in enumerate(roles)
        )
        self.directory.version += 1


class _Caller:
    def __init__(self):
        self.ordered = []

    async def call_control(self, server, call, *, timeout_s):
        del call, timeout_s
        await trio.lowlevel.checkpoint()
        self.ordered.append(server)
        return 202


def run_role_task(*listings, left=()):
    """Run a `RoleTask`; return the names of the engines that get orders.

    Parameters
    ----------
    listings : tuple of (float, int, int)
        Seconds since the previous listing, and the numbers of prefill and
        decode servers that are listed then.
    left : tuple of str
        Engines that have left by the word of other VMs.
    """
    state, caller = _State(), _Caller()
    state.left = left
    task = _role_task.RoleTask(
        state=state, caller=caller, dialect=platform.make_dialect()
    )

    async def list_all():
        for at_s, *counts in listings:
            await trio.sleep_until(trio.current_time() + at_s)
            state.list_engines(*counts)

    async def scenario():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(list_all)
            nursery.start_soon(task.run)

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    return caller.ordered


class TestRoleTask(unittest.TestCase):
    def test_no_order_before_engines_are_listed(self):
        planned = routing.plan_decode_switches(
            _make_engines(PREFILL_COUNT, DECODE_COUNT)
        )
        self.assertEqual(1, len(planned))
        # The server list is read seconds before the first engine registers.
        self.assertEqual(
            planned, run_role_task((4.0, PREFILL_COUNT, DECODE_COUNT))
        )

    def test_no_order_before_the_server_list_is_stable(self):
        # If only the first four were counted, three of them would be switched.
        listings = ((1.0, 4, 0), (1.0, PREFILL_COUNT, DECODE_COUNT))
        self.assertEqual(1, len(run_role_task(*listings)))

    def test_engine_that_is_leaving_gets_no_order(self):
        counts = (PREFILL_COUNT, DECODE_COUNT)
        planned = routing.plan_decode_switches(_make_engines(*counts))
        self.assertEqual([], run_role_task((4.0, *counts), left=planned))

    def test_late_engines_keep_their_roles(self):
        self.assertEqual([], run_role_task((9.0, PREFILL_COUNT, DECODE_COUNT)))


def _make_engines(*counts):
    state = _State()
    state.list_engines(*counts)
    return state.engines
