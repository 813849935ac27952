"""Decide on one VM which requests of customers with a limit are admitted."""

import attrs

from bluebellthread.core.routing import _customer_accounts as accounts
from bluebellthread.core.routing import _customer_messages as messages

ASK = -1
"""Verdict on a request for which the owner must be asked."""

SLOT_MS = 500
"""Resolution at which the use of the last window is kept."""

HOLD_MS = 2000
"""Time for which a granted rate may accrue unused."""

SHARE_MS = 1000
"""How long a VM uses its share before it asks an unreached owner again."""

WAIT_MAX_MS = 4000
IDLE_MS = 60_000
"""Time without requests after which a customer is forgotten here."""


@attrs.define(kw_only=True)
class _Use:
    """The use of one customer's limit at this VM."""

    limit: object
    owner: object = None
    used: int = 0
    wanted: int = 0
    reported: int = 0
    reported_wanted: int = 0
    slots: dict = attrs.field(factory=dict)
    cost_max: int = 1
    level: float = 0.0
    level_max: float = 0.0
    rate_per_s: float = 0.0
    last_ms: int = 0
    until_ms: int = 0
    is_near: bool = False
    is_share: bool = False
    is_unknown: bool = False
    report_ms: int = 0
    ask_ms: int = 0
    used_ms: int = 0

    def refill(self, now_ms):
        elapsed_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        if elapsed_ms < 0:
            # The clock has jumped back: what is due then would come late.
            self.report_ms = self.ask_ms = now_ms
        if elapsed_ms > 0 and self.level < self.level_max:
            self.level = min(
                self.level + self.rate_per_s * elapsed_ms / 1000,
                self.level_max,
            )

    def set_level(self, level, rate_per_s, now_ms):
        self.level, self.rate_per_s, self.last_ms = level, rate_per_s, now_ms
        self.level_max = max(level, rate_per_s * HOLD_MS / 1000)

    def add(self, cost, now_ms):
        self.used += cost
        self.level -= cost
        slot = now_ms // SLOT_MS
        self.slots[slot] = self.slots.get(slot, 0) + cost

    def find_window_used(self, now_ms):
        first = (now_ms - accounts.WINDOW_MS) // SLOT_MS
        self.slots = {
            slot: units for slot, units in self.slots.items() if slot >= first
        }
        return max(0, sum(self.slots.values()))


