"""A stand-in for a faulty network: a proxy that injects faults."""

import collections
import socket
import struct

import attrs
import trio

from standin import _http

CHUNK_BYTES = 65536
"""Maximum number of bytes read at a time."""

_RESET = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

SLICE_S = 0.02
"""Seconds between two writes of a rate-limited connection."""


@attrs.define(kw_only=True)
class Rule:
    """Faults in the traffic of one source IP, or of all with ``'*'``.

    Parameters
    ----------
    cut : bool
        Close open connections, refuse new ones, drop datagrams.
    stall : bool
        Hold back the bytes of connections; drop datagrams.
    stall_answers : bool
        Hold back only the bytes that come from the target.
    delay_ms : int
        Delay of each chunk and datagram.
    bytes_per_s : float
        Rate limit of each direction of a connection; 0 for no limit.
    half_close : bool
        Close the direction to the target and keep forwarding the other.
    """

    cut: bool = False
    stall: bool = False
    stall_answers: bool = False
    delay_ms: int = 0
    bytes_per_s: float = 0.0
    half_close: bool = False


@attrs.define(kw_only=True)
class ProxySettings:
    """Addresses of a proxy; a port of 0 lets the system choose.

    Parameters
    ----------
    forwards_udp : bool
        Whether datagrams to the same port number are forwarded as well.
    """

    name: str
    target_host: str = '127.0.0.1'
    target_port: int = 0
    host: str = '127.0.0.1'
    port: int = 0
    control_port: int = 0
    forwards_udp: bool = False


class Proxy:
    """Proxy that injects faults into TCP connections and datagrams.

    ``POST /rules`` on its control port with ``{"SOURCE": {rule}}``
    replaces all rules; ``{}`` ends all faults. ``POST /control`` changes the
    settings, such as the target.

    Examples
    --------
    >>> Proxy(ProxySettings(name='x')).rule_of('127.0.0.9').cut
    False
    """

    def __init__(self, settings):
        self.settings = settings
        self._rules = {}
        self._rules_changed = trio.Event()
        self._connections = {}
        self._counts = collections.Counter()
        self._udp = None
        self._nursery = None
        self._listening = None
        self._reservation = None
        self._is_open = True

    async def start(self, nursery):
        """Start to forward; return a list with name, host and ports."""
        settings = self.settings
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(
            settings.port, host=settings.host
        )
        settings.port = listeners[0].socket.getsockname()[1]
        if settings.forwards_udp:
            self._udp = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            await self._udp.bind((settings.host, settings.port))
            nursery.start_soon(self._relay_datagrams)
        nursery.start_soon(self._serve, listeners)
        app = _http.App()
        app.add('POST', '/rules', self._set_rules)
        app.add('GET', '/counts', self._get_counts)
        app.add('POST', '/control', _http.make_control(settings))
        settings.control_port = await _http.serve(
            nursery, app, host=settings.host, port=settings.control_port
        )
        return [
            {
                'name': settings.name,
                'host': settings.host,
                'port': settings.port,
                'control_port': settings.control_port,
            }
        ]

    async def _serve(self, listeners):
        with trio.CancelScope() as self._listening:
            await trio.serve_listeners(self._relay_connection, listeners)
        if not self._is_open:
            # No other process may be given the port meanwhile. Connections
            # are refused, as nothing listens.
            self._reservation = socket.socket()
            self._reservation.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
            )
            self._reservation.bind((self.settings.host, self.settings.port))

    def close(self):
        """Close the port and reset all connections.

        An answer that is framed by its connection can't be told from a whole
        one if the connection is closed between two events.
        """
        self._is_open = False
        self._listening.cancel()

    async def reopen(self):
        """Listen again at the port that `close` has closed."""
        listeners = await trio.open_tcp_listeners(
            self.settings.port, host=self.settings.host
        )
        self._is_open = True
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None
        self._nursery.start_soon(self._serve, listeners)

    def rule_of(self, source):
        """Return the rule of a source IP or of ``'*'``, or an empty rule."""
        return self._rules.get(source) or self._rules.get('*') or Rule()

    def set_rules(self, rules):
        """Replace all rules and close the connections that they cut."""
        self._rules = dict(rules)
        for scope, source in self._connections.items():
            if self.rule_of(source).cut:
                scope.cancel()
        self._rules_changed.set()
        self._rules_changed = trio.Event()

    async def _set_rules(self, request):
        self.set_rules(
            {source: Rule(**rule) for source, rule in request.json().items()}
        )
        await request.answer(200, {})

    async def _get_counts(self, request):
        answer = {**self._counts, 'open': len(self._connections)}
        await request.answer(200, answer)

    async def _relay_connection(self, stream):
        source = stream.socket.getpeername()[0]
        self._counts['connections'] += 1
        with trio.CancelScope() as scope:
            self._connections[scope] = source
            try:
                if not self.rule_of(source).cut:
                    await self._connect_and_relay(stream, source)
            except OSError:
                self._counts['unreachable'] += 1
            finally:
                del self._connections[scope]
                if not self._is_open:
                    stream.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                    )
        await trio.aclose_forcefully(stream)

    async def _connect_and_relay(self, stream, source):
        target = await trio.open_tcp_stream(
            self.settings.target_host, self.settings.target_port
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._relay, stream, target, source, False)
                nursery.start_soon(self._half_close, target, source)
                await self._relay(target, stream, source, True)
                nursery.cancel_scope.cancel()
        finally:
            await trio.aclose_forcefully(target)

    async def _half_close(self, target, source):
        while not self.rule_of(source).half_close:
            await self._rules_changed.wait()
        await target.send_eof()

    async def _relay(self, reader, writer, source, is_answer):
        try:
            while data := await reader.receive_some(CHUNK_BYTES):
                await self._wait_for_rule(source, is_answer)
                await self._send(writer, data, source)
            await self._wait_for_rule(source, is_answer)
            await writer.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._counts['broken'] += 1

    async def _wait_for_rule(self, source, is_answer):
        while True:
            rule = self.rule_of(source)
            if not rule.stall and not (rule.stall_answers and is_answer):
                break
            await self._rules_changed.wait()
        await trio.sleep(rule.delay_ms / 1000)

    async def _send(self, writer, data, source):
        while data:
            rate = self.rule_of(source).bytes_per_s
            count = max(1, int(rate * SLICE_S)) if rate else len(data)
            await writer.send_all(data[:count])
            self._counts['bytes'] += len(data[:count])
            data = data[count:]
            if rate:
                await trio.sleep(SLICE_S)

    async def _relay_datagrams(self):
        while True:
            data, address = await self._udp.recvfrom(CHUNK_BYTES)
            rule = self.rule_of(address[0])
            if rule.cut or rule.stall:
                self._counts['dropped'] += 1
                continue
            self._counts['datagrams'] += 1
            self._nursery.start_soon(self._send_datagram, data, rule.delay_ms)

    async def _send_datagram(self, data, delay_ms):
        await trio.sleep(delay_ms / 1000)
        target = (self.settings.target_host, self.settings.target_port)
        await self._udp.sendto(data, target)
