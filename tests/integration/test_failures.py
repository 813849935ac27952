import json

import httpcore
import trio

from tests.integration import _fleet
from tests.integration import _small_fleet
from tests.integration import _vm_fleet

LONG_LAG_MS = 5000
"""Age of the engine state in load reports, in ms.

This exceeds the time that a test needs to fill an engine, so that load reports
do not show the engine as full yet.
"""

QUEUED_REQUESTS = 4
"""Number of requests sent to a paused VM, above the engine's memory blocks."""

FOUR_VMS = ('vm1', 'vm2', 'vm3', 'vm4')


class TestKilledVms(_fleet.FleetTestCase):
    def test_a_new_owner_grants_permits(self):
        self.run_fleet(self.check_new_owner)

    async def check_new_owner(self, fleet):
        await _vm_fleet.start(fleet)
        owner, second, third = _vm_fleet.rank_owners()
        async with trio.open_nursery() as nursery:
            stream = await _vm_fleet.start_stream(
                fleet, nursery, third, tokens=250
            )
            fleet.process_of(owner).kill()
            elapsed_s = await _vm_fleet.measure_until(
                lambda: _vm_fleet.can_answer(fleet, second),
                what='a grant of the new owner',
            )
        print(f'scheduler killed, first new grant after {elapsed_s:.2f} s')
        self.assertLess(elapsed_s, _vm_fleet.RECOVERY_LIMIT_S)
        self.assertTrue(stream.whole)

    def test_without_probes_no_new_owner_takes_over(self):
        self.run_fleet(self.check_no_owner)

    async def check_no_owner(self, fleet):
        await _vm_fleet.start(
            fleet, disabled_mechanisms=('probes', 'cautious-share')
        )
        owner, second, _ = _vm_fleet.rank_owners()
        fleet.process_of(owner).kill()
        self.assertTrue(
            await _vm_fleet.stays_false(
                lambda: _vm_fleet.can_answer(fleet, second),
                seconds=_vm_fleet.RECOVERY_LIMIT_S,
            )
        )

    def test_memory_of_a_killed_gateway_is_freed(self):
        self.run_fleet(self.check_gateway_killed)

    async def check_gateway_killed(self, fleet):
        await _vm_fleet.start(fleet)
        await self.kill_gateway(fleet)
        elapsed_s = await _vm_fleet.measure_until(
            lambda: _vm_fleet.is_memory_free(fleet), what='free engine memory'
        )
        print(f'gateway killed, engine memory free after {elapsed_s:.2f} s')
        self.assertLess(elapsed_s, _vm_fleet.RECOVERY_LIMIT_S)

    def test_without_gateway_cancel_the_memory_stays_held(self):
        self.run_fleet(self.check_no_gateway_cancel)

    async def check_no_gateway_cancel(self, fleet):
        await _vm_fleet.start(fleet, disabled_mechanisms=('gateway-cancel',))
        await self.kill_gateway(fleet)
        self.assertTrue(
            await _vm_fleet.stays_false(
                lambda: _vm_fleet.is_memory_free(fleet),
                seconds=2 * _vm_fleet.RECOVERY_LIMIT_S,
            )
        )

    async def kill_gateway(self, fleet):
        gateway = _vm_fleet.rank_owners()[-1]
        async with trio.open_nursery() as nursery:
            await _vm_fleet.start_stream(fleet, nursery, gateway, tokens=2000)
            self.assertEqual(1, len(await _vm_fleet.read_running_ids(fleet)))
            fleet.process_of(gateway).kill()

    def test_orphaned_requests_of_killed_vms_are_cancelled(self):
        self.run_fleet(self.check_both_killed)

    async def check_both_killed(self, fleet):
        await _vm_fleet.start(fleet, vms=FOUR_VMS)
        await self.kill_both(fleet)
        elapsed_s = await _vm_fleet.measure_until(
            lambda: _vm_fleet.is_memory_free(fleet), what='free engine memory'
        )
        print(f'both killed, engine memory free after {elapsed_s:.2f} s')

    def test_without_orphan_cancel_the_memory_stays_held(self):
        self.run_fleet(self.check_no_orphan_cancel)

    async def check_no_orphan_cancel(self, fleet):
        await _vm_fleet.start(
            fleet, vms=FOUR_VMS, disabled_mechanisms=('stray-cancel',)
        )
        await self.kill_both(fleet)
        self.assertTrue(
            await _vm_fleet.stays_false(
                lambda: _vm_fleet.is_memory_free(fleet), seconds=8
            )
        )

    async def kill_both(self, fleet):
        owner, *_, gateway = _vm_fleet.rank_owners(FOUR_VMS)
        async with trio.open_nursery() as nursery:
            await _vm_fleet.start_stream(fleet, nursery, gateway, tokens=5000)
            fleet.process_of(gateway).kill()
            fleet.process_of(owner).kill()