class CustomerCredits:
    """Hold what this VM may admit of each customer, and what it has.

    Parameters
    ----------
    rng : random.Random
        Spreads the first requests of all VMs near a limit in time.

    Examples
    --------
    >>> import random
    >>> from bluebellthread.core.routing import _customers
    >>> limit = _customers.CustomerLimit(rate_per_s=10, burst=40)
    >>> credits = CustomerCredits(rng=random.Random(1))
    >>> [credits.admit('a', 1, limit, 'vm1', 0, vm_count=5) for _ in '123']
    [None, None, -1]
    """

    def __init__(self, *, rng):
        self._rng = rng
        self._uses = {}

    def __len__(self):
        return len(self._uses)

    def admit(
        self, name, cost, limit, owner, now_ms, *, vm_count, is_new=True
    ):
        """Admit a request if this VM may.

        Parameters
        ----------
        name, cost : str, int
            The customer, and the units of the request.
        limit : CustomerLimit
            The limit in force.
        owner : object
            Identifies the process that owns the customer; what another one
            has granted is dropped.
        vm_count : int
            VMs that may be running.
        is_new : bool
            Whether the request is new; if not, the owner has been asked for
            it.

        Returns
        -------
        int or None
            None if the request is admitted, `ASK`, or the milliseconds after
            which one may be admitted.
        """
        use = self._find(name, limit, owner, now_ms, vm_count)
        use.used_ms = now_ms
        if is_new:
            use.wanted += cost
            use.cost_max = max(use.cost_max, cost)
        use.refill(now_ms)
        # A rate pays for a request afterwards: else large requests would
        # never be admitted where the rate of one VM is low.
        if use.level >= cost or (use.rate_per_s and use.level > 0):
            use.add(cost, now_ms)
            return None
        if use.is_unknown or (
            is_new and (not use.is_near or now_ms >= use.ask_ms)
        ):
            return ASK
        return self._find_wait_ms(use, now_ms)

    def refund(self, name, cost, now_ms):
        """Give back the units of a request that has not run."""
        use = self._uses.get(name)
        if use is not None:
            use.add(-cost, now_ms)

    def make_use(self, name, needed, now_ms):
        """Return the `CustomerUse` to report of a customer."""
        use = self._uses[name]
        return messages.CustomerUse(
            customer=name,
            used=use.used,
            window_used=use.find_window_used(now_ms),
            wanted=use.wanted,
            needed=needed,
        )

    def forget(self, name):
        """Forget a customer that has no limit any more."""
        self._uses.pop(name, None)

    def list_names(self):
        """Return the names of the customers in use."""
        return list(self._uses)

    def list_due(self, now_ms):
        """Return the names of the customers to report, and their owners."""
        return [
            (name, use.owner)
            for name, use in self._uses.items()
            if now_ms >= use.report_ms
            and (
                use.is_unknown
                or use.used != use.reported
                or use.wanted != use.reported_wanted
            )
        ]

    def note_grant(self, grant, use_sent, owner, now_ms):
        """Note the owner's reply to a report."""
        use = self._uses.get(grant.customer)
        if use is None or use.owner != owner:
            return
        use.refill(now_ms)
        debt = min(0.0, use.level) if use.is_near and grant.is_near else 0.0
        level = grant.credit - (use.used - grant.used)
        if grant.is_near and not grant.credit:
            if not use.is_near:
                debt = -self._rng.random() * use.cost_max
            level = min(level, 0.0) if debt == 0 else debt
        use.set_level(level, grant.rate_per_s, now_ms)
        use.is_near, use.is_share = grant.is_near, False
        use.is_unknown = False
        use.reported, use.reported_wanted = use_sent.used, use_sent.wanted
        # Else the reports of all VMs stay as close as their first ones were.
        spread = self._rng.uniform(0.75, 1.25)
        use.report_ms = now_ms + int(spread * grant.report_ms)
        use.ask_ms = now_ms + grant.ask_ms
        use.until_ms = now_ms + max(
            accounts.LEASE_MIN_MS, accounts.LEASE_FACTOR * grant.report_ms
        )

    def note_unreached(self, name, owner, now_ms, *, vm_count):
        """Note that the owner does not answer: this VM's share is used."""
        use = self._uses.get(name)
        if use is None or use.owner != owner:
            return
        use.is_unknown = False
        if not use.is_share:
            use.is_share = use.is_near = True
            level = min(
                use.limit.capacity / vm_count
                - use.find_window_used(now_ms)
                + use.limit.rate_per_s * accounts.WINDOW_MS / 1000 / vm_count,
                use.limit.capacity / vm_count,
            )
            if level < use.cost_max:
                level -= self._rng.random() * use.cost_max
            use.set_level(level, use.limit.rate_per_s / vm_count, now_ms)
        use.ask_ms = use.report_ms = now_ms + SHARE_MS
        use.until_ms = now_ms + accounts.WINDOW_MS

    def change_owners(self, find_owner, now_ms):
        """Have new owners learn the use of the last window."""
        for name, use in self._uses.items():
            owner = find_owner(name)
            if owner != use.owner:
                self._change(use, use.limit, owner, now_ms)

    def forget_idle(self, now_ms, *, keep=()):
        """Forget customers without requests, but for some."""
        self._uses = {
            name: use
            for name, use in self._uses.items()
            if now_ms - use.used_ms < IDLE_MS or name in keep
        }

    def _find(self, name, limit, owner, now_ms, vm_count):
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _Use(limit=limit, owner=owner)
            part = limit.capacity / accounts.ALLOWANCE_PART / vm_count
            self._begin(use, part, now_ms)
        elif use.owner != owner or use.limit != limit:
            self._change(use, limit, owner, now_ms)
        elif now_ms >= use.until_ms:
            part = limit.capacity / accounts.ALLOWANCE_PART / vm_count
            self._begin(use, part - max(0, use.used - use.reported), now_ms)
        return use

    def _change(self, use, limit, owner, now_ms):
        """Drop the grant, and report before anything else is admitted."""
        level = min(0.0, use.level)
        use.limit, use.owner = limit, owner
        use.is_unknown = True
        self._begin(use, level, now_ms)

    @staticmethod
    def _begin(use, level, now_ms):
        """Start without a grant: a small part of the burst may be used."""
        use.set_level(level, 0.0, now_ms)
        use.is_near = use.is_share = False
        use.report_ms = use.ask_ms = now_ms
        use.until_ms = now_ms + accounts.WINDOW_MS

    @staticmethod
    def _find_wait_ms(use, now_ms):
        """Return when the grant, or the next report, brings more."""
        next_ms = max(1, use.report_ms - now_ms)
        if use.rate_per_s:
            next_ms = min(
                next_ms, 1 + int(1000 * max(0, -use.level) / use.rate_per_s)
            )
        return min(max(next_ms, 1), WAIT_MAX_MS)
