"""Keep accounts of rates that all VMs share.

The load pattern: a few accounts are in use at a time, each with a rate that
may be far below one token per VM and second, so equal shares of the VMs would
leave most of it unused.
"""

import attrs

from bluebellthread.core import _token_bucket
from bluebellthread.core.routing import _token_messages as messages

BURST_S = 0.5
"""Time in which an account gains its burst, beside one token. Tokens that were
not used for longer than that are lost."""

WAIT_MAX_MS = 4000
ASKS_PER_S_MAX = 40
"""Longest wait before a VM asks again, unless the owner of an account that
gains few tokens would get more asks a second: they and their answers then take
12 KB."""

ASKER_FACTOR = 1.5
"""How long a VM counts as one that asks, as a multiple of its wait."""

ASKS_PER_TOKEN = 2
"""Asks for each token that an account gains, while it has fewer tokens than
are asked for. Fewer asks would leave tokens unused."""

IDLE_MS = 60_000
"""Time without asks after which an account is forgotten."""


@attrs.define(kw_only=True)
class _Account:
    bucket: _token_bucket.TokenBucket
    owner_key: str
    rate_deadline_ms: int
    asked_ms: int
    rate_per_s: float
    share: float
    askers_until_ms: dict = attrs.field(factory=dict)


class TokenAccounts:
    """Grant tokens of accounts to VMs.

    An account starts without tokens, since another VM may just have granted
    all that it had.

    Parameters
    ----------
    burst_s : float
        Time in which an account gains its burst, beside one token.
    rng : random.Random or None
        Chooses the fraction of a token that an account starts with; None to
        start without.

    Examples
    --------
    >>> accounts = TokenAccounts()
    >>> ask = messages.TokensAsk(account='a', owner_key='k', vm='vm1',
    ...     rate_per_s=2.0, rate_deadline_ms=1, count=1)
    >>> [accounts.take(ask, now_ms).count for now_ms in (0, 400, 500, 600)]
    [0, 0, 1, 0]
    """

    def __init__(self, *, burst_s=BURST_S, rng=None):
        self._burst_s = burst_s
        self._rng = rng
        self._accounts = {}

    def __len__(self):
        return len(self._accounts)

    def take(self, ask, now_ms, *, share=1.0):
        """Grant as many of the tokens that a VM asks for as there are.

        Parameters
        ----------
        ask : TokensAsk
            What the VM asks for.
        share : float
            Part of the rate that may be granted here; the other parts are
            granted elsewhere.

        Returns
        -------
        TokensAnswer
        """
        account = self._find_or_add(ask, now_ms, share)
        count = 0
        while count < ask.count and account.bucket.take(1, now_ms=now_ms):
            count += 1
        if count == ask.count:
            account.askers_until_ms.pop(ask.vm, None)
            return messages.TokensAnswer(count=count)
        wait_ms = self._find_wait_ms(account, ask.vm, now_ms)
        return messages.TokensAnswer(count=count, wait_ms=wait_ms)

    def has_token(self, ask, now_ms, *, share=1.0):
        """Return whether `take` would grant a token."""
        account = self._find_or_add(ask, now_ms, share)
        return account.bucket.wait_ms(1, now_ms=now_ms) == 0

    def keep_only(self, condition, now_ms):
        """Forget idle accounts, and those whose owner key fails a test."""
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if now_ms - account.asked_ms < IDLE_MS
            and condition(account.owner_key)
        }

    def forget(self, name):
        """Forget one account."""
        self._accounts.pop(name, None)

    def _find_or_add(self, ask, now_ms, share):
        account = self._accounts.get(ask.account)
        if account is None:
            account = self._accounts[ask.account] = self._make(
                ask, now_ms, share
            )
        account.asked_ms = now_ms
        if ask.rate_deadline_ms > account.rate_deadline_ms:
            account.rate_deadline_ms = ask.rate_deadline_ms
            rate_per_s = ask.rate_per_s
        else:
            rate_per_s = account.rate_per_s
        if (rate_per_s, share) != (account.rate_per_s, account.share):
            account.rate_per_s, account.share = rate_per_s, share
            account.bucket.change_rate(
                rate_per_s=rate_per_s * share,
                burst=self._find_burst(rate_per_s * share),
                now_ms=now_ms,
            )
        return account

    def _make(self, ask, now_ms, share):
        rate_per_s = ask.rate_per_s * share
        level = 0.0 if self._rng is None else self._rng.random()
        bucket = _token_bucket.TokenBucket(
            rate_per_s=rate_per_s,
            burst=self._find_burst(rate_per_s),
            now_ms=now_ms,
            level=level,
        )
        return _Account(
            bucket=bucket,
            owner_key=ask.owner_key,
            rate_deadline_ms=ask.rate_deadline_ms,
            asked_ms=now_ms,
            rate_per_s=ask.rate_per_s,
            share=share,
        )

    def _find_burst(self, rate_per_s):
        return 1 + self._burst_s * rate_per_s

    def _find_wait_ms(self, account, vm, now_ms):
        """Return how long a VM that got no token waits before it asks again.

        All VMs together then ask `ASKS_PER_TOKEN` times for each token.
        """
        askers = account.askers_until_ms
        for other, until_ms in list(askers.items()):
            if until_ms <= now_ms:
                del askers[other]
        count = len(askers.keys() | {vm})
        next_ms = account.bucket.wait_ms(1, now_ms=now_ms)
        max_ms = max(WAIT_MAX_MS, 1000 * count / ASKS_PER_S_MAX)
        if next_ms is None:
            next_ms = max_ms
        gain_ms = 1000 / max(account.rate_per_s * account.share, 0.001)
        turn_ms = count * gain_ms / ASKS_PER_TOKEN
        wait_ms = int(min(max(next_ms, turn_ms), max_ms))
        askers[vm] = now_ms + int(ASKER_FACTOR * wait_ms)
        return wait_ms
