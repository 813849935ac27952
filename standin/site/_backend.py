"""Stand-ins for plain servers and model engines of the users' platform."""

import functools
import itertools
import json
import weakref

import attrs
import trio

from standin.site import _connection

ATTEMPT = 'x-request-attempt-id'
SEAL = 'x-server-seal'
LIMIT = 'server-limit'
LEAVING = 'server-leaving'


@attrs.define(kw_only=True)
class PlainServer:
    """Stand-in for a server of a plain service.

    Parameters
    ----------
    script : list of callable
        ``async`` functions that take a `SiteRequest`. Each call removes the
        first one, which answers the call instead of the server.
    runs : list of SiteRequest
        Calls that the server has run, in order.
    run_pause_s : float
        Pause before each answer, in seconds.
    body : bytes or None
        Body of each answer; None for one that tells the server and the call.
    content_type : str
        Content type of each answer; empty for none.
    software_version : str
        Version in the server's entry in the store.
    endings : list of Ending
        How the answers to the next runs end, in turn; the answers after
        these are complete and have a length.
    limit : str
        Requests a second that each answer names as the most that the server
        takes from all VMs together; empty if it is not in need.
    retry_after : str
        With this header each call is refused; empty if calls are taken.
    is_leaving : bool
        Whether each answer says that the server leaves.
    deadly_calls : set of (str, bytes)
        Targets and bodies of calls that end the process when it begins to run
        them.
    restart_s : float
        Pause before the process starts again, in seconds.
    incarnation : int
        Number of the process; rises at each start.
    on_start, on_crash : callable or None
        Called after each start but the first, and when the process ends.
    crash_count : int
        How often the process has ended.
    ended_by : list of SiteRequest
        The calls whose prompts ended the process, in turn.
    silent_count : int
        How often the process has fallen silent.
    repeats : callable or None
        Takes a call that was answered; returns whether its whole answer is
        sent a second time, late: on the same connection, before the answer
        to the next call.
    repeat_count : int
        How often an answer was sent a second time.
    held : list of SiteRequest
        Calls that the process read while it was silent, in order, also those
        whose callers left before it went on.
    """

    name: str
    port: int = 0
    slots: int = 6
    script: list = attrs.field(factory=list)
    runs: list = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)
    run_pause_s: float = 0.0
    software_version: str = 'v1'
    body: bytes | None = None
    content_type: str = ''
    endings: list = attrs.field(factory=list)
    limit: str = ''
    load: str = ''
    retry_after: str = ''
    is_leaving: bool = False
    deadly_calls: set = attrs.field(factory=set)
    restart_s: float = 0.3
    incarnation: int = 1
    on_start: object = None
    on_crash: object = None
    crash_count: int = 0
    ended_by: list = attrs.field(factory=list)
    silent_count: int = 0
    held: list = attrs.field(factory=list)
    repeats: object = None
    repeat_count: int = 0
    _copies: object = attrs.field(factory=weakref.WeakKeyDictionary)
    _process: object = None
    _voice: object = None

    def fall_silent(self):
        """Handle and send nothing, with all connections open, from now on."""
        if self._voice is None:
            self._voice = trio.Event()
            self.silent_count += 1

    def go_on(self):
        """End a silence; everything goes on where it was."""
        if self._voice is not None:
            self._voice.set()
            self._voice = None

    async def be_silent(self, duration_s):
        """Fall silent for some time."""
        self.fall_silent()
        await trio.sleep(duration_s)
        self.go_on()

    async def _wait_voice(self):
        while self._voice is not None:
            await self._voice.wait()

    async def start(self, nursery):
        """Start to serve in a nursery, on a free port."""
        await nursery.start(self._run_processes)

    async def _run_processes(self, *, task_status):
        while True:
            listeners = await trio.open_tcp_listeners(
                self.port, host='127.0.0.1'
            )
            if not self.port:
                self.port = listeners[0].socket.getsockname()[1]
                task_status.started()
            elif self.on_start is not None:
                self.on_start()
            with trio.CancelScope() as self._process:
                await trio.serve_listeners(
                    functools.partial(
                        _connection.serve_connection, self._handle
                    ),
                    listeners,
                )
            self._process = None
            await trio.sleep(self.restart_s)
            self.incarnation += 1

    def crash(self):
        """End the process with all its connections; it starts again."""
        if self._process is not None:
            self.crash_count += 1
            self._process.cancel()
            if self.on_crash is not None:
                self.on_crash()

    def is_deadly(self, request):
        """Return whether a call ends the process when it begins to run."""
        return (request.target, request.body) in self.deadly_calls

    async def _end_under(self, request):
        """End the process under a call, which gets no answer."""
        self.ended_by.append(request)
        self.crash()
        await trio.sleep_forever()

    def entry(self, service, **changes):
        """Return the server's entry in the store; `changes` replace fields."""
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'cluj-a',
            'version': self.software_version,
            'slots': self.slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 1,
            **changes,
        }

    async def _handle(self, request):
        request.wait_voice = self._wait_voice
        if self._voice is not None:
            self.held.append(request)
        await self._wait_voice()
        request.begun_s = trio.current_time()
        self.arrivals.append(request)
        copy = self._copies.pop(request.stream, None)
        if copy is not None:
            self.repeat_count += 1
            await request.stream.send_all(copy)
        repeats = self.repeats
        if repeats is not None:
            request.copy = bytearray()
        await self._take(request)
        if request.copy and repeats(request):
            self._copies[request.stream] = bytes(request.copy)

    async def _take(self, request):
        """Refuse a call, answer it by the script, or run it."""
        if request.headers.get('x-expect-instance') != self.name:
            await self.refuse(request, 421)
            return
        if self.retry_after:
            await self.refuse(request)
            return
        if self.script:
            await self.script.pop(0)(request)
            return
        await self.run(request)

    async def refuse(self, request, status=503):
        """Refuse a call, which has not run."""
        headers = [
            (ATTEMPT, request.headers.get(ATTEMPT, '')),
            ('x-not-executed', '1'),
            *self.leaving_headers(),
        ]
        if self.retry_after:
            headers.append(('retry-after', self.retry_after))
        await request.answer(status, headers=headers)

    async def run(self, request):
        """Record a call and answer it."""
        self.runs.append(request)
        if self.is_deadly(request):
            await self._end_under(request)
        await trio.sleep(self.run_pause_s)
        body = self.body
        if body is None:
            body = b'from ' + self.name.encode() + b': ' + request.body
        headers = self.answer_headers(request)
        if self.content_type:
            headers.append(('content-type', self.content_type))
        ending = self.endings.pop(0) if self.endings else None
        await request.answer(200, body, headers, ending=ending)

    def answer_headers(self, request):
        """Return the headers that every answer to a call carries."""
        return [
            (ATTEMPT, request.headers.get(ATTEMPT, '')),
            (SEAL, f'seal-of-{self.name}'),
            ('x-instance-load', self.load or f'1,0,{self.slots}'),
            *self.limit_headers(),
            *self.leaving_headers(),
        ]

    def leaving_headers(self):
        """Return the header that says that the server leaves, if it does."""
        return [(LEAVING, '1')] if self.is_leaving else []

    def limit_headers(self):
        """Return the header that names the server's limit, if it has one."""
        return [(LIMIT, self.limit)] if self.limit else []

    def count_most_arrivals(self, window_s, *, since_s):
        """Return the most calls that arrived within some window.

        Parameters
        ----------
        window_s : float
            Length of the windows, in seconds.
        since_s : float
            When the first window begins.
        """
        times_s = [
            call.received_s
            for call in self.arrivals
            if call.received_s >= since_s
        ]
        return max(
            (
                sum(
                    start_s <= other_s < start_s + window_s
                    for other_s in times_s
                )
                for start_s in times_s
            ),
            default=0,
        )


