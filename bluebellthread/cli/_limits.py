"""Command ``limits list``: limits that backend servers name."""

import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread.core import routing
from bluebellthread.daemon import _clock


@_registry.commands.register('limits list')
class LimitsList:
    """Show the servers that name limits, and what this costs at one VM.

    Every VM of the entry knows the same limits; the counts are those of the
    VM that is asked.
    """

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Print one line for each server that names a limit."""
        host, port = _vm_calls.parse_address(arguments.vm)
        answer = trio.run(_vm_calls.call, host, port, routing.LimitsAsk())
        if not isinstance(answer, routing.LimitsAnswer):
            raise _registry.CommandError(
                f'VM at {arguments.vm} keeps no limits; name the peer port '
                'of an entry of this release',
                exit_code=_registry.EXIT_UNREACHABLE,
            )
        for item in answer.limits:
            print(describe(item, _clock.read_clock_ms()))
        return _registry.EXIT_DONE


def describe(item, now_ms):
    """Return a `LimitInForce` as one line of text.

    Examples
    --------
    >>> describe(routing.LimitInForce(limit=routing.ServerLimit(server='s1',
    ...     incarnation=1, serves='s', rate_per_s=3.5,
    ...     first_keep_deadline_ms=routing.LIMIT_KEEP_MS,
    ...     keep_deadline_ms=routing.LIMIT_KEEP_MS), passed_count=7,
    ...     turned_away_count=2), 60_000)
    's  s1  3.5 a second since 60 s: 7 requests sent, 2 turned away'
    """
    limit = item.limit
    since_ms = now_ms - limit.first_keep_deadline_ms + routing.LIMIT_KEEP_MS
    return (
        f'{limit.serves}  {limit.server}  {limit.rate_per_s:g} a second since '
        f'{since_ms // 1000} s: {item.passed_count} requests sent, '
        f'{item.turned_away_count} turned away'
    )
