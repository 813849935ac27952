"""Prefill workers spoil a byte of some of their answers."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import deployment as site  # noqa: E402
import engines  # noqa: E402

STREAMS_PER_S = 9.1
CALLS_PER_S = 35.9
"""Streams, and reads and filings, a second on the sheet of lanhu-prod."""

CALLERS_PER_VM = 12
"""Clients that keep their channels."""

LENGTH_S = 50.0
SPOILED_SHARE = 0.02
"""Share of the answers of a garbling worker that it spoils."""

LOST_MAX = 3
"""Requests from kept channels that may be lost (LOST, "At any time")."""


class Case:
    """One run: what was sent, and what became of it."""

    def __init__(self, record):
        self.record = record
        self.place = site.Deployment(record, vm_count=2, memory_mb=300)
        self.unanswered = []
        self.counts = {}

    async def run(self):
        """Return whether the rule held."""
        place = self.place
        await place.store.start()
        self.configure()
        handles = {}
        for stage, count in (('prefill', 4), ('decode', 5)):
            for number in range(1, count + 1):
                place.make_worker(
                    f'i-{stage}-{number}',
                    'caseread',
                    make=engines.Engine,
                    stage=stage,
                    handles=handles,
                )
        for number in range(1, 4):
            place.make_worker(f'i-{number}', 'ledger', work_s=0.045)
        await place.start_workers()
        await place.start_vms()
        self.record.note('all VMs are ready')
        if site.has_trouble():
            # Two of four prefill workers.
            for worker in place.workers[:2]:
                worker.spoiled_share = SPOILED_SHARE
        callers = [
            asyncio.create_task(self.keep_calling(vm, number))
            for vm in place.vms
            for number in range(CALLERS_PER_VM)
        ]
        tasks = []
        for number in range(int(STREAMS_PER_S * LENGTH_S)):
            vm = place.vms[number % len(place.vms)]
            tasks.append(asyncio.create_task(self.stream(vm, f's-{number}')))
            await asyncio.sleep(1 / STREAMS_PER_S)
        for task in callers:
            task.cancel()
        await asyncio.gather(*tasks)
        return self.judge()

    def configure(self):
        """Write the operator's configuration."""
        self.place.write_configuration(
            1,
            [
                site.make_route('/read/', 'safe', 'ledger'),
                site.make_route('/file/', 'unsafe', 'ledger'),
                site.make_route(
                    '/part/',
                    'stream',
                    'caseread',
                    timeoutMs=14000,
                    targetLatencyMs=900,
                    gapAimMs=300,
                    maxAttempts=1,
                    sessionAffinity=True,
                    resumable=False,
                ),
            ],
            [
                {'name': 'ledger', 'healthPath': '/h', 'maxConnections': 96},
                {
                    'name': 'caseread',
                    'healthPath': '/h',
                    'maxConnections': 290,
                    'engine': {
                        'slots': 48,
                        'kvTokens': 35962,
                        'kvHoldS': 0.5,
                    },
                },
            ],
        )

    def judge(self):
        """Return whether the rule held."""
        lost = [
            (request_id, worker.name)
            for request_id in self.unanswered
            for worker in self.place.workers
            if request_id in worker.run_ids
        ]
        ends = {vm.name: len(vm.own_ends) for vm in self.place.vms}
        self.record.note(f'answers by status: {self.counts}')
        self.record.note(f'processes that ended by themselves: {ends}')
        self.record.note(f'passed on to a sound worker, no answer: {lost}')
        return len(lost) <= LOST_MAX

    def note(self, vm, request_id, status, error=''):
        """Note what a client got."""
        self.record.note(f'{request_id}: {status or error}')
        self.counts[status] = self.counts.get(status, 0) + 1
        if not status and vm.was_in_touch:
            self.unanswered.append(request_id)

    async def keep_calling(self, vm, number):
        """Send requests on a kept channel, one after the other."""
        client = None
        sent = 0
        pause_s = CALLERS_PER_VM * len(self.place.vms) / CALLS_PER_S
        await asyncio.sleep(pause_s * number / CALLERS_PER_VM)
        while True:
            sent += 1
            request_id = f'{vm.name}-{number}-{sent}'
            method, path = ('POST', '/file/x')
            if sent % 3 == 0:
                method, path = ('GET', '/read/x')
            try:
                if client is None:
                    client = await site.Client.open(vm.host, vm.front_port)
                answer = await client.call(
                    method, path, request_id, deadline_ms=2500
                )
            except OSError as error:
                answer = site.Answer(error=repr(error))
            self.note(vm, request_id, answer.status, answer.error)
            if not answer.status and client is not None:
                client.close()
                client = None
            await asyncio.sleep(pause_s)

    async def stream(self, vm, request_id):
        """Ask for one stream on a kept channel and read what comes."""
        lines = [
            'POST /part/x HTTP/1.1',
            f'Host: {site.HOST}',
            f'X-Request-Attempt-Id: {request_id}',
            'X-Deadline-Ms: 14000',
            'X-Model: m',
            'X-Token-Count: 3000,1280',
            f'X-Prompt-Prefix: {abs(hash(request_id)):x}:3000',
            'Content-Length: 12',
        ]
        data = b''
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                vm.host, vm.front_port
            )
            writer.write(
                ('\r\n'.join(lines) + '\r\n\r\nsummarise it').encode()
            )
            while not data.endswith(b'0\r\n\r\n'):
                piece = await reader.read(65536)
                data += piece
                if not piece or b'\r\ncontent-length' in data.lower():
                    break
            writer.close()
        status = int(data.split()[1]) if data else 0
        self.note(vm, request_id, status, 'the channel was closed')


async def main(record):
    """Run the case; return whether the rule held."""
    case = Case(record)
    try:
        return await case.run()
    finally:
        await case.place.close()


site.run_case(main, FOLDER)
