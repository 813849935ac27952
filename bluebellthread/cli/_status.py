"""Implement ``status``, which shows all VMs in one VM's membership view."""

import json

import attrs
import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread import core
from bluebellthread.daemon import _tasks

HEADINGS = (
    'VM',
    'DATA CENTRE',
    'STATE',
    'REVISION',
    'POOLS',
    'HELD',
    'GRANTED',
)


@attrs.frozen(kw_only=True)
class VmStatus:
    """Hold a VM's entry in the membership view and its own status answer.

    Parameters
    ----------
    member : core.Member
        The VM as the first VM's membership view lists it.
    answer : core.StatusAnswer or None
        The VM's own answer; None if the call failed.
    error : str
        Why the call failed; empty if it succeeded.
    """

    member: core.Member
    answer: core.StatusAnswer | None
    error: str = ''


@_registry.commands.register('status')
class Status:
    """Show state, revision in force, pools and permits of every VM."""

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        _vm_calls.add_vm_argument(parser)
        parser.add_argument(
            '--json',
            action='store_true',
            help='print one JSON object for each VM',
        )

    def run(self, arguments):
        """Print one line for each VM; fail if any VM did not answer."""
        host, port = _vm_calls.parse_address(arguments.vm)
        statuses = trio.run(read_statuses, host, port)
        if arguments.json:
            for status in statuses:
                print(json.dumps(_to_fields(status)))
        else:
            _print_table(statuses)
        if all(status.answer is not None for status in statuses):
            return _registry.EXIT_DONE
        return _registry.EXIT_UNREACHABLE


async def read_statuses(host, port):
    """Return the status of all VMs in the membership view of one VM."""
    first = await _vm_calls.call(host, port, core.StatusRequest())
    found = []
    async with trio.open_nursery() as nursery:
        for member in first.members:
            _tasks.start_joined(nursery, _read_status, member, found)
    return sorted(found, key=lambda status: status.member.name)


async def _read_status(member, found):
    answer = None
    error = ''
    try:
        answer = await _vm_calls.call(
            member.host, member.peer_port, core.StatusRequest()
        )
    except _registry.CommandError as caught:
        error = str(caught)
    found.append(VmStatus(member=member, answer=answer, error=error))


def _describe_state(status):
    if status.answer is None:
        return f'{status.member.state}, no answer'
    if status.answer.draining:
        return 'draining'
    if not status.answer.confirmed:
        return 'unconfirmed'
    return status.member.state


def _to_fields(status):
    fields = {
        'vm': status.member.name,
        'data_centre': status.member.data_centre,
        'state': _describe_state(status),
    }
    if status.answer is None:
        return {**fields, 'error': status.error}
    answer = status.answer
    return {
        **fields,
        'incarnation': answer.incarnation,
        'revision': answer.revision,
        'invalid_revision': answer.invalid_revision,
        'stale_revision': answer.stale_revision,
        'pools_owned': list(answer.pools_owned),
        'permits_held': answer.permits_held,
        'permits_granted': answer.permits_granted,
    }


def _print_table(statuses):
    rows = [HEADINGS, *map(_to_row, statuses)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print('  '.join(cells).rstrip())


def _describe_revision(answer):
    text = str(answer.revision)
    if answer.invalid_revision:
        text += f' (rejected: {answer.invalid_revision})'
    if answer.stale_revision:
        text += f' (platform: {answer.stale_revision})'
    return text


def _to_row(status):
    member = status.member
    start = (member.name, member.data_centre, _describe_state(status))
    answer = status.answer
    if answer is None:
        return (*start, '-', '-', '-', '-')
    return (
        *start,
        _describe_revision(answer),
        ','.join(answer.pools_owned) or '-',
        str(answer.permits_held),
        str(answer.permits_granted),
    )
