"""Sends orders with tickets to daemon processes while injecting faults.

Each order's answers are then checked against the service's ledger of runs.
"""

import collections
import random
import time

import attrs
import trio

from tests.integration import _fleet
from tests.integration import _router

SERVICE = _router.SERVICE
CALLER = {'x-caller-id': 'workshop-12'}
VMS = ('vm1', 'vm2', 'vm3')
KEY = {'key_id': 'k1', 'secret': 's' * 32, 'issuing': True}

LIFETIME_MS = 1500
CALLER_TIMEOUT_MS = 1200
# The service works this long before and again after it records a run.
RUN_MS = 80
ORDERS_PER_FAULT = 6
# First attempts are spread over this time; the fault starts halfway through.
SPREAD_S = 0.3
# Slightly longer than the daemon's timeout for handing records over.
HAND_OVER_TIMEOUT_S = 2.2

FAULTS = (
    'none',
    'kill',
    'freeze',
    'cut peers',
    'drop the request',
    'drop the answer',
    'stop',
    'stop, acknowledgement lost',
    'stop, then kill',
    'stop, kill a peer',
)


@attrs.define(kw_only=True)
class Order:
    """One order of a caller, with the outcome of each of its attempts."""

    order_id: str
    fault: str
    ticket: str
    sent: bool = False
    outcomes: list = attrs.Factory(list)


