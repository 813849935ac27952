"""Takes tokens from accounts that all VMs share.

The VM that owns an account grants its tokens. A VM that can't reach the owner
grants itself its share of the rate, so that all VMs together still keep it.
"""

import contextlib
import random

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

ANSWER_TIMEOUT_MS = 150
"""How long an owner's answer is waited for: several round trips between
regions."""

SUSPICION_MS = 1000
"""How long an owner that did not answer is not asked."""

QUEUE_LENGTH = 1024
PRUNE_PERIOD_S = 1.0


@attrs.define(eq=False)
class _Batch:
    """Requests of this VM for tokens that are asked for together."""

    count: int = 0
    answer: object = None


@attrs.define(eq=False)
class _Line:
    """The requests of this VM for tokens of one account."""

    batch: _Batch = attrs.field(factory=_Batch)
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    user_count: int = 0


class TokenTask:
    """Takes tokens for this VM, and grants those of accounts that it owns.

    Parameters
    ----------
    state : EntryState
        Supplies the membership view, which determines the owners.
    links : PeerLinks
        Connections to the other VMs for tokens only.
    """

    def __init__(self, *, state, links):
        self._state = state
        self._links = links
        self._owned = routing.TokenAccounts()
        # The random start spreads the tokens of all VMs in time.
        self._fallback = routing.TokenAccounts(burst_s=0, rng=random.Random())
        self._lines = {}
        self._suspected_until_ms = {}
        self._inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    def register(self, mailboxes):
        """Route the messages that owners receive to this task."""
        mailboxes.register(routing.TokensAsk, self._inbox)

    async def run(self):
        """Grant tokens until cancelled."""
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(nursery, self._prune)
            await _mailboxes.handle_each(
                self._receive,
                lambda inbound: inbound.answer(self.grant(inbound.message)),
            )

    # Owner

    def owns(self, owner_key):
        """Return whether this VM owns accounts, by its membership view."""
        owner = self._find_owner(owner_key)
        return owner is not None and owner.name == self._state.settings.vm

    def grant(self, ask):
        """Grant tokens of an account that this VM owns."""
        share = self._state.find_owner_share()
        return self._owned.take(ask, _clock.read_clock_ms(), share=share)

    def has_token(self, ask):
        """Return whether `grant` would grant a token now."""
        share = self._state.find_owner_share()
        return self._owned.has_token(ask, _clock.read_clock_ms(), share=share)

    async def _prune(self):
        """Forget accounts that are idle, or that other VMs own."""
        while True:
            with trio.move_on_after(PRUNE_PERIOD_S):
                await self._state.view_changed.wait()
            now_ms = _clock.read_clock_ms()
            self._owned.keep_only(self.owns, now_ms)
            self._fallback.keep_only(lambda key: True, now_ms)

    # This VM's requests

    async def take(self, ask):
        """Take one token of an account.

        Parameters
        ----------
        ask : TokensAsk
            The account; its count is set here, as requests that wait for
            tokens of one account ask together.

        Returns
        -------
        (bool, int)
            Whether a token was taken, and the milliseconds before the next
            try if not.
        """
        with self._using_line(ask.account) as line:
            batch = line.batch
            batch.count += 1
            number = batch.count
            async with line.lock:
                if batch.answer is None:
                    if line.batch is batch:
                        line.batch = _Batch()
                    batch.answer = await self._ask_owner(
                        attrs.evolve(ask, count=batch.count)
                    )
        return number <= batch.answer.count, batch.answer.wait_ms

    @contextlib.contextmanager
    def _using_line(self, account):
        line = self._lines.setdefault(account, _Line())
        line.user_count += 1
        try:
            yield line
        finally:
            line.user_count -= 1
            if not line.user_count:
                del self._lines[account]

    def _find_owner(self, owner_key):
        owners = self._state.rank_owners(owner_key)
        return owners[0] if owners else None

    async def _ask_owner(self, ask):
        owner = self._find_owner(ask.owner_key)
        now_ms = _clock.read_clock_ms()
        if owner is None:
            return self._take_share(ask)
        key = (owner.name, owner.incarnation)
        if self._suspected_until_ms.get(key, 0) > now_ms:
            return self._take_share(ask)
        try:
            answer = await self._links.call(
                owner, ask, deadline_ms=now_ms + ANSWER_TIMEOUT_MS
            )
            error = 'it does not know this message'
        except _peers.PeerUnreachableError as unreachable:
            answer, error = None, unreachable
        if isinstance(answer, routing.TokensAnswer):
            self._fallback.forget(ask.account)
            self._suspected_until_ms.pop(key, None)
            return answer
        emit(
            events.TOKEN_OWNER_UNREACHABLE,
            owner=owner.name,
            account=ask.account,
            error=error,
        )
        self._suspected_until_ms = {
            known: until_ms
            for known, until_ms in self._suspected_until_ms.items()
            if until_ms > now_ms
        }
        self._suspected_until_ms[key] = _clock.read_clock_ms() + SUSPICION_MS
        return self._take_share(ask)

    def _take_share(self, ask):
        return self._fallback.take(
            ask, _clock.read_clock_ms(), share=1 / self._state.vm_count
        )