class TestRegistration(_fleet.FleetTestCase):
    def test_streams_survive_their_scheduler(self):
        self.run_fleet(self.check_streams_survive)

    async def check_streams_survive(self, fleet):
        self.assertEqual(
            [], await self.find_cancelled(fleet, disabled_mechanisms=())
        )

    def test_without_registration_a_new_owner_cancels_streams(self):
        self.run_fleet(self.check_streams_cut)

    async def check_streams_cut(self, fleet):
        # The answer is still complete, as the request is run a second time.
        cancelled = await self.find_cancelled(
            fleet, disabled_mechanisms=('registrations',)
        )
        self.assertNotEqual([], cancelled)

    async def find_cancelled(self, fleet, *, disabled_mechanisms):
        await _vm_fleet.start(fleet, disabled_mechanisms=disabled_mechanisms)
        owner, _, third = _vm_fleet.rank_owners()
        async with trio.open_nursery() as nursery:
            stream = await _vm_fleet.start_stream(
                fleet, nursery, third, tokens=400
            )
            held = await _vm_fleet.read_running_ids(fleet)
            self.assertEqual(1, len(held))
            fleet.process_of(owner).kill()
        self.assertTrue(stream.whole)
        cancelled = (await fleet.state('d1'))['cancelled_ids']
        # Ignore requests from start-up, when VMs did not know each other yet.
        return sorted(set(held) & set(cancelled))


class TestFrozenVm(_fleet.FleetTestCase):
    def test_resumed_owner_grants_nothing_from_stale_state(self):
        self.run_fleet(self.check_resumed)

    async def check_resumed(self, fleet):
        statuses, refused_count = await self.call_resumed_owner(
            fleet, disabled_mechanisms=()
        )
        self.assertEqual(({200}, 0), (statuses, refused_count))

    def test_without_pause_detection_a_resumed_owner_overcommits_engines(self):
        self.run_fleet(self.check_overcommitted)

    async def check_overcommitted(self, fleet):
        # A retry may still get an answer, so the status does not matter.
        _, refused_count = await self.call_resumed_owner(
            fleet, disabled_mechanisms=('pause-detection',)
        )
        self.assertGreater(refused_count, 0)

    async def call_resumed_owner(self, fleet, *, disabled_mechanisms):
        """Send requests to an owner that is paused while an engine fills.

        Return the set of their statuses, and how often the resumed owner's
        permits were refused by a full engine.
        """
        await _vm_fleet.start(
            fleet,
            disabled_mechanisms=disabled_mechanisms,
            engines={'total_pieces': 3},
        )
        owner, _, third = _vm_fleet.rank_owners()
        fleet.process_of(owner).pause()
        await _fleet.until(
            lambda: _vm_fleet.logs_state(fleet, third, 'dead', (owner,))
        )
        await _fleet.until(lambda: _vm_fleet.can_answer(fleet, third))
        # From here on, load reports are too old to show new permits.
        await fleet.control('d1', load_lag_ms=LONG_LAG_MS)
        async with trio.open_nursery() as nursery:
            for number in range(3):
                await _vm_fleet.start_stream(
                    fleet,
                    nursery,
                    third,
                    tokens=300,
                    request_id=f'long-{number}',
                )
            # The paused owner finds these requests when it resumes.
            streams = [
                await send_request(fleet, owner)
                for _ in range(QUEUED_REQUESTS)
            ]
            fleet.process_of(owner).resume()
        statuses = {await read_status(stream) for stream in streams}
        log = fleet.process_of(owner).stderr
        return statuses, log.count('refused at backend server')