class Workload:
    """Sends orders to three VMs, whose peer traffic goes through proxies.

    The same seed gives the same order of faults and the same offsets between
    a fault and the attempts around it.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.orders = []
        self._rng = random.Random(seed)

    async def start(self):
        fleet = self.fleet
        proxy = {'kind': 'proxy', 'forwards_udp': True}
        proxies = [{**proxy, 'name': f'{vm}-peers'} for vm in VMS]
        service = {'kind': 'service', 'name': 's1', 'slots': 1000}
        service['before_run_ms'] = service['after_run_ms'] = RUN_MS
        await fleet.start_standins([{'kind': 'platform'}, service, *proxies])
        target = fleet.standins['s1'].port
        await fleet.start_standins(
            [{'kind': 'proxy', 'name': 's1-proxy', 'target_port': target}]
        )
        server = ('s1', fleet.standins['s1-proxy'], _router.SERVICE, 'service')
        await fleet.publish_config(_router.make_configuration([server]))
        async with trio.open_nursery() as nursery:
            for vm in VMS:
                nursery.start_soon(self.start_vm, vm)
        await fleet.publish_vms()

    async def start_vm(self, vm):
        proxy = self.fleet.standins[f'{vm}-peers']
        settings = _router.make_settings(
            self.fleet,
            vm,
            peer_address=f'{proxy.host}:{proxy.port}',
            balancer_lag_ms=1,
            ticket_keys=[KEY],
            ticket_lifetime_timeout_ms=LIFETIME_MS,
        )
        daemon = await self.fleet.start_daemon(settings)
        await self.fleet.control_proxy(proxy, target_port=daemon.peers.port)
        await _fleet.until(lambda: self._ready(daemon))

    async def _ready(self, daemon):
        answer = await self.fleet.call('GET', daemon.callers, '/readyz')
        return answer.status == 200

    async def run(self):
        """Inject every fault once, in random order."""
        faults = list(FAULTS)
        self._rng.shuffle(faults)
        for fault in faults:
            await self._run_fault(fault)

    async def _run_fault(self, fault):
        victim, other = self._rng.sample(VMS, 2)
        orders = [
            await self._make_order(victim, fault, number)
            for number in range(ORDERS_PER_FAULT)
        ]
        self.orders += orders
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject, fault, victim, other)
            for order in orders:
                offset_s = self._rng.uniform(0, SPREAD_S)
                for vm in self._rng.sample(VMS, 2):
                    nursery.start_soon(self._attempt, order, vm, offset_s)
        await self._repair()
        for order in orders:
            await self._attempt(order, self._rng.choice(VMS))

    async def _make_order(self, vm, fault, number):
        question = {'service': SERVICE, 'path': '/orders'}
        callers = self.fleet.daemons[vm].callers
        answer = await self.fleet.call(
            'POST', callers, '/tickets', question, CALLER
        )
        assert answer.status == 201, answer
        ticket = answer.json()['ticket']
        order_id = f'{fault}-{number}'
        return Order(order_id=order_id, fault=fault, ticket=ticket)

    async def _attempt(self, order, vm, offset_s=0.0):
        await _wait(offset_s)
        headers = {**CALLER, 'x-ticket': order.ticket}
        headers['x-request-timeout-ms'] = str(CALLER_TIMEOUT_MS)
        order.sent = True
        try:
            answer = await self.fleet.call(
                'POST',
                self.fleet.daemons[vm].callers,
                f'/services/{SERVICE}/orders',
                {'order_id': order.order_id},
                headers,
            )
        except Exception as error:
            order.outcomes.append(('no answer', type(error).__name__))
            return
        kind = ''
        if 'error' in answer.json():
            kind = answer.json()['error']['kind']
        order.outcomes.append((answer.headers['x-run'], kind))

    async def _inject(self, fault, victim, other):
        process = self.fleet.daemons[victim].process
        await _wait(SPREAD_S / 2)
        if fault == 'kill':
            process.kill()
        elif fault == 'freeze':
            process.pause()
            await _wait((LIFETIME_MS + CALLER_TIMEOUT_MS) / 1000)
            process.resume()
        elif fault == 'cut peers':
            await self._set_rule(f'{victim}-peers', cut=True)
        elif fault == 'drop the request':
            await self._set_rule('s1-proxy', stall=True)
            await _wait(SPREAD_S)
            await self._set_rule('s1-proxy', cut=True)
        elif fault == 'drop the answer':
            await self._set_rule('s1-proxy', stall_answers=True)
            await _wait(SPREAD_S + 2 * RUN_MS / 1000)
            await self._set_rule('s1-proxy', cut=True)
        elif fault.startswith('stop'):
            await self._stop(fault, victim, other)

    async def _stop(self, fault, victim, other):
        process = self.fleet.daemons[victim].process
        peers = [f'{vm}-peers' for vm in VMS if vm != victim]
        if fault == 'stop, acknowledgement lost':
            for name in peers:
                await self._set_rule(name, stall_answers=True)
        process.terminate()
        if fault == 'stop, acknowledgement lost':
            # The issuer sends its records to one peer, times out and sends
            # them to the next.
            await _wait(HAND_OVER_TIMEOUT_S)
            for name in peers:
                await self._set_rule(name, cut=True)
                await self._set_rule(name)
        elif fault == 'stop, then kill':
            await _wait(RUN_MS / 1000)
            process.kill()
        elif fault == 'stop, kill a peer':
            self.fleet.daemons[other].process.kill()
        await process.wait()

    async def _set_rule(self, proxy, **rule):
        await self.fleet.set_rules(proxy, {'*': rule})

    async def _repair(self):
        for name in self.fleet.standins:
            if name.endswith(('-peers', '-proxy')):
                await self.fleet.set_rules(name, {})
        for vm in VMS:
            if self.fleet.daemons[vm].process.exit_code is not None:
                await self.start_vm(vm)
        await self.fleet.publish_vms()

    async def check_outcomes(self):
        """Return outcomes that contradict the ledger, and event counts."""
        answer = await self.fleet.call(
            'GET', self.fleet.standins['s1'], '/ledger'
        )
        runs = answer.json()['runs']
        violations = []
        counts = collections.Counter()
        for order in self.orders:
            count = runs.get(order.order_id, 0)
            reported = {run for run, _ in order.outcomes}
            if count > 1:
                violations.append(('second run', order, count))
            if 'not-run' in reported and count:
                violations.append(('false not run', order, count))
            if 'done' in reported and not count:
                violations.append(('false done', order, count))
            counts[order.fault, 'orders'] += 1
            counts[order.fault, 'runs'] += count
            for run, _ in order.outcomes:
                counts[order.fault, run] += 1
            settled = reported & {'done', 'not-run'}
            counts[order.fault, 'not settled'] += not settled
        return violations, counts


async def _wait(duration_s):
    end_s = time.monotonic() + duration_s
    await _fleet.until(lambda: time.monotonic() >= end_s)
