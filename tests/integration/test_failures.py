import httpcore
import trio

from tests.integration import _fleet
from tests.integration import _small_fleet
from tests.integration import _vm_fleet


class TestKilledVms(_fleet.FleetTestCase):
    def test_grants_go_on_at_a_new_owner(self):
        self.run_fleet(self.check_new_owner)

    async def check_new_owner(self, fleet):
        await _vm_fleet.start(fleet)
        owner, second, third = _vm_fleet.rank()
        async with trio.open_nursery() as nursery:
            stream = await _vm_fleet.start_stream(
                fleet, nursery, third, tokens=250
            )
            fleet.process_of(owner).kill()
            taken_s = await _vm_fleet.measure_until(
                lambda: _vm_fleet.can_answer(fleet, second),
                what='a grant of the new owner',
            )
        print(f'scheduler killed, first new grant after {taken_s:.2f} s')
        self.assertLess(taken_s, _vm_fleet.GOAL_S)
        self.assertTrue(stream.whole)

    def test_without_probes_no_new_owner_comes(self):
        self.run_fleet(self.check_no_owner)

    async def check_no_owner(self, fleet):
        await _vm_fleet.start(fleet, off=('probes', 'cautious-share'))
        owner, second, _ = _vm_fleet.rank()
        fleet.process_of(owner).kill()
        self.assertTrue(
            await _vm_fleet.never(
                lambda: _vm_fleet.can_answer(fleet, second),
                seconds=_vm_fleet.GOAL_S,
            )
        )

    def test_memory_of_a_killed_gateway_is_freed(self):
        self.run_fleet(self.check_gateway_killed)

    async def check_gateway_killed(self, fleet):
        await _vm_fleet.start(fleet)
        await self.kill_gateway(fleet)
        taken_s = await _vm_fleet.measure_until(
            lambda: _vm_fleet.is_free(fleet), what='free engine memory'
        )
        print(f'gateway killed, engine memory free after {taken_s:.2f} s')
        self.assertLess(taken_s, _vm_fleet.GOAL_S)

    def test_without_its_cancel_the_memory_stays_held(self):
        self.run_fleet(self.check_no_gateway_cancel)

    async def check_no_gateway_cancel(self, fleet):
        await _vm_fleet.start(fleet, off=('gateway-cancel',))
        await self.kill_gateway(fleet)
        self.assertTrue(
            await _vm_fleet.never(
                lambda: _vm_fleet.is_free(fleet), seconds=2 * _vm_fleet.GOAL_S
            )
        )

    async def kill_gateway(self, fleet):
        gateway = _vm_fleet.rank()[-1]
        async with trio.open_nursery() as nursery:
            await _vm_fleet.start_stream(fleet, nursery, gateway, tokens=2000)
            self.assertEqual(1, len(await _vm_fleet.held_ids(fleet)))
            fleet.process_of(gateway).kill()

    def test_strays_are_cancelled_when_both_are_killed(self):
        self.run_fleet(self.check_both_killed)

    async def check_both_killed(self, fleet):
        await _vm_fleet.start(fleet)
        await self.kill_both(fleet)
        taken_s = await _vm_fleet.measure_until(
            lambda: _vm_fleet.is_free(fleet), what='free engine memory'
        )
        print(f'both killed, engine memory free after {taken_s:.2f} s')

    def test_without_the_search_for_strays_the_memory_stays_held(self):
        self.run_fleet(self.check_no_stray_cancel)

    async def check_no_stray_cancel(self, fleet):
        await _vm_fleet.start(fleet, off=('stray-cancel',))
        await self.kill_both(fleet)
        self.assertTrue(
            await _vm_fleet.never(lambda: _vm_fleet.is_free(fleet), seconds=8)
        )

    async def kill_both(self, fleet):
        owner, _, gateway = _vm_fleet.rank()
        async with trio.open_nursery() as nursery:
            await _vm_fleet.start_stream(fleet, nursery, gateway, tokens=5000)
            fleet.process_of(gateway).kill()
            fleet.process_of(owner).kill()


