"""A worker crashes while the store also holds an entry of another writer."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import deployment as site  # noqa: E402

FOREIGN_ADDRESS = f'{"5f" * 32}:8080'
"""The name of a container in place of an IP address."""

CRASHES = 8
CRASH_PAUSE_S = 8.0
"""Longer than `contactMs` and a restart: the VMs are in touch again."""

CALLERS_PER_VM = 8
LOST_MAX = 3
"""Requests from kept channels that may be lost (LOST, "At any time")."""


class Case:
    """One run: what was sent, and what became of it."""

    def __init__(self, record):
        self.record = record
        self.place = site.Deployment(record, vm_count=2)
        self.unanswered = []
        self.counts = {}

    async def run(self):
        """Return whether the rule held."""
        place = self.place
        await place.store.start()
        place.write_configuration(
            1,
            [
                site.make_route('/read/', 'safe', 'ledger'),
                site.make_route('/file/', 'unsafe', 'ledger'),
            ],
            [{'name': 'ledger', 'healthPath': '/h', 'maxConnections': 96}],
        )
        for number in range(1, 4):
            place.make_worker(f'i-{number}', 'ledger', work_s=0.045)
        await place.start_workers()
        if site.has_trouble():
            entry = place.workers[0].entry(
                service='other-system', address=FOREIGN_ADDRESS
            )
            place.store.put('servers/i-other', entry)
            self.record.note(f'another writer puts servers/i-other: {entry}')
        await place.start_vms()
        self.record.note('all VMs are ready')
        callers = [
            asyncio.create_task(self.keep_calling(vm, number))
            for vm in place.vms
            for number in range(CALLERS_PER_VM)
        ]
        for number in range(CRASHES):
            await asyncio.sleep(CRASH_PAUSE_S)
            await self.crash(place.workers[number % 3])
        await asyncio.sleep(3)
        for task in callers:
            task.cancel()
        return self.judge()

    def judge(self):
        """Return whether the rule held."""
        lost = [
            (request_id, worker.name)
            for request_id, crashed in self.unanswered
            for worker in self.place.workers
            if worker is not crashed and request_id in worker.run_ids
        ]
        ends = {vm.name: len(vm.own_ends) for vm in self.place.vms}
        self.record.note(f'answers by status: {self.counts}')
        self.record.note(f'processes that ended by themselves: {ends}')
        self.record.note(f'passed on to a sound worker, no answer: {lost}')
        return len(lost) <= LOST_MAX

    async def crash(self, worker):
        """Let a worker crash, and start again under its id."""
        self.record.note(f'{worker.name} crashes')
        self.crashed = worker
        worker.crash()
        await asyncio.sleep(1.0)
        worker.born_ms = site.read_unix_ms()
        await worker.start()
        self.place.write_entry(worker)
        self.record.note(f'{worker.name} is back')

    crashed = None

    async def keep_calling(self, vm, number):
        """Send requests on a kept channel, one after the other."""
        client = None
        sent = 0
        while True:
            sent += 1
            request_id = f'{vm.name}-{number}-{sent}'
            method, path = ('GET', '/read/x')
            if sent % 3 == 0:
                method, path = ('POST', '/file/x')
            try:
                if client is None:
                    client = await site.Client.open(vm.host, vm.front_port)
                answer = await client.call(
                    method, path, request_id, deadline_ms=2500
                )
            except OSError as error:
                answer = site.Answer(error=repr(error))
            self.record.note(
                f'{request_id} {method} {path}: '
                f'{answer.status or answer.error}'
            )
            self.counts[answer.status] = self.counts.get(answer.status, 0) + 1
            if not answer.status:
                if vm.was_in_touch:
                    self.unanswered.append((request_id, self.crashed))
                if client is not None:
                    client.close()
                client = None
                await asyncio.sleep(0.5)
            await asyncio.sleep(0.05)


async def main(record):
    """Run the case; return whether the rule held."""
    case = Case(record)
    try:
        return await case.run()
    finally:
        await case.place.close()


site.run_case(main, FOLDER)
