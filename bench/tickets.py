"""Measures the cost of calls with tickets.

    python -m bench.tickets [CALLS]

Prints the memory of ticket records. Then prints time and bytes of a call to
the service without the router, of an idempotent call, and of an
at-most-once call with a ticket at its issuer and at another VM.
"""

import statistics
import sys
import time
import tracemalloc

import attrs
import trio

from bluebellthread import core

from tests.integration import _fleet
from tests.integration import _router

CALLS = 300
WARM_UP_CALLS = 20
RECORDS = 5000
BUDGET_BYTES = 32 * 1024 * 1024
BODY_BYTES = 200
INCARNATION = 2**61
SERVICE = _router.SERVICE
LIMITS = {'caller_rate_per_s': 100000, 'caller_concurrency': 1000}
CALLER = {'x-caller-id': 'workshop-12'}
PROXIES = ('s1-server', 'vm1-peers', 'vm1-callers', 'vm2-callers')
HEADERS = (
    ('content-type', 'application/json'),
    ('content-length', '200'),
    ('date', 'Thu, 03 Dec 2026 22:28:54 GMT'),
    ('server', 'hypercorn-h11'),
    ('connection', 'close'),
)


class Bench:
    """Two VMs and a service, behind proxies if bytes are counted.

    Parameters
    ----------
    fleet : Fleet
        Fleet in which the processes start.
    counted : bool
        Whether traffic goes through proxies that count bytes.
    """

    def __init__(self, fleet, *, counted):
        self.fleet = fleet
        self.counted = counted

    async def start(self):
        """Start stand-ins and VMs and publish the configuration."""
        await self.fleet.start_standins(
            [{'kind': 'platform'}, {'kind': 'service', 'name': 's1'}]
        )
        target = self.fleet.standins['s1'].port
        proxy = {'kind': 'proxy', 'target_port': target}
        await self.fleet.start_standins(
            [{**proxy, 'name': name} for name in PROXIES]
        )
        for vm in ('vm1', 'vm2'):
            await self._start_vm(vm)
        await self._publish()

    async def _start_vm(self, vm):
        key = {'key_id': 'k', 'secret': 's' * 32, 'issuing': True}
        changes = {'ticket_keys': [key]}
        if vm == 'vm1' and self.counted:
            proxy = self.fleet.standins['vm1-peers']
            changes['peer_address'] = f'{proxy.host}:{proxy.port}'
        settings = _router.make_settings(self.fleet, vm, **changes)
        daemon = await self.fleet.start_daemon(settings)
        await self._set_proxy_target(f'{vm}-callers', daemon.callers.port)
        if vm == 'vm1':
            await self._set_proxy_target('vm1-peers', daemon.peers.port)

    async def _set_proxy_target(self, name, port):
        proxy = self.fleet.standins[name]
        await self.fleet.control_proxy(proxy, target_port=port)

    async def _publish(self):
        address = self.fleet.standins['s1-server' if self.counted else 's1']
        server = ('s1', address, _router.SERVICE, 'service')
        configuration = _router.make_configuration([server], defaults=LIMITS)
        route = {'method': 'POST', 'repeatable': True, 'path_prefix': '/free'}
        configuration['services'][0]['routes'] = [route]
        await self.fleet.publish_config(configuration)
        await self.fleet.publish_vms()
        for daemon in self.fleet.daemons.values():
            process = daemon.process
            await _fleet.until(lambda p=process: 'E3001' in p.stderr)

    def _callers_of(self, vm):
        if self.counted:
            return self.fleet.standins[f'{vm}-callers']
        return self.fleet.daemons[vm].callers

    async def direct(self, name):
        """Call the service directly, without the router."""
        address = self.fleet.standins['s1-server' if self.counted else 's1']
        await self._order(address, f'/orders/{name}')

    async def repeatable(self, name):
        """Make an idempotent call through the router."""
        path = f'/services/{SERVICE}/free/{name}'
        await self._order(self._callers_of('vm1'), path)

    async def at_issuer(self, name):
        """Request a ticket and use it at the VM that issued it."""
        await self._order_with_ticket(name, 'vm1')

    async def forwarded(self, name):
        """Request a ticket and use it at another VM, which forwards it."""
        await self._order_with_ticket(name, 'vm2')

    async def _order_with_ticket(self, name, vm):
        body = {'service': SERVICE, 'path': '/orders'}
        answer = await self.fleet.call(
            'POST', self._callers_of('vm1'), '/tickets', body, CALLER
        )
        headers = {'x-ticket': answer.json()['ticket']}
        path = f'/services/{SERVICE}/orders/{name}'
        await self._order(self._callers_of(vm), path, headers)

    async def _order(self, address, path, headers=None):
        headers = {**CALLER, **(headers or {})}
        answer = await self.fleet.call('POST', address, path, b'{}', headers)
        assert answer.status == 200, answer

    async def time(self, call, count):
        """Make calls one after another and return their times in ms."""
        for number in range(WARM_UP_CALLS):
            await call(f'w{number}')
        times_ms = []
        for number in range(count):
            start_s = time.perf_counter()
            await call(f't{number}')
            times_ms.append((time.perf_counter() - start_s) * 1000)
        return times_ms

    async def count_bytes(self, call, count):
        """Return the mean bytes per call on each kind of link."""
        before = await self._read_counts()
        for number in range(count):
            await call(f'b{number}')
        after = await self._read_counts()
        return {kind: (after[kind] - before[kind]) / count for kind in after}

    async def _read_counts(self):
        sums = {'callers': 0, 'peers': 0, 'server': 0}
        for name in PROXIES:
            proxy = self.fleet.standins[name]
            control = attrs.evolve(proxy, port=proxy.control_port)
            answer = await self.fleet.call('GET', control, '/counts')
            sums[name.split('-')[1]] += answer.json().get('bytes', 0)
        return sums


