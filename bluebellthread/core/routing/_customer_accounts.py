"""Add up what all VMs admit of customers that have a rate limit.

The owner of a customer keeps one bucket of units. While it is well filled,
VMs admit at once and report afterwards. Near the limit the rate is divided
over the VMs by what is asked for at each, so that a VM need not ask for each
request.
"""

import math

import attrs

from bluebellthread.core.routing import _customer_messages as messages

WINDOW_MS = 8000
"""Length of the windows over which the platform checks limits."""

FORMING_MS = 1000
"""How long the VMs may take to tell a new owner what they have admitted."""

ALLOWANCE_PART = 4
"""All VMs together may admit one part in this many of what the bucket holds
before their next reports. The platform's check allows a quarter more than the
limit; with all of the bucket, two VMs admitted 13 requests of a burst of 10.
"""

NEAR_PART = 4
"""The customer is near its limit if less than one part in this many of a full
bucket is left: reports in flight from VMs that are comfortable could then
empty it."""

END_PART = 2
"""The customer is no longer near its limit once the bucket holds one part in
this many."""

ASK_PART = 8
"""Near its limit, VMs still ask for single requests while the bucket holds one
part in this many, so that units given back are used."""

REPORT_MIN_MS = 100
REPORT_MAX_MS = 5000
REPORTS_PER_S_MAX = 40
"""Shortest and longest time between the reports of a VM about a customer, and
the rate of reports that sets it in between."""

LEASE_FACTOR = 2
LEASE_MIN_MS = 1500
"""How long a grant holds: a multiple of the time to the next report, but
longer than an owner that does not answer is not asked."""

REPAY_S = 8.0
"""Time in which a surplus of the bucket is granted, or a debt held back."""

DEMAND_FLOOR = 0.1
"""Least part of an equal share that a VM gets near the limit, so that it can
begin to serve a customer."""

EXPIRE_PERIOD_MS = 500
IDLE_MS = 60_000
"""Time without reports after which an account is forgotten."""


@attrs.define(kw_only=True)
class _Record:
    """What one VM has reported, and what it was granted."""

    incarnation: int
    used: float
    wanted: float
    seen_ms: int
    reserved: float = 0.0
    rate_per_s: float = 0.0
    since_ms: int = 0
    until_ms: int = 0
    demand_per_s: float = 0.0


class _Account:
    """The bucket of one customer. Its level is negative while VMs owe units.

    Units that the rates granted to VMs bring are held back as they accrue,
    and settled with what the VMs report.
    """

    def __init__(self, limit, share, now_ms):
        self.limit = limit
        self.share = share
        self.level = self.capacity
        # What VMs admitted under an earlier owner is charged only as far as
        # the rate has not paid for it.
        self.paid = self.rate_per_s * WINDOW_MS / 1000
        self.last_ms = now_ms
        self.is_near = False
        self.forming_until_ms = now_ms + FORMING_MS
        self.records = {}
        self.leased_per_s = 0.0
        self.demand_per_s = 0.0
        self._expire_ms = now_ms + EXPIRE_PERIOD_MS

    @property
    def rate_per_s(self):
        return self.limit.rate_per_s * self.share

    @property
    def capacity(self):
        return self.limit.capacity * self.share

    def refill(self, now_ms):
        """Add what has been gained beyond the rates granted."""
        elapsed_ms = now_ms - self.last_ms
        if elapsed_ms > 0:
            self.last_ms = now_ms
            self.level += (
                (self.rate_per_s - self.leased_per_s) * elapsed_ms / 1000
            )
        if now_ms >= self._expire_ms:
            self._expire_ms = now_ms + EXPIRE_PERIOD_MS
            self._expire(now_ms)
        if now_ms >= self.forming_until_ms:
            self.paid = 0.0
        self._clamp()

    def charge_earlier(self, units):
        """Charge what a VM admitted before this owner knew of it."""
        paid = min(units, self.paid)
        self.paid -= paid
        self.level -= units - paid

    def change(self, limit, share, now_ms):
        """Bring another limit into force; keep units up to its burst."""
        if (limit, share) == (self.limit, self.share):
            return
        for record in self.records.values():
            self._suspend_lease(record, now_ms, now_ms)
        self.limit, self.share = limit, share
        self._clamp()

    def settle(self, record, use, now_ms):
        """Charge what a VM has admitted since its last report."""
        self._end_lease(record, now_ms)
        self.level += record.reserved - (use.used - record.used)
        elapsed_ms = max(now_ms - record.seen_ms, REPORT_MIN_MS)
        wanted = max(0, use.wanted - record.wanted)
        self.demand_per_s -= record.demand_per_s
        record.demand_per_s += (
            1000 * wanted / elapsed_ms - record.demand_per_s
        ) / 2
        self.demand_per_s += record.demand_per_s
        record.used, record.wanted = use.used, use.wanted
        record.reserved = 0.0
        record.seen_ms = now_ms
        self._clamp()

    def judge(self, needed):
        """Decide whether the customer is near its limit."""
        left = self.level - needed
        part = END_PART if self.is_near else NEAR_PART
        self.is_near = left < self.capacity / part

    def lease(self, record, now_ms):
        """Grant a VM its part of the rate, by what is asked for there."""
        self._end_lease(record, now_ms)
        spare_per_s = self.rate_per_s + self.level / REPAY_S
        demand = max(
            record.demand_per_s,
            DEMAND_FLOOR * self.demand_per_s / len(self.records),
        )
        rate = spare_per_s * demand / max(self.demand_per_s, demand, 1e-9)
        rate = max(0.0, min(rate, spare_per_s - self.leased_per_s))
        record.rate_per_s, record.since_ms = rate, now_ms
        self.leased_per_s += rate

    def forget_record(self, vm, now_ms):
        """Forget a VM's process; what it was granted counts as used."""
        record = self.records.pop(vm)
        self._end_lease(record, now_ms, is_returned=False)
        self.demand_per_s -= record.demand_per_s

    def _end_lease(self, record, now_ms, *, is_returned=True):
        """Give back what a rate has brought; the use of it is charged."""
        if not record.rate_per_s:
            return
        self.leased_per_s = max(0.0, self.leased_per_s - record.rate_per_s)
        if is_returned:
            elapsed_ms = max(0, now_ms - record.since_ms)
            self.level += record.rate_per_s * elapsed_ms / 1000
        record.rate_per_s = 0.0

    def _suspend_lease(self, record, until_ms, now_ms):
        """End a rate; what it has brought counts as used until a report."""
        held_ms = max(0, until_ms - record.since_ms)
        held = record.rate_per_s * held_ms / 1000
        self._end_lease(record, now_ms)
        self.level -= held
        record.reserved += held

    def _expire(self, now_ms):
        for vm, record in list(self.records.items()):
            if now_ms >= record.until_ms + WINDOW_MS:
                self.forget_record(vm, now_ms)
            elif now_ms >= record.until_ms and record.rate_per_s:
                self._suspend_lease(record, record.until_ms, now_ms)
                self.demand_per_s -= record.demand_per_s
                record.demand_per_s = 0.0

    def _clamp(self):
        # What was admitted before the last window is no longer checked.
        floor = -self.rate_per_s * WINDOW_MS / 1000
        self.level = min(max(self.level, floor), self.capacity)


