"""Callers of a soak, and what they have seen."""

import attrs
import trio

from standin.site import _backend
from tests.integration import _entry_site

DEADLINE_MS = 4000
PROMISES = (408, 421, 429, 503)
KINDS = ('read', 'order', 'ask', 'once')


@attrs.define
class Seen:
    """One request as its caller saw it."""

    request_id: str
    kind: str
    vm: str
    begun_s: float
    status: int | None = None
    body: bytes = b''
    whole: bool = False
    proof: str = ''
    ended_s: float | None = None


class Callers:
    """Sends requests of all kinds until it is stopped."""

    def __init__(self, site):
        self.site = site
        self.seen = []
        self.versions = {}
        self.regressions = []
        self.is_stopped = False

    async def run_caller(self, number):
        """Send one request after another, mostly on a kept connection."""
        rng = self.site.rng
        caller = None
        count = 0
        while not self.is_stopped:
            vm = rng.choice(self.site.vms)
            if caller is not None and rng.random() < 0.3:
                await trio.aclose_forcefully(caller.stream)
                caller = None
            count += 1
            seen = Seen(
                request_id=f'c{number}-{count}',
                kind=rng.choice(KINDS),
                vm=caller.vm if caller is not None else vm.name,
                begun_s=trio.current_time(),
            )
            self.seen.append(seen)
            caller = await self._call(caller, vm, seen)
            seen.ended_s = trio.current_time()
            await trio.sleep(rng.uniform(0.0, 0.1))

    async def _call(self, caller, vm, seen):
        """Make one call; return the connection if it may be kept."""
        try:
            with trio.fail_after(DEADLINE_MS / 1000 + 2):
                if caller is None:
                    caller = await self._connect(vm)
                answer = await caller.call(
                    'GET' if seen.kind == 'read' else 'POST',
                    f'/{seen.kind}/x',
                    seen.request_id.encode(),
                    request_id=seen.request_id,
                    deadline_ms=DEADLINE_MS,
                )
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            return await self._drop(caller)
        except AttributeError:
            # The connection ended before a head.
            return await self._drop(caller)
        seen.status = answer.status
        seen.body, seen.whole = answer.body, answer.whole
        seen.proof = answer.headers.get('x-server-seal', '')
        if not answer.whole or answer.headers.get('connection') == 'close':
            return await self._drop(caller)
        return caller

    async def _drop(self, caller):
        if caller is not None:
            await trio.aclose_forcefully(caller.stream)

    async def _connect(self, vm):
        stream = await trio.open_tcp_stream(vm.host, vm.ports['front'])
        caller = _entry_site.Caller(stream)
        caller.vm = vm.name
        return caller

    async def probe_versions(self):
        """Ask each VM now and then which version it serves."""
        while not self.is_stopped:
            for vm in self.site.vms:
                await self._probe(vm)
            await trio.sleep(0.1)

    async def _probe(self, vm):
        pid = vm.process.pid if vm.process is not None else 0
        known = self.versions.get((vm.name, pid), 0)
        sent_s = trio.current_time()
        newest = self.site.version
        try:
            with trio.fail_after(2):
                caller = await self._connect(vm)
                answer = await caller.call(
                    'GET', f'/version-{newest}/x', request_id='probe'
                )
                await trio.aclose_forcefully(caller.stream)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            return
        except AttributeError:
            return
        if self.site.version != newest:
            # The route of a version is gone with the next one.
            return
        if answer.status == 200:
            self.versions[vm.name, pid] = max(known, newest)
        elif answer.status == 404 and newest <= known:
            self.regressions.append((vm.name, newest, known))
        elif answer.status == 404 and self._is_overdue(vm, newest, sent_s):
            self.regressions.append((vm.name, newest, 'not in force'))

    def _is_overdue(self, vm, version, sent_s):
        """Return whether a version had to be in force when asked for."""
        calm_s = max(vm.disturbed_s, self.site.store_disturbed_s)
        acked_s = self.site.version_acked_s[version]
        if self.site.store.refuse_status:
            return False
        return sent_s - acked_s > CONFIG_BOUND_S and sent_s - calm_s > CALM_S


CONFIG_BOUND_S = 2.5
CALM_S = 4.0
"""Within which a change is in force, for VMs that were calm as long (the
platform's pages)."""


def expected_stream():
    """Return the bytes of a whole answer of an engine."""
    return b''.join(_backend.make_event(n) for n in range(1, 13))
