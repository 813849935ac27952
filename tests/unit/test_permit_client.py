import unittest
from unittest import mock

import trio
import trio.testing

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _fleet
from bluebellthread.daemon import _pause_guard
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _permit_client
from tests.unit import _pool

START_MS = 1000


def make_view():
    member = core.Member(
        name='vm1',
        data_centre='cluj-a',
        region='t',
        host='127.0.0.1',
        peer_port=1,
        caller_port=2,
        incarnation=1,
    )
    return core.MembershipView(members=(member,), confirmed=True)


class Links:
    """Links to an owner that follows a script of (time taken, answer).

    The answer None stands for an owner that can't be reached.
    """

    def __init__(self, script):
        self.now_ms = START_MS
        self._script = list(script)

    async def call(self, member, message, *, deadline_ms, traceparent=''):
        await trio.lowlevel.checkpoint()
        taken_ms, answer = self._script.pop(0)
        self.now_ms += taken_ms
        if answer is None:
            raise _peers.PeerUnreachableError(member.name, 'no answer')
        return answer

    async def send(self, member, message):
        pass


class Share:
    """Cautious share without room, which counts the requests."""

    def __init__(self):
        self.asked_count = 0

    async def grant_permit(self, request, permit_id):
        self.asked_count += 1


def refuse(kind):
    return core.PermitRefused(
        request_id='r1', attempt_number=0, kind=kind, retry_after_ms=0
    )


class TestCautiousShare(unittest.TestCase):
    def ask(self, *script):
        """Return the outcome of a request and how often the share was asked.

        Parameters
        ----------
        script : tuple of (int, object)
            Milliseconds that each call takes, and the owner's answer.
        """
        return trio.run(self.ask_owner, script)

    async def ask_owner(self, script):
        links = Links(script)
        share = Share()
        fleet = _fleet.Fleet()
        fleet.publish_view(make_view())
        client = _permit_client.PermitClient(
            vm='vm2',
            incarnation=2,
            fleet=fleet,
            guard=_pause_guard.PauseGuard(
                lease_timeout_ms=10**6, read_clock_ms=lambda: links.now_ms
            ),
            links=links,
            share=share,
            cancels=None,
        )
        request = _pool.make_request('r1', deadline_ms=60000)
        with mock.patch.object(_clock, 'read_clock_ms', lambda: links.now_ms):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                await trio.testing.wait_all_tasks_blocked()
                answer = await client.request_permit(request)
                nursery.cancel_scope.cancel()
        return answer, share.asked_count

    def test_time_in_an_owners_queue_is_not_time_without_a_scheduler(self):
        refused = refuse('expired')
        # The owner queued the request for 4 s, then lost the pool.
        outcome = self.ask(
            (4000, refuse('not-owner')),
            (10, refuse('not-owner')),
            (10, refused),
        )
        self.assertEqual((refused, 0), outcome)

    def test_share_is_asked_after_the_timeout_without_a_scheduler(self):
        outcome = self.ask((1000, None), (1499, None), (1, None))
        self.assertEqual((None, 1), outcome)

    def test_owner_lost_after_queueing_leaves_the_whole_timeout(self):
        refused = refuse('expired')
        outcome = self.ask(
            (4000, refuse('not-owner')), (2499, None), (0, refused)
        )
        self.assertEqual((refused, 0), outcome)
        outcome = self.ask((4000, refuse('not-owner')), (2500, None))
        self.assertEqual((None, 1), outcome)