class CustomerAccounts:
    """Accounts of the customers that this VM owns.

    Examples
    --------
    >>> from bluebellthread.core.routing import _customers
    >>> limit = _customers.CustomerLimit(rate_per_s=10, burst=45)
    >>> accounts = CustomerAccounts()
    >>> use = messages.CustomerUse(customer='a', used=0, needed=5)
    >>> grant = accounts.note('vm1', 1, use, limit, 0, vm_count=10)
    >>> grant.credit, grant.is_near
    (6, False)
    """

    def __init__(self):
        self._accounts = {}

    def __len__(self):
        return len(self._accounts)

    def note(
        self, vm, incarnation, use, limit, now_ms, *, vm_count, share=1.0
    ):
        """Note what a VM has admitted of a customer; return its grant.

        Parameters
        ----------
        vm, incarnation : str, int
            The VM and its process.
        use : CustomerUse
            Its report.
        limit : CustomerLimit
            The limit in force.
        vm_count : int
            VMs that may be running.
        share : float
            Part of the limit that may be granted here.

        Returns
        -------
        CustomerGrant
        """
        account = self._accounts.get(use.customer)
        if account is None:
            account = _Account(limit, share, now_ms)
            self._accounts[use.customer] = account
        account.refill(now_ms)
        account.change(limit, share, now_ms)
        record = self._find_or_add(account, vm, incarnation, use, now_ms)
        account.settle(record, use, now_ms)
        account.judge(use.needed)
        report_ms = _find_report_ms(len(account.records))
        record.until_ms = now_ms + max(LEASE_MIN_MS, LEASE_FACTOR * report_ms)
        left = account.level
        record.reserved = max(0, min(use.needed, math.floor(left)))
        account.level -= record.reserved
        left -= record.reserved
        credit, ask_ms = record.reserved, 0
        if account.is_near:
            account.lease(record, now_ms)
            ask_ms = 0 if left > account.capacity / ASK_PART else report_ms
        else:
            credit += math.floor(left / ALLOWANCE_PART / vm_count)
        return messages.CustomerGrant(
            customer=use.customer,
            used=use.used,
            credit=credit,
            rate_per_s=record.rate_per_s,
            is_near=account.is_near,
            report_ms=report_ms,
            ask_ms=ask_ms,
        )

    def keep_only(self, condition, now_ms):
        """Forget idle accounts, and those whose name fails a test."""
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if now_ms - account.last_ms < IDLE_MS and condition(name)
        }

    @staticmethod
    def _find_or_add(account, vm, incarnation, use, now_ms):
        record = account.records.get(vm)
        if record is not None and record.incarnation == incarnation:
            return record
        if record is not None:
            account.forget_record(vm, now_ms)
        record = account.records[vm] = _Record(
            incarnation=incarnation,
            used=use.used,
            wanted=use.wanted - use.window_used - use.needed,
            seen_ms=now_ms - FORMING_MS,
        )
        account.charge_earlier(use.window_used)
        return record


def _find_report_ms(vm_count):
    """Return how long each of some VMs waits before its next report."""
    turn_ms = 1000 * vm_count // REPORTS_PER_S_MAX
    return min(max(turn_ms, REPORT_MIN_MS), REPORT_MAX_MS)