class TestRegistration(_fleet.FleetTestCase):
    def test_streams_outlive_their_scheduler(self):
        self.run_fleet(self.check_streams_live)

    async def check_streams_live(self, fleet):
        self.assertEqual(0, await self.count_breaks(fleet, off=()))

    def test_without_registration_a_new_owner_cuts_them_off(self):
        self.run_fleet(self.check_streams_cut)

    async def check_streams_cut(self, fleet):
        off = ('registrations',)
        self.assertGreater(await self.count_breaks(fleet, off=off), 0)

    async def count_breaks(self, fleet, *, off):
        """Return how often an engine dropped a live request."""
        await _vm_fleet.start(fleet, off=off)
        owner, _, third = _vm_fleet.rank()
        async with trio.open_nursery() as nursery:
            stream = await _vm_fleet.start_stream(
                fleet, nursery, third, tokens=400
            )
            fleet.process_of(owner).kill()
        # A resume may hide the break from the caller, not from the log.
        self.assertTrue(stream.whole)
        return fleet.process_of(third).stderr.count(' E5001 ')


class TestFrozenVm(_fleet.FleetTestCase):
    def test_woken_owner_sends_nothing_from_its_old_picture(self):
        self.run_fleet(self.check_woken)

    async def check_woken(self, fleet):
        self.assertEqual(0, await self.count_oversold(fleet, off=()))

    def test_without_pause_detection_it_oversells(self):
        self.run_fleet(self.check_oversold)

    async def check_oversold(self, fleet):
        off = ('pause-detection',)
        self.assertGreater(await self.count_oversold(fleet, off=off), 0)

    async def count_oversold(self, fleet, *, off):
        """Return how often a woken owner's grant met a full engine."""
        await _vm_fleet.start(fleet, off=off, engines={'total_pieces': 3})
        owner, second, third = _vm_fleet.rank()
        fleet.process_of(owner).freeze()
        await _fleet.until(
            lambda: _vm_fleet.sees(fleet, third, 'dead', (owner,))
        )
        async with trio.open_nursery() as nursery:
            for number in range(3):
                await _vm_fleet.start_stream(
                    fleet,
                    nursery,
                    third,
                    tokens=300,
                    request_id=f'long-{number}',
                )
            fleet.process_of(owner).thaw()
            await _fleet.until(
                lambda: _vm_fleet.sees(fleet, second, 'alive', (owner,))
            )
            answer = await _small_fleet.ask(fleet, owner, max_tokens=1)
        # A retry may hide it from the caller, not from the log.
        self.assertEqual(200, answer.status)
        log = fleet.process_of(owner).stderr
        return log.count('refused at backend server')


class TestPlannedStop(_fleet.FleetTestCase):
    def test_rolling_replacement_cuts_off_no_stream(self):
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
                # The balancer lags: new work still comes.
                late = await _small_fleet.ask(fleet, vm, max_tokens=1)
                self.assertEqual(200, late.status)
            self.assertTrue(all(stream.whole for stream in streams))
            self.assertEqual(0, await process.wait())
            await _vm_fleet.start_vm(fleet, vm)
            await fleet.publish_vms()
            await _fleet.until(
                lambda vm=vm: _vm_fleet.sees(fleet, vm, 'alive', _vm_fleet.VMS)
            )
            await _fleet.until(lambda vm=vm: _vm_fleet.can_answer(fleet, vm))

    def test_without_the_lag_new_work_is_cut_off(self):
        self.run_fleet(self.check_no_lag)

    async def check_no_lag(self, fleet):
        await _vm_fleet.start(fleet, off=('balancer-lag',))
        process = fleet.process_of('vm1')
        process.terminate()
        self.assertEqual(0, await process.wait())
        with self.assertRaises(httpcore.ConnectError):
            await _small_fleet.ask(fleet, 'vm1', max_tokens=1)


async def is_unready(fleet, address):
    answer = await fleet.call('GET', address, '/readyz')
    return answer.status == 503
