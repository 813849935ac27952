"""Keeps customers' rate limits over all VMs.

The VM that owns a customer adds up what all VMs have admitted. A VM that can't
reach the owner admits its share.
"""

import random
import zlib

import attrs
import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events

REPLY_TIMEOUT_MS = 150
"""How long an owner's reply is waited for: several round trips between
regions."""

REPORT_PERIOD_S = 0.1
PRUNE_PERIOD_S = 1.0
QUEUE_LENGTH = 1024
ASKS_MAX = 3
"""Owners that are asked for one request: one, and another one each time that
the owner or the limit has changed meanwhile."""

WARN_PERIOD_MS = 10_000
"""Time between log lines about customers over their limits."""

GROUP_COUNT = 512
"""Groups of customers that have an owner each. Ranking the VMs for each of
1,300 customers anew after each change of the membership takes too long."""


@attrs.define(eq=False)
class _Batch:
    """Requests of one customer that the owner is asked for together."""

    needed: int = 0
    is_answered: bool = False


@attrs.define(eq=False)
class _Line:
    """The requests of this VM that wait for the owner of one customer."""

    batch: _Batch = attrs.field(factory=_Batch)
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    user_count: int = 0


class CustomerLimits:
    """Admits customers' requests, and keeps the accounts that this VM owns.

    Parameters
    ----------
    state : EntryState
        Supplies the limits, and the membership view for the owners.
    links : PeerLinks
        Connections to the other VMs for these messages only.
    dialect : Dialect
        Tells the tokens of a request.
    stats : EntryStats
        Counts the units.
    """

    def __init__(self, *, state, links, dialect, stats):
        self._state = state
        self._links = links
        self._dialect = dialect
        self._stats = stats
        self._owned = routing.CustomerAccounts()
        # The random numbers spread the reports of all VMs in time.
        self._credits = routing.CustomerCredits(rng=random.Random())
        self._lines = {}
        self._reporting = set()
        self._has_use = trio.Event()
        self._warned_ms = {}
        self._inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)

    def register(self, mailboxes):
        """Route the messages that owners receive to this task."""
        mailboxes.register(routing.CustomerUsage, self._inbox)

    async def run(self):
        """Report and answer reports until cancelled."""
        async with trio.open_nursery() as nursery:
            _tasks.start_lasting(nursery, self._report)
            _tasks.start_lasting(nursery, self._prune)
            await _mailboxes.handle_each(
                self._receive,
                lambda inbound: inbound.answer(self._note(inbound.envelope)),
            )

    # This VM's requests

    async def admit(self, work):
        """Admit a request unless its customer is over its limit.

        Parameters
        ----------
        work : Work
            The request.

        Returns
        -------
        int or None
            None if it is admitted, else the milliseconds after which the
            customer may ask again.
        """
        cost = self._find_cost(work)
        if not cost:
            return None
        name = work.customer.name
        verdict = self._try(work, cost)
        for _ in range(ASKS_MAX):
            if verdict != routing.ASK:
                break
            await self._ask(work, cost)
            verdict = self._try(work, cost, is_new=False)
        if verdict == routing.ASK:
            verdict = int(REPORT_PERIOD_S * _clock.MS_PER_S)
        is_admitted = verdict is None
        self._has_use.set()
        self._stats.count_customer_units(name, cost, is_admitted=is_admitted)
        if not is_admitted:
            self._log_refused(name, verdict)
        return verdict

    def refund(self, work):
        """Give back the units of an admitted request that has not run."""
        cost = self._find_cost(work)
        if cost:
            self._credits.refund(
                work.customer.name, cost, _clock.read_clock_ms()
            )
            self._has_use.set()

    def _find_cost(self, work):
        """Return the units of a request; 0 if it counts towards no limit."""
        if work.customer is None or work.customer.limit is None:
            return 0
        limit = work.customer.limit
        # Servers get all headers of the name; the largest counts.
        costs = [
            limit.find_cost(
                self._dialect.read_token_counts(value.decode('latin-1'))
            )
            for name, value in work.request.headers
            if name == self._dialect.token_counts
        ]
        return max(costs, default=limit.find_cost(None))

    def _find_limit(self, name):
        """Return the limit of a customer that is in force, or None."""
        customers = self._state.table.customers
        customer = customers and customers.find_named(name)
        return customer.limit if customer else None

    def _try(self, work, cost, *, is_new=True):
        name = work.customer.name
        # Of requests that arrived under different limits, the one in force
        # holds for all: else each would drop what the other was granted.
        limit = self._find_limit(name) or work.customer.limit
        return self._credits.admit(
            name,
            cost,
            limit,
            self._find_owner_key(name),
            _clock.read_clock_ms(),
            vm_count=self._vm_count,
            is_new=is_new,
        )

    async def _ask(self, work, cost):
        """Ask the owner, together with other requests of the customer."""
        name = work.customer.name
        line = self._lines.setdefault(name, _Line())
        line.user_count += 1
        try:
            batch = line.batch
            batch.needed += cost
            async with line.lock:
                if not batch.is_answered:
                    if line.batch is batch:
                        line.batch = _Batch()
                    await self._send(
                        self._find_owner(name), [name], batch.needed
                    )
                    batch.is_answered = True
        finally:
            line.user_count -= 1
            if not line.user_count:
                del self._lines[name]

    def _log_refused(self, name, wait_ms):
        now_ms = _clock.read_clock_ms()
        if now_ms - self._warned_ms.get(name, -WARN_PERIOD_MS) < (
            WARN_PERIOD_MS
        ):
            return
        self._warned_ms[name] = now_ms
        emit(events.CUSTOMER_OVER_LIMIT, customer=name, wait_ms=wait_ms)

    # Reports

    @property
    def _vm_count(self):
        state = self._state
        if state.view.confirmed:
            return state.vm_count
        seeds = {state.settings.host, *state.settings.seed_hosts}
        return max(state.vm_count, len(seeds))

    def _find_owner(self, name):
        group = zlib.crc32(name.encode()) % GROUP_COUNT
        owners = self._state.rank_owners(f'customers {group}')
        return owners[0] if owners else None

    def _find_owner_key(self, name):
        return _key_of(self._find_owner(name))

    async def _report(self):
        """Report what this VM admits to the owners, while there is some."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_use.wait()
                await trio.sleep(REPORT_PERIOD_S)
                if not len(self._credits):
                    self._has_use = trio.Event()
                now_ms = _clock.read_clock_ms()
                names_by_owner = {}
                for name, _ in self._credits.list_due(now_ms):
                    owner = self._find_owner(name)
                    names_by_owner.setdefault(_key_of(owner), (owner, []))
                    names_by_owner[_key_of(owner)][1].append(name)
                for key, (owner, names) in names_by_owner.items():
                    if key not in self._reporting:
                        self._reporting.add(key)
                        _tasks.start_isolated(
                            nursery,
                            self._send_report,
                            owner,
                            names,
                            subject='a report of customers',
                        )

    async def _send_report(self, owner, names):
        try:
            await self._send(owner, names, 0)
        finally:
            self._reporting.discard(_key_of(owner))

    async def _send(self, owner, names, needed):
        """Send a report to an owner and note its reply."""
        key = _key_of(owner)
        now_ms = _clock.read_clock_ms()
        uses = tuple(
            self._credits.make_use(name, needed, now_ms) for name in names
        )
        reply, error = None, 'it does not know this message'
        if owner is None:
            error = 'no VM is known'
        else:
            try:
                reply = await self._links.call(
                    owner,
                    routing.CustomerUsage(uses=uses),
                    deadline_ms=now_ms + REPLY_TIMEOUT_MS,
                )
            except _peers.PeerUnreachableError as unreachable:
                error = unreachable
        grants = {}
        if isinstance(reply, routing.CustomerUsageNoted):
            grants = {grant.customer: grant for grant in reply.grants}
            error = 'it does not know the limit'
        now_ms = _clock.read_clock_ms()
        missing = [use.customer for use in uses if use.customer not in grants]
        for use in uses:
            if use.customer in grants:
                self._credits.note_grant(
                    grants[use.customer], use, key, now_ms
                )
            else:
                self._credits.note_unreached(
                    use.customer, key, now_ms, vm_count=self._vm_count
                )
        if missing:
            emit(
                events.CUSTOMER_OWNER_UNREACHED,
                owner='' if owner is None else owner.name,
                customers=len(missing),
                error=error,
            )

    # Owner

    def _note(self, envelope):
        """Note a VM's report and return the reply."""
        now_ms = _clock.read_clock_ms()
        share = self._state.find_owner_share()
        grants = []
        for use in envelope.message.uses:
            limit = self._find_limit(use.customer)
            if limit is None:
                # Its VM has a newer configuration, and uses its share.
                continue
            grants.append(
                self._owned.note(
                    envelope.sender,
                    envelope.sender_incarnation,
                    use,
                    limit,
                    now_ms,
                    vm_count=self._vm_count,
                    share=share,
                )
            )
        return routing.CustomerUsageNoted(grants=tuple(grants))

    def _owns(self, name):
        owner = self._find_owner(name)
        return owner is not None and owner.name == self._state.settings.vm

    async def _prune(self):
        """Forget idle customers, and accounts that other VMs own."""
        while True:
            with trio.move_on_after(PRUNE_PERIOD_S):
                await self._state.view_changed.wait()
            for name in self._credits.list_names():
                # Ranking takes 0.2 ms for a group at 390 VMs; requests go on
                # in between.
                self._find_owner(name)
                await trio.lowlevel.checkpoint()
            now_ms = _clock.read_clock_ms()
            self._owned.keep_only(self._owns, now_ms)
            self._credits.change_owners(self._find_owner_key, now_ms)
            self._credits.forget_idle(now_ms, keep=self._lines)
            for name in self._credits.list_names():
                if self._find_limit(name) is None and name not in self._lines:
                    self._credits.forget(name)
            self._warned_ms = {
                name: warned_ms
                for name, warned_ms in self._warned_ms.items()
                if now_ms - warned_ms < WARN_PERIOD_MS
            }


def _key_of(owner):
    """Return what identifies the process of an owner."""
    return None if owner is None else (owner.name, owner.incarnation)
