"""Customers' rate limits on one VM, whose owner is another one."""

import types
import unittest

import trio
import trio.testing

from bluebellthread.core import routing
from bluebellthread.entry import _customer_limits
from bluebellthread.entry import _http_messages
from bluebellthread import platform

OWNER = types.SimpleNamespace(name='vm2', incarnation=1)


class _State:
    """Stand-in for `EntryState` with one customer."""

    def __init__(self, limit):
        self.settings = types.SimpleNamespace(
            vm='vm1', host='h', seed_hosts=()
        )
        self.view = types.SimpleNamespace(confirmed=True)
        self.vm_count = 2
        self.table = types.SimpleNamespace(customers=None)
        self.bring_into_force(limit)

    def bring_into_force(self, limit):
        self.customer = routing.Customer(name='a', limit=limit)
        self.table.customers = routing.Customers([('k', self.customer)])

    def rank_owners(self, key):
        del key
        return (OWNER,)


class _Owner:
    """Stand-in for the connections to the owner, which grants nothing."""

    def __init__(self):
        self.call_count = 0

    async def call(self, member, message, *, deadline_ms):
        del member, deadline_ms
        self.call_count += 1
        await trio.sleep(0.02)
        return routing.CustomerUsageNoted(
            grants=tuple(
                routing.CustomerGrant(
                    customer=use.customer,
                    used=use.used,
                    credit=0,
                    is_near=True,
                    ask_ms=1000,
                    report_ms=1000,
                )
                for use in message.uses
            )
        )


def make_limits(limit):
    state, owner = _State(limit), _Owner()
    task = _customer_limits.CustomerLimits(
        state=state,
        links=owner,
        dialect=platform.make_dialect(),
        stats=types.SimpleNamespace(count_customer_units=lambda *a, **k: 0),
    )
    return task, state, owner


def make_work(state, *token_counts):
    headers = tuple((b'x-token-count', text.encode()) for text in token_counts)
    request = _http_messages.Request(
        method=b'POST', target=b'/', headers=headers, body=b'', received_ms=0
    )
    return types.SimpleNamespace(customer=state.customer, request=request)


def make_limit(rate_per_s):
    return routing.CustomerLimit(
        rate_per_s=rate_per_s, burst=1, counts_tokens=True, plain_cost=200
    )


class TestAdmit(unittest.TestCase):
    # Guards against requests that ask the owner without end: each dropped
    # what the other was granted, as they had arrived under different limits.
    def test_limit_that_changes_during_an_ask_ends_the_asks(self):
        task, state, owner = make_limits(make_limit(100))
        verdicts = []

        async def admit(work):
            verdicts.append(await task.admit(work))

        async def scenario():
            old_work = make_work(state, '4000,100')
            with trio.move_on_after(60):
                await admit_both(old_work)

        async def admit_both(old_work):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(admit, old_work)
                await trio.testing.wait_all_tasks_blocked()
                state.bring_into_force(make_limit(50))
                nursery.start_soon(admit, make_work(state, '4000,100'))

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(2, len(verdicts))
        self.assertNotIn(None, verdicts)
        self.assertTrue(all(wait_ms > 0 for wait_ms in verdicts))
        self.assertLessEqual(owner.call_count, 2 * 3)

    # Guards against requests that cost nothing or break the accounts by what
    # their headers state.
    def test_largest_of_several_token_counts_counts(self):
        task, state, _ = make_limits(make_limit(100))
        self.assertEqual(
            4100, task._find_cost(make_work(state, '0,0', '4000,100'))
        )
        self.assertEqual(200, task._find_cost(make_work(state)))
        huge = make_work(state, '999999999999999,1')
        self.assertEqual(2**31, task._find_cost(huge))