@attrs.define(kw_only=True)
class Engine(PlainServer):
    """Stand-in for a model engine of one stage.

    Parameters
    ----------
    stage : str
        ``'prefill'`` or ``'decode'``.
    event_count : int
        Number of events in an answer.
    framing : str
        How the end of a stream is marked, a key of `FRAMING_LINES`.
    stream_cuts : list of (int, int) or None
        For each run in turn, the number of an event and how many of its bytes
        are sent before the stream ends and is framed as whole; None for a
        stream that is whole.
    prefill_endings : list of Ending
        How the answers to the next prefills end, in turn.
    break_after : list of int
        For each run in turn, the number of the event after which its stream
        breaks.
    last_event_gate : trio.Event or None
        Event that a stream waits for before it sends its last event.
    spoils_handles : bool
        Whether a byte of each handle is replaced by one that no request can
        carry.
    rejects_kv_source : bool
        Whether calls that name the source of a KV cache are refused.
    event_pause_s : float
        Pause after each event, in seconds.
    deadly_parts : set of str
        Parts of prompts that end the process when it begins an answer.
    """

    stage: str = 'decode'
    event_count: int = 4
    framing: str = 'chunks'
    stream_cuts: list = attrs.field(factory=list)
    prefill_endings: list = attrs.field(factory=list)
    break_after: list = attrs.field(factory=list)
    last_event_gate: object = None
    spoils_handles: bool = False
    rejects_kv_source: bool = False
    event_pause_s: float = 0.0
    deadly_parts: set = attrs.field(factory=set)
    freed: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    prefills: list = attrs.field(factory=list)
    _numbers: object = attrs.field(factory=lambda: itertools.count(1))

    def entry(self, service, **changes):
        """Return the engine's entry in the store; `changes` replace fields."""
        fields = super().entry(service, **changes)
        return {'stage': self.stage, 'slots': 48, **fields}

    async def run(self, request):
        """Handle a call: free a handle, apply an order, prefill or stream."""
        if request.method == 'DELETE':
            self.freed.append(request.path.rpartition('/')[2])
            await request.answer(200, headers=self.leaving_headers())
        elif request.path == '/-/order':
            order = json.loads(request.body)
            self.orders.append(order)
            self.stage = order['stage']
            await request.answer(202, headers=self.leaving_headers())
        elif request.headers.get('x-serving-stage') == 'prefill':
            await self._prefill(request)
        elif self.rejects_kv_source and 'x-kv-source' in request.headers:
            await self.refuse(request)
        else:
            self.runs.append(request)
            await self._stream(request)

    async def _prefill(self, request):
        if self.stage != 'prefill':
            await self.refuse(request, 421)
            return
        self.prefills.append(request)
        handle = f'{self.name}-{next(self._numbers)}'
        if self.spoils_handles:
            handle = handle.replace('-', ' ', 1)
        body = {'handle': handle, 'tokens': 1, 'version': 1}
        await request.answer(
            200,
            json.dumps(body).encode(),
            [
                (ATTEMPT, request.headers.get(ATTEMPT, '')),
                *self.limit_headers(),
                *self.leaving_headers(),
            ],
            ending=self.prefill_endings.pop(0)
            if self.prefill_endings
            else None,
        )

    async def _end_in_first_event(self, request, number):
        await request.begin(
            200,
            [
                *self.answer_headers(request),
                ('content-type', 'text/event-stream'),
            ],
            ending=_connection.Ending(framing=self.framing),
            length=1000,
        )
        await request.send_piece(make_event(number)[:5])
        await self._end_under(request)

    async def _stream(self, request):
        first_number = int(request.headers.get('last-event-id') or 0) + 1
        break_number = self.break_after.pop(0) if self.break_after else None
        if self.deadly_parts & set(parts_of(request)) or self.is_deadly(
            request
        ):
            await self._end_in_first_event(request, first_number)
            return
        numbers = range(first_number, self.event_count + 1)
        cut = self.stream_cuts.pop(0) if self.stream_cuts and numbers else None
        await request.begin(
            200,
            [
                *self.answer_headers(request),
                ('content-type', 'text/event-stream'),
            ],
            ending=_connection.Ending(framing=self.framing),
            length=len(make_events(numbers, cut)),
        )
        if cut is not None:
            await request.send_piece(make_events(numbers, cut))
            await request.end()
            return
        for number in numbers:
            if break_number is not None and number > break_number:
                # The stream breaks in the middle of an event.
                await request.send_piece(f'id: {number}\nda'.encode())
                await request.reset()
                return
            if self.last_event_gate is not None and number == self.event_count:
                await self.last_event_gate.wait()
            await request.send_piece(make_event(number))
            await trio.sleep(self.event_pause_s)
        await request.end()


def parts_of(request):
    """Return the ids of the parts of a call's prompt."""
    text = request.headers.get('x-prompt-prefix', '')
    return [item.partition(':')[0] for item in text.split(',') if item]


def make_event(number):
    """Return the bytes of the event with this number."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def make_events(numbers, cut=None):
    """Return the bytes of several events.

    Parameters
    ----------
    cut : (int, int) or None
        Number of the event within which the bytes end, or the first one if
        that is later, and how many of its bytes there are; None for whole
        events.
    """
    if cut is None:
        return b''.join(map(make_event, numbers))
    cut_number, cut_bytes = cut
    cut_number = max(cut_number, numbers[0])
    whole = [number for number in numbers if number < cut_number]
    return make_events(whole) + make_event(cut_number)[:cut_bytes]


async def never_answer(request):
    """Leave a call without an answer until it is cancelled."""
    del request
    await trio.sleep_forever()
