"""Calls from the command-line tool to VMs, over their peer ports."""

import trio

from bluebellthread.cli import _registry
from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _socket_options
from bluebellthread.daemon import _tasks
from bluebellthread import wire

CALL_TIMEOUT_S = 3
SENDER = 'operator'


def add_vm_argument(parser):
    """Add the option that names the VM to call first."""
    parser.add_argument(
        '--vm',
        required=True,
        metavar='HOST:PORT',
        help='host and peer port of any VM',
    )


def parse_address(text):
    """Split ``HOST:PORT`` and return host and port.

    Examples
    --------
    >>> parse_address('127.0.0.1:7000')
    ('127.0.0.1', 7000)
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isascii() or not port.isdigit():
        raise _registry.CommandError(
            f'{text!r} is not an address; give HOST:PORT with the peer port',
            exit_code=_registry.EXIT_USAGE,
        )
    return host, int(port)


async def call(host, port, message):
    """Send a message to a VM and return its answer.

    Raises `CommandError` if the VM is unreachable or does not answer
    within `CALL_TIMEOUT_S`.
    """
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            return await _call_without_timeout(host, port, message)
    except (OSError, trio.BrokenResourceError, wire.WireError) as error:
        reason = str(error)
    except trio.TooSlowError:
        reason = 'no answer in time'
    raise _registry.CommandError(
        f'VM at {host}:{port} is unreachable ({reason}); check the address '
        'and that bluebellthreadd runs there',
        exit_code=_registry.EXIT_UNREACHABLE,
    )


async def call_every_vm(host, port, message):
    """Call all VMs in the membership view of one VM.

    Returns pairs of VM name and answer, sorted by name. A VM that does not
    answer is left out; the others are called all the same.
    """
    first = await call(host, port, core.StatusRequest())
    found = []
    async with trio.open_nursery() as nursery:
        for member in first.members:
            _tasks.start_joined(nursery, _call_member, member, message, found)
    return sorted(found, key=lambda item: item[0])


async def _call_member(member, message, found):
    try:
        answer = await call(member.host, member.peer_port, message)
    except _registry.CommandError:
        return
    found.append((member.name, answer))


async def _call_without_timeout(host, port, message):
    envelope = wire.Envelope(
        message=message, sender=SENDER, sender_incarnation=0, correlation=1
    )
    with _socket_options.raising_os_errors():
        stream = await trio.open_tcp_stream(host, port)
    async with stream:
        now_ms = _clock.read_clock_ms()
        await stream.send_all(wire.encode_frame(envelope, now_ms=now_ms))
        frame = await wire.FrameReader(stream).read()
    if frame is None:
        raise wire.WireError('the VM closed the connection')
    return wire.decode(frame, now_ms=_clock.read_clock_ms()).message
