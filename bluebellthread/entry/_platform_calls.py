"""Makes the calls of one VM to the platform, and renews lost ones.

A call that the platform loses in silence would be waited for until its
timeout. Once any call of this VM, or the word of another VM, shows that the
platform is back, all calls that were sent before are made again.
"""

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.entry import _news_task
from bluebellthread.entry import _platform_changes as changes_module
from bluebellthread.observe import emit
from bluebellthread.observe import events

RENEWAL_SPREAD_S = 0.4
"""Time over which the VMs spread their calls after the platform's return. 390
VMs with two calls each then make 1,950 a second."""

TOLD_MS = 20_000
"""How long new partners are told of an outage that has ended. No call is
waited for that long."""

SEEN_MAX = 256
"""Most outages by the word of others that are remembered, so that each is
passed on once however late it comes back."""


class PlatformCalls:
    """Makes calls to the platform, and knows whether it answers.

    Parameters
    ----------
    vm : str
        Name of this VM.
    news : NewsTask
        Tells other VMs of outages, and what they tell.
    rng : random.Random
        Spreads the calls of the VMs after an outage.

    Attributes
    ----------
    health : PlatformHealth
        When the platform was last heard, and when it was away.
    """

    def __init__(self, *, vm, news, rng):
        self.health = core.PlatformHealth()
        self._vm = vm
        self._news = news
        self._rng = rng
        self._open = set()
        self._seen = {}
        self._returned = trio.Event()
        news.add_topic(
            _news_task.Topic(
                field='outages',
                key_of=lambda outage: 'platform',
                list_known=self._list_recent,
                learn=self._learn,
            )
        )

    async def call(self, function, *arguments, **options):
        """Make a call; make it again if it may have been lost.

        Raises
        ------
        PlatformUnavailableError
            If there is no usable answer.
        HistoryLostError
            If the platform lacks what is asked for.
        """
        while True:
            start_ms = _clock.read_clock_ms()
            with trio.CancelScope() as scope:
                self._open.add(scope)
                try:
                    return await self._call(
                        start_ms, function, arguments, options
                    )
                finally:
                    self._open.discard(scope)
            await self._spread()

    async def _call(self, start_ms, function, arguments, options):
        try:
            result = await function(*arguments, **options)
        except changes_module.PlatformUnavailableError as error:
            now_ms = _clock.read_clock_ms()
            self.health.note_failed(
                start_ms if error.is_silent else now_ms, now_ms
            )
            raise
        except changes_module.HistoryLostError:
            self._note_answer()
            raise
        self._note_answer()
        return result

    async def pause(self, pause_s):
        """Pause before a retry, until the platform is back at the longest."""
        with trio.move_on_after(pause_s):
            await self._returned.wait()
            await self._spread()

    async def _spread(self):
        await trio.sleep(self._rng.uniform(0, RENEWAL_SPREAD_S))

    def note_heard(self, age_ms):
        """Note how long ago another VM was answered, by its own word."""
        now_ms = _clock.read_clock_ms()
        if self.health.note_heard(now_ms - age_ms):
            self._renew(source='peers')

    def _note_answer(self):
        now_ms = _clock.read_clock_ms()
        if self.health.note_answer(now_ms):
            self._renew(source='this VM')
            self._news.tell('outages', self._list_recent(now_ms))

    def _renew(self, *, source):
        outage = self.health.outage
        if not outage.vm:
            outage = attrs.evolve(
                outage, vm=self._vm, number=outage.end_clock_ms
            )
            self.health.outage = outage
            self._remember(outage)
        emit(
            events.PLATFORM_BACK,
            source=source,
            away_ms=outage.length_ms,
            count=len(self._open),
        )
        for scope in self._open:
            scope.cancel()
        self._returned.set()
        self._returned = trio.Event()

    def _list_recent(self, now_ms):
        outage = self.health.outage
        if outage is None or outage.end_clock_ms + TOLD_MS < now_ms:
            return ()
        return (outage,)

    def _remember(self, outage):
        self._seen[outage.vm, outage.number] = None
        while len(self._seen) > SEEN_MAX:
            del self._seen[next(iter(self._seen))]

    def _learn(self, outage, vm, now_ms):
        del now_ms
        if (outage.vm, outage.number) in self._seen:
            return False
        self._remember(outage)
        if not self.health.note_outage(outage):
            return False
        self._renew(source=vm)
        return True
