"""Callers of a soak test, which record every answer."""

import math
import random

import attrs
import trio

from standin.site import _backend
from tests.integration import _entry_site
from tests.soak import _site

DEADLINE_MS = 4000
IDLE_MAX_S = 4.0
"""Longest pause of a caller that keeps its connection: longer than a stopping
VM waits before it closes idle connections, so that requests cross the close.
"""

NOT_RUN_STATUSES = (408, 421, 429, 503)
IDLE_SHARE = 0.03
PROBE_PAUSE_S = 0.03
"""Pause between two probes of a VM for each VM of the site, so that the load
of all probes does not depend on their number."""

KINDS = ('read', 'order', 'ask', 'once')


SOUND_PARTS = ('f1', '0e')
"""First parts of all prompts."""


@attrs.define
class CallRecord:
    """A request and its answer as its caller saw them.

    Parameters
    ----------
    request_id : str
        Unique id of the request.
    kind : str
        Kind of the route: one of `KINDS`.
    vm : str
        Name of the VM that the caller was connected to.
    is_kept : bool
        Whether an earlier request was answered on the same connection.
    begun_s, ended_s : float
        When the call began and ended.
    status : int or None
        HTTP status; None without an answer.
    body : bytes
        The part of the body that arrived.
    whole : bool
        Whether the answer is complete.
    server_seal : str
        Header that only a backend server sets; empty if it is missing.
    resumes : str
        Id of the attempt whose stream the caller takes up again; empty for
        none.
    events_before : int
        Number of the events that it has received of that stream.
    deadline_ms : int
        Time that the caller gives it, from its first byte on.
    manner : str
        How the caller sends; ``'whole'`` or one of `_stop_callers.MANNERS`.
    sent_s : float or None
        When its last byte was sent; None if it was not sent whole.
    turn_s : float
        When the answer before it on the connection had ended.
    closes : bool
        Whether its answer says that the connection ends.
    is_behind_end : bool
        Whether it was written behind a request whose answer said so, or was
        cut or missing.
    brings_more : bool
        Whether bytes came after an answer that said so.
    answered_id : str
        The request id that its answer names; empty for none.
    """

    request_id: str
    kind: str
    vm: str
    begun_s: float
    is_kept: bool = False
    status: int | None = None
    body: bytes = b''
    whole: bool = False
    server_seal: str = ''
    ended_s: float | None = None
    resumes: str = ''
    events_before: int = 0
    deadline_ms: int = DEADLINE_MS
    manner: str = 'whole'
    sent_s: float | None = None
    turn_s: float = -math.inf
    closes: bool = False
    is_behind_end: bool = False
    brings_more: bool = False
    answered_id: str = ''

    @property
    def read_s(self):
        """When the VM could have read the request whole; None for never."""
        return None if self.sent_s is None else max(self.sent_s, self.turn_s)

    def take_up(self, broken):
        """Make this the request that takes a broken stream up again."""
        self.kind = 'ask'
        self.resumes = broken.resumes or broken.request_id
        self.events_before = broken.event_count

    @property
    def event_count(self):
        """Number of the stream's events that the caller has now."""
        return self.events_before + self.body.count(b'\n\n')


