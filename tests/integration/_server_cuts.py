"""Cuts the paths of some VMs to backend servers, within one event loop."""

import contextlib
import contextvars
import functools
from unittest import mock

import attrs
import trio

from bluebellthread.core import _registry
from bluebellthread.entry import _sockets

current_vm = contextvars.ContextVar('current_vm', default=0)
"""Number of the VM that the running task belongs to."""

ways = _registry.Registry('way of a cut')
"""Async functions that stand for a connection attempt over a cut path."""


@ways.register('refused')
async def _refuse():
    raise ConnectionRefusedError('the path to the server is cut')


@ways.register('silent')
async def _stay_silent():
    await trio.sleep_forever()


@attrs.define
class ServerCuts:
    """Knows which VMs have no path to which servers.

    Parameters
    ----------
    servers : dict of str to PlainServer
        All servers.
    cut : dict of (int, str) to str
        Way of the cut, a key of `ways`, by number of the VM and server.
    connects : list of (int, str)
        Connections that VMs tried to open to servers.
    """

    servers: dict
    cut: dict = attrs.field(factory=dict)
    connects: list = attrs.field(factory=list)
    _streams: list = attrs.field(factory=list)

    def cut_off(self, vms, way, *, names=None, keeps_open=False):
        """Cut the paths of some VMs to all servers, or to those named.

        Parameters
        ----------
        keeps_open : bool
            Whether open connections live on. They are reset if the way is
            ``'refused'`` and fall silent if it is ``'silent'``.
        """
        for vm in vms:
            for name in self.servers if names is None else names:
                self.cut[vm, name] = way
        for stream in self._streams:
            if not keeps_open and (stream.vm, stream.name) in self.cut:
                stream.cut(way)

    def hold_back(self, vm, name):
        """Hold back what a server sends to a VM on the open connections."""
        for stream in self._streams:
            if (stream.vm, stream.name) == (vm, name):
                stream.hold_back()

    def let_through(self):
        """Let through what was held back."""
        for stream in self._streams:
            stream.let_through()

    def heal(self):
        """Let connections through again."""
        self.cut.clear()

    async def connect(self, original, host, port):
        """Open a connection unless its path is cut."""
        vm = current_vm.get()
        name = next(
            (name for name, item in self.servers.items() if item.port == port),
            None,
        )
        if name is None:
            return await original(host, port)
        self.connects.append((vm, name))
        if (vm, name) in self.cut:
            await ways.get(self.cut[vm, name])()
        stream = _CutStream(await original(host, port), vm, name)
        self._streams.append(stream)
        return stream


class _CutStream(trio.abc.HalfCloseableStream):
    """A connection to a server that may be reset or fall silent."""

    def __init__(self, stream, vm, name):
        self._stream = stream
        self.vm = vm
        self.name = name
        self._silent = trio.Event()
        self._scopes = set()
        self._voice = None
        self._reads = set()

    @property
    def socket(self):
        return self._stream.socket

    def cut(self, way):
        if way == 'refused':
            self._stream.socket.close()
            return
        self._silent.set()
        for scope in self._scopes:
            scope.cancel()

    def hold_back(self):
        if self._voice is None:
            self._voice = trio.Event()
        for scope in self._reads:
            scope.cancel()

    def let_through(self):
        if self._voice is not None:
            self._voice.set()
            self._voice = None

    async def _call(self, function, *arguments):
        if not self._silent.is_set():
            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                try:
                    return await function(*arguments)
                finally:
                    self._scopes.discard(scope)
        await trio.sleep_forever()

    async def send_all(self, data):
        await self._call(self._stream.send_all, data)

    async def wait_send_all_might_not_block(self):
        await self._call(self._stream.wait_send_all_might_not_block)

    async def receive_some(self, max_bytes=None):
        while True:
            while self._voice is not None:
                await self._voice.wait()
            with trio.CancelScope() as scope:
                self._reads.add(scope)
                try:
                    return await self._call(
                        self._stream.receive_some, max_bytes
                    )
                finally:
                    self._reads.discard(scope)

    async def send_eof(self):
        await self._call(self._stream.send_eof)

    async def aclose(self):
        await self._stream.aclose()


@contextlib.contextmanager
def watching_connects(fleet_servers):
    """Yield the `ServerCuts` of all connections made meanwhile."""
    cuts = ServerCuts(fleet_servers)
    original = _sockets.connect
    with mock.patch.object(
        _sockets, 'connect', functools.partial(cuts.connect, original)
    ):
        yield cuts
