"""Handles lapse, and workers send second copies of answers, late."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import deployment as site  # noqa: E402
import engines  # noqa: E402

STREAMS_PER_S = 9.1
"""Streams a second on the sheet of papusi-ro."""

LENGTH_S = 65.0
TROUBLE_BEGINS_S = (5, 15, 25, 35, 45, 55)
GARBLE_S = 5.0
SHORT_S = 4.0
EXTRA_SHARE = 0.03
"""Share of the answers of a garbling worker that it sends twice."""


class Case:
    """One run: what was sent, and what became of it."""

    def __init__(self, record):
        self.record = record
        self.place = site.Deployment(record, vm_count=2)
        self.answers = {}

    async def run(self):
        """Return whether the rule held."""
        place = self.place
        await place.store.start()
        place.write_configuration(
            1,
            [
                site.make_route(
                    '/part/',
                    'stream',
                    'atelier',
                    timeoutMs=14000,
                    targetLatencyMs=900,
                    gapAimMs=300,
                    maxAttempts=1,
                    sessionAffinity=True,
                    resumable=False,
                )
            ],
            [
                {
                    'name': 'atelier',
                    'healthPath': '/h',
                    'maxConnections': 300,
                    'engine': {
                        'slots': 48,
                        'kvTokens': 35962,
                        'kvHoldS': 0.5,
                    },
                }
            ],
        )
        handles = {}
        for stage, count in (('prefill', 3), ('decode', 5)):
            for number in range(1, count + 1):
                place.make_worker(
                    f'i-{stage}-{number}',
                    'atelier',
                    make=engines.Engine,
                    stage=stage,
                    handles=handles,
                )
        await place.start_workers()
        await place.start_vms()
        self.record.note('all VMs are ready')
        troubles = []
        if site.has_trouble():
            troubles.append(asyncio.create_task(self.make_trouble()))
        tasks = []
        for number in range(int(STREAMS_PER_S * LENGTH_S)):
            vm = place.vms[number % len(place.vms)]
            tasks.append(asyncio.create_task(self.send(vm, f'q-{number}')))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*tasks, *troubles)
        await asyncio.sleep(2)
        return self.judge()

    async def make_trouble(self):
        """Let handles lapse, and workers send answers twice, at times."""
        prefills = [w for w in self.place.workers if w.stage == 'prefill']
        decodes = [w for w in self.place.workers if w.stage == 'decode']
        now_s = 0
        for begin_s in TROUBLE_BEGINS_S:
            await asyncio.sleep(begin_s - now_s)
            self.record.note('trouble begins')
            # One of three prefill workers, and three of five others.
            prefills[0].lapses = True
            for worker in decodes[:3]:
                worker.extra_share = EXTRA_SHARE
            await asyncio.sleep(SHORT_S)
            prefills[0].lapses = False
            await asyncio.sleep(GARBLE_S - SHORT_S)
            for worker in decodes[:3]:
                worker.extra_share = 0.0
            self.record.note('trouble ends')
            now_s = begin_s + GARBLE_S

    def judge(self):
        """Return whether the rule held."""
        servers = {}
        for worker in self.place.workers:
            for request_id in worker.run_ids:
                servers.setdefault(request_id, []).append(worker.name)
        twice = {key: runs for key, runs in servers.items() if len(runs) > 1}
        refused = {
            key: servers[key]
            for key, status in self.answers.items()
            if status in (408, 421, 429, 503) and key in servers
        }
        statuses = list(self.answers.values())
        counts = {status: statuses.count(status) for status in set(statuses)}
        self.record.note(f'answers by status: {counts}')
        self.record.note(f'ran more than once: {twice}')
        self.record.note(f'refused, though it has run: {refused}')
        return not twice

    async def send(self, vm, request_id):
        """Send one request that may run once only; read its answer."""
        reader, writer = await asyncio.open_connection(vm.host, vm.front_port)
        lines = [
            'POST /part/x HTTP/1.1',
            f'Host: {site.HOST}',
            f'X-Request-Attempt-Id: {request_id}',
            'X-Deadline-Ms: 14000',
            'X-Model: m',
            'X-Token-Count: 3000,1280',
            f'X-Prompt-Prefix: {abs(hash(request_id)):x}:3000',
            'Content-Length: 12',
            'Connection: close',
        ]
        writer.write(('\r\n'.join(lines) + '\r\n\r\nmeasure this').encode())
        data = b''
        with contextlib.suppress(OSError):
            data = await reader.read(-1)
        writer.close()
        status = int(data.split()[1]) if data else 0
        whole = data.endswith(b'0\r\n\r\n')
        self.answers[request_id] = status
        self.record.note(f'{request_id} got {status}, whole stream: {whole}')


async def main(record):
    """Run the case; return whether the rule held."""
    case = Case(record)
    try:
        return await case.run()
    finally:
        await case.place.close()


site.run_case(main, FOLDER)