class Callers:
    """Sends requests of all kinds until stopped and records the answers."""

    def __init__(self, site, seed):
        self.site = site
        self._seed = seed
        self.records = []
        self.versions = {}
        self.version_errors = {}
        self.is_stopped = False

    async def run_caller(self, number):
        """Send one request after another, mostly on the same connection.

        Every second caller never drops a connection: it uses it, at times
        after a long pause, until the VM closes it.
        """
        drop_share = 0.3 if number % 2 else 0.0
        rng = random.Random(f'{self._seed} caller {number}')
        caller = None
        broken = None
        count = 0
        while not self.is_stopped:
            vm = rng.choice(self.site.vms)
            if caller is not None and rng.random() < drop_share:
                await trio.aclose_forcefully(caller.stream)
                caller = None
            count += 1
            record = CallRecord(
                request_id=f'c{number}-{count}',
                kind=rng.choice(KINDS),
                vm=caller.vm if caller is not None else vm.name,
                begun_s=trio.current_time(),
                is_kept=caller is not None,
            )
            if broken is not None:
                record.take_up(broken)
            self.records.append(record)
            caller = await self._call(caller, vm, record)
            record.ended_s = trio.current_time()
            broken = record if is_broken_stream(record) else None
            is_idle = not drop_share and rng.random() < IDLE_SHARE
            pause_s = rng.uniform(0.0, IDLE_MAX_S if is_idle else 0.1)
            await trio.sleep(pause_s)

    async def _call(self, caller, vm, record):
        """Make one call and return its connection if it is reusable."""
        try:
            with trio.fail_after(DEADLINE_MS / 1000 + 2):
                if caller is None:
                    caller = await self.connect(vm)
                await caller.send(
                    *line_of(record),
                    record.request_id.encode(),
                    request_id=record.request_id,
                    deadline_ms=record.deadline_ms,
                    headers=make_headers(record),
                )
                record.sent_s = trio.current_time()
                is_answered = await read_answer(caller, record)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            return await self._close(caller)
        if not is_answered or record.closes:
            return await self._close(caller)
        return caller

    async def _close(self, caller):
        if caller is not None:
            await trio.aclose_forcefully(caller.stream)

    async def connect(self, vm):
        """Open a connection to a VM; note the time if the port is closed."""
        try:
            stream = await trio.open_tcp_stream(vm.host, vm.ports['front'])
        except OSError as error:
            causes = error.__cause__
            if isinstance(causes, ExceptionGroup) and causes.subgroup(
                ConnectionRefusedError
            ):
                vm.note_refused()
            raise
        vm.note_accepted()
        caller = _entry_site.Caller(stream)
        caller.vm = vm.name
        return caller

    async def send_deadly(
        self, vm, request_id, *, parts, target='/ask/x', body=b''
    ):
        """Send a request that ends servers, or has parts that do, to a VM."""
        self.site.deadly_vms[request_id] = vm
        text = ','.join(f'{part}:100' for part in (SOUND_PARTS[0], *parts))
        try:
            with trio.fail_after(DEADLINE_MS / 1000):
                async with await self.connect(vm) as caller:
                    await caller.call(
                        'POST',
                        target,
                        body,
                        request_id=request_id,
                        deadline_ms=DEADLINE_MS,
                        headers=[f'X-Prompt-Prefix: {text}'],
                    )
        except (
            AttributeError,
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
        ):
            # The VM or the engine has ended, as other callers see too.
            return

    async def probe_versions(self, vm):
        """Check repeatedly which configuration version a VM serves.

        Each version has a route of its own, which answers 404 if the version
        is not in force.
        """
        while not self.is_stopped:
            await self._probe(vm)
            await trio.sleep(PROBE_PAUSE_S * len(self.site.vms))

    async def _probe(self, vm):
        pid = vm.process.pid if vm.process is not None else 0
        known = self.versions.get((vm.name, pid), 0)
        sent_s = trio.current_time()
        newest = self._choose_version(known, sent_s)
        try:
            with trio.fail_after(2):
                caller = await self.connect(vm)
                answer = await caller.call(
                    'GET', f'/version-{newest}/x', request_id='probe'
                )
                await trio.aclose_forcefully(caller.stream)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            return
        except AttributeError:
            return
        if self.site.version - newest >= _site.KEPT_VERSIONS:
            # A newer version is published and removes the route of this one.
            return
        if answer.status == 200:
            self.versions[vm.name, pid] = max(known, newest)
        elif answer.status == 404 and newest <= known:
            self._note_error(vm, newest, sent_s, f'after {known} was served')
        elif answer.status == 404 and self._is_overdue(vm, newest, sent_s):
            self._note_error(vm, newest, sent_s, 'overdue')

    def _note_error(self, vm, version, sent_s, problem):
        age_s = sent_s - self.site.version_published_s[version]
        elapsed_s = sent_s - self.site.begun_s
        self.version_errors.setdefault((vm.name, version), []).append(
            f'{problem}, {age_s:.2f} s old at {elapsed_s:.2f} s'
        )

    def _choose_version(self, known, now_s):
        """Return the newest version that is due, or the newest if known."""
        due = [
            version
            for version, time_s in self.site.version_published_s.items()
            if now_s - time_s > _site.CONFIG_BOUND_S
        ]
        return due[-1] if due and due[-1] > known else self.site.version

    def _is_overdue(self, vm, version, sent_s):
        """Return whether a version must have been in force at ``sent_s``.

        It need not be in force while the store refuses calls or has a
        malformed one, or within `QUIET_S` of a fault.

        Parameters
        ----------
        vm : Vm
            The VM that was asked.
        version : int
            Version of the configuration.
        sent_s : float
            When the VM was asked.
        """
        published_s = self.site.version_published_s[version]
        quiet_s = sent_s - _site.QUIET_S
        return (
            sent_s - published_s > _site.CONFIG_BOUND_S
            and self.site.unreadable_s is None
            and vm.was_in_touch(quiet_s, sent_s)
            and not self.site.store_faults.touches(quiet_s, sent_s)
        )


def line_of(record):
    """Return the method and the path of a request."""
    return 'GET' if record.kind == 'read' else 'POST', f'/{record.kind}/x'


async def read_answer(caller, record):
    """Read the answer to a request; return whether it is whole."""
    try:
        answer = await caller.read_answer()
    except AttributeError:
        # The connection was closed before the head of an answer arrived.
        return False
    record.status = answer.status
    record.body, record.whole = answer.body, answer.whole
    record.server_seal = answer.headers.get('x-server-seal', '')
    record.answered_id = answer.headers.get('x-request-attempt-id', '')
    record.closes = answer.headers.get('connection') == 'close'
    return record.whole


def expected_stream(events_before=0):
    """Return the bytes of a complete stream after some events."""
    return _backend.make_events(range(events_before + 1, 13))


def is_broken_stream(record):
    """Return whether a caller may take a stream up again after a record."""
    return (
        record.kind == 'ask'
        and record.status == 200
        and not record.whole
        and record.event_count > 0
    )


def make_headers(record):
    # Sound prompts share their first parts with the ones that end engines.
    parts = ','.join(f'{part}:100' for part in SOUND_PARTS)
    own = record.request_id.replace('-', '0')
    headers = [f'X-Prompt-Prefix: {parts},{own}:100']
    if record.resumes:
        headers += [
            f'Last-Event-Id: {record.events_before}',
            f'Resumes: {record.resumes}',
        ]
    return headers