async def measure_calls(count):
    """Print time and bytes of each kind of call."""
    print(f'{count} calls of each kind, one after another')
    await _measure_with(_measure_times, count, counted=False)
    await _measure_with(_measure_bytes, count, counted=True)


async def _measure_with(measure, count, *, counted):
    fleet = _fleet.Fleet()
    await fleet.start()
    try:
        bench = Bench(fleet, counted=counted)
        await bench.start()
        calls = (bench.direct, bench.repeatable)
        for call in (*calls, bench.at_issuer, bench.forwarded):
            await measure(bench, call, count)
    except BaseException:
        print(fleet.read_logs())
        raise
    finally:
        await fleet.close()


async def _measure_times(bench, call, count):
    times_ms = await bench.time(call, count)
    median_ms = statistics.median(times_ms)
    p95_ms = statistics.quantiles(times_ms, n=20)[-1]
    print(f'{call.__name__}: median {median_ms:.2f} ms, p95 {p95_ms:.2f}')


async def _measure_bytes(bench, call, count):
    sizes = await bench.count_bytes(call, count)
    parts = [f'{kind} {size:.0f}' for kind, size in sizes.items()]
    print(f'{call.__name__}: bytes a call: {", ".join(parts)}')


def measure_records():
    """Print the memory of a ticket record when issued and when answered."""
    key = core.TicketKey(key_id='k', secret=b's' * 32)
    tracemalloc.start()
    keeper = core.TicketKeeper(
        vm='vm1',
        incarnation=INCARNATION,
        host='127.0.0.1',
        peer_port=7000,
        signer=core.TicketSigner((key,)),
        options=core.TicketOptions(limit_bytes=2**40),
    )
    start_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(RECORDS):
        _issue(keeper, number)
    _report(keeper, 'issued', start_bytes)
    for number in range(RECORDS):
        _answer(keeper, number)
    what = f'answered, body of {BODY_BYTES} bytes'
    _report(keeper, what, start_bytes)
    tracemalloc.stop()


def _issue(keeper, number):
    asked = core.TicketAsked(
        inbound=None,
        caller=f'workshop-{number}',
        serves=SERVICE,
        check_path=f'/services/{SERVICE}/orders',
    )
    keeper.handle(asked, number)


def _answer(keeper, number):
    keeper.handle(
        core.CallArrived(
            inbound=None,
            ticket=_make_ticket(number),
            caller=f'workshop-{number}',
            call_digest=core.digest_call('POST', f'/{number}', b''),
            deadline_ms=10**6,
            check_path=f'/services/{SERVICE}/orders',
        ),
        number,
    )
    # Each answer has its own copies of the header strings, as if they were
    # read from a connection.
    headers = tuple(
        (name.encode().decode(), value.encode().decode())
        for name, value in HEADERS
    )
    answer = core.ServerAnswer(
        status=201, headers=headers, body=bytes(BODY_BYTES)
    )
    event = core.AnswerArrived(
        ticket_id=_make_ticket(number).ticket_id, answer=answer
    )
    keeper.handle(event, number)


def _make_ticket(number):
    return core.Ticket(
        issuer='vm1',
        issuer_incarnation=INCARNATION,
        number=number + 1,
        host='127.0.0.1',
        peer_port=7000,
        serves=SERVICE,
        deadline_ms=number + 30000,
        lifetime_ms=30000,
    )


def _report(keeper, what, start_bytes):
    used_bytes = tracemalloc.get_traced_memory()[0] - start_bytes
    each_bytes = used_bytes / RECORDS
    counted_bytes = keeper.store.used_bytes / RECORDS
    print(
        f'record, {what}: {each_bytes:.0f} bytes, counted as '
        f'{counted_bytes:.0f}; by that count '
        f'{BUDGET_BYTES / counted_bytes:.0f} in 32 MB'
    )


def main():
    """Print the memory of records, then the cost of calls."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else CALLS
    measure_records()
    trio.run(measure_calls, count)


if __name__ == '__main__':
    main()
