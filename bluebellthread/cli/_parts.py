"""Commands ``parts list`` and ``parts lift``: what ends servers.

An id that begins with = stands for a whole request.
"""

import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread.core import routing
from bluebellthread.daemon import _clock


@_registry.commands.register('parts list')
class PartsList:
    """Show the requests and parts of prompts that are refused, and why.

    Every VM of the entry gives the same answer, some seconds after a change.
    """

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Print one line for each shut-out."""
        answer = _call(arguments.vm, routing.ShutOutsAsk())
        for item in answer.shut_outs:
            print(describe(item, _clock.read_clock_ms()))
        return _registry.EXIT_DONE


@_registry.commands.register('parts lift')
class PartsLift:
    """Serve requests with a part again, at every VM.

    The servers that it has ended are not held against it any more.
    """

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument('service', metavar='SERVICE')
        parser.add_argument('part', metavar='PART', nargs='+')
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Lift the shut-outs and print one line for each."""
        lift = routing.ShutOutLift(
            serves=arguments.service, parts=tuple(arguments.part)
        )
        answer = _call(arguments.vm, lift)
        if not answer.lifted:
            raise _registry.CommandError(
                f'no part of {arguments.part} is shut out of service '
                f'{arguments.service!r}; see bluebellthread parts list',
                exit_code=_registry.EXIT_UNKNOWN_NAME,
            )
        for item in answer.lifted:
            print(f'{item.serves}  {",".join(item.parts)}  lifted')
        return _registry.EXIT_DONE


def describe(item, now_ms):
    """Return a `ShutOut` as one line of text.

    Examples
    --------
    >>> describe(routing.ShutOut(serves='s', parts=('f0',), engines=('e1',),
    ...     software_versions=('v1',), attempt_count=3,
    ...     keep_deadline_ms=routing.SHUT_OUT_MS), 60_000)
    's  f0  refused since 60 s: 3 attempts ended e1 (v1)'
    """
    since_s = (now_ms - item.keep_deadline_ms + routing.SHUT_OUT_MS) // 1000
    return (
        f'{item.serves}  {",".join(item.parts)}  refused since {since_s} s: '
        f'{item.attempt_count} attempts ended {",".join(item.engines)} '
        f'({",".join(item.software_versions)})'
    )


def _call(address, message):
    host, port = _vm_calls.parse_address(address)
    answer = trio.run(_vm_calls.call, host, port, message)
    if not isinstance(answer, routing.ShutOutsAnswer):
        raise _registry.CommandError(
            f'VM at {address} keeps no such list; name the peer port of an '
            'entry of this release',
            exit_code=_registry.EXIT_UNREACHABLE,
        )
    return answer
