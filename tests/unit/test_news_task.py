import types
import unittest
from unittest import mock

import attrs
import trio
import trio.testing

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _peers
from bluebellthread.entry import _news_task
from bluebellthread.entry import _platform_calls
from bluebellthread.entry import _server_limits
from bluebellthread.entry import _shut_outs
from bluebellthread import wire
from bluebellthread.wire import _framing


def make_member(name, incarnation=1):
    return core.Member(
        name=name,
        data_centre='a',
        region='r',
        host='127.0.0.1',
        peer_port=1,
        caller_port=2,
        incarnation=incarnation,
        state='alive',
    )


def make_end(number, part_count=3):
    run = routing.EndedRun(
        attempt_id='a' * 32, parts=('p' * 64,) * part_count, age_ms=1
    )
    return routing.EngineEnded(
        vm='vm1',
        number=number,
        server='d',
        incarnation=1,
        serves='s',
        software_version='v1',
        runs=(run,) * 64,
        keep_deadline_ms=10**12,
    )


class _Links:
    """Stand-in for `PeerLinks` that keeps the messages."""

    def __init__(self, answer):
        self.answer = answer
        self.messages = []

    async def call(self, member, message, *, deadline_ms):
        await trio.lowlevel.checkpoint()
        self.messages.append(message)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


HOP_MS = 40
"""How much later a deadline becomes on its way to another VM."""


def delay(item, delay_ms):
    """Return news as a VM decodes it that hears it later."""
    deadlines_ms = {
        field.name: getattr(item, field.name) + delay_ms
        for field in attrs.fields(type(item))
        if field.name.endswith(('_deadline_ms', '_clock_ms'))
    }
    return attrs.evolve(item, **deadlines_ms)


def make_limit(**fields):
    values = {
        'server': 'd',
        'incarnation': 1,
        'serves': 's',
        'rate_per_s': 2.0,
        'first_keep_deadline_ms': routing.LIMIT_KEEP_MS,
        'keep_deadline_ms': routing.LIMIT_KEEP_MS,
    }
    return routing.ServerLimit(**values | fields)


ITEMS = {
    'departures': routing.Departure(
        name='d',
        incarnation=1,
        has_drained=True,
        era=1,
        revision=1,
        keep_deadline_ms=10**12,
    ),
    'ends': make_end(1),
    'survivals': routing.PartSurvived(
        serves='s', part='p', software_version='v1', keep_deadline_ms=10**12
    ),
    'shut_outs': routing.ShutOut(
        serves='s',
        parts=('p',),
        software_versions=('v1',),
        engines=('d',),
        attempt_count=4,
        number=1,
        keep_deadline_ms=10**12,
    ),
    'limits': make_limit(keep_deadline_ms=10**12),
    'outages': core.Outage(
        start_clock_ms=1, end_clock_ms=2, vm='vm3', number=2
    ),
}


class TestNewsThatComesBack(unittest.TestCase):
    """Deadlines become later on each way, and VMs are told in circles."""

    def make_topics(self):
        state = types.SimpleNamespace(
            settings=types.SimpleNamespace(vm='vm1'),
            directory=routing.ServerDirectory(),
        )
        news = _news_task.NewsTask(state=state, links=None)
        _shut_outs.ShutOuts(state=state, news=news)
        _server_limits.ServerLimits(
            state=state,
            news=news,
            tokens=None,
            stats=None,
            limit_header=b'',
            pause_header=b'',
        )
        _platform_calls.PlatformCalls(vm='vm1', news=news, rng=None)
        return news._topics

    def test_news_of_each_kind_is_passed_on_once(self):
        topics = self.make_topics()
        self.assertEqual(
            {field.name for field in attrs.fields(routing.News)},
            topics.keys(),
        )
        for field, topic in topics.items():
            item = ITEMS[field]
            with self.subTest(field=field):
                learnt = [
                    topic.learn(delay(item, hops * HOP_MS), 'vm2', hops)
                    for hops in range(10)
                ]
                self.assertEqual([True] + [False] * 9, learnt)


class TestTelling(unittest.TestCase):
    def tell(self, ends, answer, seconds=5.0):
        """Tell a partner some reports; return the messages to it."""
        links = _Links(answer)
        state = types.SimpleNamespace(
            settings=types.SimpleNamespace(vm='vm1'),
            view=core.MembershipView(
                members=(make_member('vm1'), make_member('vm2')),
                confirmed=True,
            ),
            view_changed=trio.Event(),
            directory=routing.ServerDirectory(),
        )
        news = _news_task.NewsTask(state=state, links=links)
        _shut_outs.ShutOuts(state=state, news=news)

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(news.run)
                await trio.sleep(0.1)
                news.tell('ends', ends)
                await trio.sleep(seconds)
                nursery.cancel_scope.cancel()

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
        return links.messages

    def test_long_reports_fit_into_frames(self):
        ends = [make_end(number, part_count=32) for number in range(100)]
        messages = self.tell(ends, routing.NewsNoted())
        told = [end.number for message in messages for end in message.ends]
        self.assertEqual(list(range(100)), told)
        for message in messages:
            envelope = wire.Envelope(
                message=message, sender='vm1', sender_incarnation=1
            )
            frame = wire.encode_frame(envelope, now_ms=0)
            self.assertLess(len(frame), _framing.MAX_FRAME_BYTES)

    def test_news_is_sent_again_until_it_is_noted(self):
        error = _peers.PeerUnreachableError('vm2', 'no answer')
        with mock.patch.object(_news_task, 'emit'):
            messages = self.tell([make_end(1)], error)
        self.assertGreater(len(messages), 2)
        self.assertEqual(1, len(self.tell([make_end(1)], routing.NewsNoted())))

    # Guards against an old build whose connection is closed all the time.
    def test_partner_that_never_answers_is_asked_less_and_less_often(self):
        answer = core.Rejected(kind='unexpected-message', remedy='')
        with mock.patch.object(_news_task, 'emit'):
            messages = self.tell([make_end(1)], answer, seconds=60.0)
        self.assertLess(len(messages), 12)
