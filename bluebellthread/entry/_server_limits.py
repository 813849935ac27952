"""Keeps the limits that backend servers name, over all VMs together."""

import math
import re

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _tasks
from bluebellthread.entry import _news_task
from bluebellthread.entry import _server_calls
from bluebellthread.observe import emit
from bluebellthread.observe import events

UNLIMITED_ADMISSION_MS = 600
"""How long a request may be sent to a server without a limit after it was
admitted: the time to open a connection."""

EXPIRE_PERIOD_S = 60.0
TEXT_MAX = 100
"""Most characters of a malformed limit that are logged."""

UNAVAILABLE_STATUS = 503
QUEUE_LENGTH = 64
LIMIT_PATTERN = re.compile(r'\d{1,15}(\.\d{0,15})?|\.\d{1,15}', re.ASCII)


@attrs.frozen(kw_only=True)
class Admission:
    """Permission to send one request to a server until a deadline."""

    deadline_ms: float

    def is_valid(self, now_ms):
        """Return whether the request may still be sent."""
        return now_ms < self.deadline_ms


@attrs.define
class _Usage:
    """Requests of this VM for a server with a limit."""

    passed_count: int = 0
    turned_away_count: int = 0
    closed_until_ms: int = 0


class ServerLimits:
    """Reads the limits that servers name, and admits requests to servers.

    Parameters
    ----------
    state : EntryState
        Supplies the list of servers.
    news : NewsTask
        Tells other VMs.
    tokens : TokenTask
        Takes tokens for requests to servers with limits.
    stats : EntryStats
        Counts the requests that are turned away.
    limit_header : bytes
        Header with which servers name their limits.
    pause_header : bytes
        Header with which a server that refuses names the seconds in which it
        wants no request of this VM.
    """

    def __init__(
        self, *, state, news, tokens, stats, limit_header, pause_header
    ):
        self._state = state
        self._news = news
        self._tokens = tokens
        self._stats = stats
        self._limit_header = limit_header
        self._pause_header = pause_header
        self._limits = routing.ServerLimits()
        self._pauses = routing.ServerPauses()
        self._usages = {}
        self._unreadable = {}
        self._inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)
        news.add_topic(
            _news_task.Topic(
                field='limits',
                key_of=lambda item: item.server,
                list_known=self._limits.list_words,
                learn=self._learn,
            )
        )

    def register(self, mailboxes):
        """Route operators' messages to this task."""
        mailboxes.register(routing.LimitsAsk, self._inbox)

    async def run(self):
        """Answer operators until cancelled."""
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(nursery, self._expire)
            await _mailboxes.handle_each(
                self._receive,
                lambda inbound: inbound.answer(
                    routing.LimitsAnswer(limits=self.list_all())
                ),
            )

    async def _expire(self):
        while True:
            await trio.sleep(EXPIRE_PERIOD_S)
            now_ms = _clock.read_clock_ms()
            self._pauses.expire(now_ms)
            self._limits.expire(now_ms, self._state.directory.names)
            known = {word.server for word in self._limits.list_words(now_ms)}
            for server in self._usages.keys() - known:
                del self._usages[server]
            # A malformed limit that goes on is logged again.
            self._unreadable.clear()

    def list_all(self):
        """Return a `LimitInForce` for each server, as a tuple."""
        now_ms = _clock.read_clock_ms()
        found = []
        for word in self._limits.list_words(now_ms):
            server = self._state.directory.find(word.server)
            incarnation = server.incarnation if server is not None else 0
            limit = self._limits.find(word.server, incarnation, now_ms)
            if limit is None:
                continue
            usage = self._usages.get(word.server, _Usage())
            found.append(
                routing.LimitInForce(
                    limit=limit,
                    passed_count=usage.passed_count,
                    turned_away_count=usage.turned_away_count,
                )
            )
        return tuple(found)

    # What servers say

    def observe(self, server, head, sent_ms, *, is_refusal):
        """Note what the head of a server's answer says about its limit.

        Parameters
        ----------
        server : ListedServer
            The server that answered.
        head : AnswerHead
            The head of its answer.
        sent_ms : int
            When the request was sent.
        is_refusal : bool
            Whether the server did not run the request. A full server may
            refuse before it knows more, so that such an answer ends no limit.
        """
        if head.status == UNAVAILABLE_STATUS:
            self._observe_pause(server, head)
        texts = [
            value.decode('latin-1')
            for name, value in head.headers
            if name == self._limit_header
        ]
        if not texts and is_refusal:
            return
        if not texts:
            news = self._limits.note_unnamed(
                server.name, server.incarnation, sent_ms=sent_ms
            )
        else:
            rate_per_s = read_limit(','.join(texts))
            if rate_per_s is None:
                self._log_unreadable(server, ','.join(texts)[:TEXT_MAX])
                return
            news = self._limits.note_named(
                server.name,
                server.incarnation,
                server.service,
                rate_per_s,
                now_ms=_clock.read_clock_ms(),
            )
        if news is not None:
            self._log(news, self._state.settings.vm)
            self._news.tell('limits', [news])

    def _observe_pause(self, server, head):
        pause_s = read_limit(head.header(self._pause_header))
        if pause_s:
            pause_ms = math.ceil(pause_s * _clock.MS_PER_S)
            emit(events.SERVER_PAUSED, server=server.name, pause_ms=pause_ms)
            self._pauses.note(
                server.name,
                server.incarnation,
                _clock.read_clock_ms() + pause_ms,
            )

    def _log_unreadable(self, server, text):
        if self._unreadable.get(server.name) != text:
            self._unreadable[server.name] = text
            emit(events.SERVER_LIMIT_UNREADABLE, server=server.name, text=text)

    def _learn(self, item, vm, now_ms):
        del now_ms
        if self._limits.hear(item):
            self._log(item, vm)
            return True
        contrary = self._limits.find_contrary(item)
        if contrary is not None:
            self._news.tell('limits', [contrary])
        return False

    def _log(self, item, vm):
        if item.is_ended:
            usage = self._usages.pop(item.server, _Usage())
            emit(
                events.SERVER_LIMIT_ENDED,
                server=item.server,
                service=item.serves,
                vm=vm,
                passed=usage.passed_count,
                turned_away=usage.turned_away_count,
            )
            return
        if item.server in self._usages:
            self._usages[item.server].closed_until_ms = 0
        emit(
            events.SERVER_LIMIT_NAMED,
            server=item.server,
            service=item.serves,
            rate_per_s=item.rate_per_s,
            vm=vm,
        )

    # Requests

    def find_wait_ms(self, server):
        """Return how long a server takes no request of this VM, 0 if none."""
        pause_ms = self.find_pause_ms(server)
        usage = self._usages.get(server.name)
        if usage is None or self._find(server) is None:
            return pause_ms
        return max(pause_ms, usage.closed_until_ms - _clock.read_clock_ms())

    def find_pause_ms(self, server):
        """Return how long a server wants no request, by its own refusal."""
        return self._pauses.find_wait_ms(
            server.name, server.incarnation, _clock.read_clock_ms()
        )

    def check_pause(self, server):
        """Raise if a server wants no request of this VM for some time.

        Raises
        ------
        ServerLimitedError
            If it has said so when it refused one.
        """
        pause_ms = self.find_pause_ms(server)
        if pause_ms:
            self.note_turned_away(server)
            raise _server_calls.ServerLimitedError(
                server.name, retry_after_ms=pause_ms
            )

    async def admit(self, server):
        """Return the `Admission` of one request to a server.

        Raises
        ------
        ServerLimitedError
            If the server takes no further request now.
        """
        self.check_pause(server)
        limit = self._find(server)
        if limit is None:
            return Admission(
                deadline_ms=_clock.read_clock_ms() + UNLIMITED_ADMISSION_MS
            )
        usage = self._usages.setdefault(server.name, _Usage())
        # A late answer of the owner must not prolong the admission.
        asked_ms = _clock.read_clock_ms()
        wait_ms = usage.closed_until_ms - asked_ms
        if wait_ms <= 0:
            is_granted, wait_ms = await self._tokens.take(self._ask_of(limit))
            if is_granted:
                usage.passed_count += 1
                return Admission(deadline_ms=asked_ms + routing.TOKEN_MS)
            usage.closed_until_ms = _clock.read_clock_ms() + wait_ms
        self.note_turned_away(server)
        raise _server_calls.ServerLimitedError(
            server.name, retry_after_ms=max(1, wait_ms)
        )

    def note_turned_away(self, server):
        """Count a request that a server's limit kept from the server."""
        usage = self._usages.setdefault(server.name, _Usage())
        usage.turned_away_count += 1
        self._stats.count_turned_away()

    def _find(self, server):
        if not len(self._limits):
            return None
        return self._limits.find(
            server.name, server.incarnation, _clock.read_clock_ms()
        )

    def _ask_of(self, limit):
        return routing.TokensAsk(
            account=f'server-limit/{limit.server}',
            owner_key=limit.serves,
            vm=self._state.settings.vm,
            rate_per_s=routing.effective_rate_per_s(limit),
            rate_deadline_ms=limit.keep_deadline_ms,
            count=1,
        )

    # Placements

    def has_token(self, server):
        """Return whether a server may be granted in a placement.

        Only the owner of its account knows; elsewhere the VM that sends the
        request takes the token.
        """
        limit = self._find(server)
        if limit is None or not self._tokens.owns(limit.serves):
            return True
        return self._tokens.has_token(self._ask_of(limit))

    def reserve(self, server):
        """Take a token for a placement; return whether one was taken."""
        limit = self._find(server)
        if limit is None or not self._tokens.owns(limit.serves):
            return False
        return self._tokens.grant(self._ask_of(limit)).count > 0

    def find_rate_per_s(self, server):
        """Return the rate at which a server takes requests, maybe infinite."""
        limit = self._find(server)
        if limit is None:
            return math.inf
        return routing.effective_rate_per_s(limit)


def read_limit(text):
    """Return the limit that a server names, or None if it is malformed.

    Of several limits the least is returned.

    Examples
    --------
    >>> read_limit('3.4'), read_limit('0'), read_limit('3.4, 2')
    (3.4, 0.0, 2.0)
    >>> [read_limit(text) for text in ('-1', 'nan', '1e3', '', '\u0663')]
    [None, None, None, None, None]
    """
    parts = [part.strip() for part in text.split(',')]
    if not all(LIMIT_PATTERN.fullmatch(part) for part in parts):
        return None
    return min(map(float, parts))