class TestCutOffVm(_fleet.FleetTestCase):
    def test_both_sides_serve_and_rejoin(self):
        self.run_fleet(self.check_cut)

    async def check_cut(self, fleet):
        await _vm_fleet.start_behind_proxies(fleet)
        streams = await self.serve_while_cut(fleet)
        self.assertEqual([True, True], [each.whole for each in streams])
        self.assertEqual(0, self.count_broken_streams(fleet))
        await _vm_fleet.heal(fleet)
        for vm in _vm_fleet.VMS:
            await _fleet.until(
                lambda vm=vm: _vm_fleet.logs_state(
                    fleet, vm, 'alive', _vm_fleet.VMS
                )
            )
            self.assertTrue(await _vm_fleet.can_answer(fleet, vm))
        await _fleet.until(lambda: _vm_fleet.is_memory_free(fleet))

    def test_without_minority_wait_a_cut_off_vm_breaks_majority_streams(self):
        self.run_fleet(self.check_no_wait)

    async def check_no_wait(self, fleet):
        await _vm_fleet.start_behind_proxies(
            fleet, disabled_mechanisms=('minority-wait',)
        )
        await self.serve_while_cut(fleet)
        self.assertGreater(self.count_broken_streams(fleet), 0)

    def count_broken_streams(self, fleet):
        """Return how often a stream of a VM in the majority broke."""
        _, second, _ = _vm_fleet.rank_owners()
        return fleet.process_of(second).stderr.count(' E5001 ')

    def test_vm_resumed_while_cut_off_serves_from_a_cautious_share(self):
        self.run_fleet(self.check_share)

    async def check_share(self, fleet):
        await _vm_fleet.start_behind_proxies(fleet)
        self.assertEqual(200, await self.call_resumed_alone(fleet))
        self.assertIn(' E4005 ', fleet.process_of('vm3').stderr)

    def test_without_cautious_share_a_vm_resumed_while_cut_off_cannot_serve(
        self,
    ):
        self.run_fleet(self.check_no_share)

    async def check_no_share(self, fleet):
        await _vm_fleet.start_behind_proxies(
            fleet, disabled_mechanisms=('cautious-share',)
        )
        self.assertEqual(504, await self.call_resumed_alone(fleet))

    async def call_resumed_alone(self, fleet):
        process = fleet.process_of('vm3')
        process.pause()
        await _vm_fleet.cut_off(fleet, 'vm3')
        await _fleet.until(
            lambda: _vm_fleet.logs_state(fleet, 'vm1', 'dead', ('vm3',))
        )
        process.resume()
        await _fleet.until(lambda: ' E2004 ' in process.stderr)
        headers = {'x-request-timeout-ms': '8000'}
        answer = await _small_fleet.complete(
            fleet, 'vm3', max_tokens=1, headers=headers
        )
        return answer.status

    async def serve_while_cut(self, fleet):
        owner, second, third = _vm_fleet.rank_owners()
        async with trio.open_nursery() as nursery:
            streams = [
                await _vm_fleet.start_stream(
                    fleet, nursery, vm, tokens=300, request_id=vm
                )
                for vm in (second, third)
            ]
            await _vm_fleet.cut_off(fleet, third)
            await _fleet.until(
                lambda: _vm_fleet.logs_state(
                    fleet, third, 'dead', (owner, second)
                )
            )
            for vm in _vm_fleet.VMS:
                self.assertTrue(await _vm_fleet.can_answer(fleet, vm))
        return streams


class TestPlannedStop(_fleet.FleetTestCase):
    def test_rolling_restart_breaks_no_stream(self):
        self.run_fleet(self.check_rolling, timeout_s=90)

    async def check_rolling(self, fleet):
        await _vm_fleet.start(fleet)
        for vm in _vm_fleet.VMS:
            async with trio.open_nursery() as nursery:
                streams = [
                    await _vm_fleet.start_stream(
                        fleet, nursery, each, tokens=150, request_id=each
                    )
                    for each in _vm_fleet.VMS
                ]
                process = fleet.process_of(vm)
                process.terminate()
                address = fleet.daemons[vm].callers
                await _fleet.until(lambda a=address: is_unready(fleet, a))
                # The load balancer still sends new requests for a while.
                late = await _small_fleet.complete(fleet, vm, max_tokens=1)
                self.assertEqual(200, late.status)
            self.assertTrue(all(stream.whole for stream in streams))
            self.assertEqual(0, await process.wait())
            await _vm_fleet.start_vm(fleet, vm)
            await fleet.publish_vms()
            await _fleet.until(
                lambda vm=vm: _vm_fleet.logs_state(
                    fleet, vm, 'alive', _vm_fleet.VMS
                )
            )
            await _fleet.until(lambda vm=vm: _vm_fleet.can_answer(fleet, vm))

    def test_without_balancer_lag_new_requests_are_refused(self):
        self.run_fleet(self.check_no_lag)

    async def check_no_lag(self, fleet):
        await _vm_fleet.start(fleet, disabled_mechanisms=('balancer-lag',))
        process = fleet.process_of('vm1')
        process.terminate()
        self.assertEqual(0, await process.wait())
        with self.assertRaises(httpcore.ConnectError):
            await _small_fleet.complete(fleet, 'vm1', max_tokens=1)


async def send_request(fleet, vm):
    """Send a request without waiting for its answer."""
    body = json.dumps(
        {'model': 'atelier-llm', 'prompt': 'a lost wig', 'max_tokens': 1}
    )
    callers = fleet.daemons[vm].callers
    stream = await trio.open_tcp_stream(callers.host, callers.port)
    head = (
        'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
        f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    await stream.send_all((head + body).encode())
    return stream


async def read_status(stream):
    """Read an answer from a connection and return its status."""
    answer = b''
    async with stream:
        while b'\r\n\r\n' not in answer:
            answer += await stream.receive_some()
    return int(answer.split()[1])


async def is_unready(fleet, address):
    answer = await fleet.call('GET', address, '/readyz')
    return answer.status == 503
