"""Implement ``ticket``, which looks up an at-most-once call on all VMs."""

import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread import core


@_registry.commands.register('ticket')
class Ticket:
    """Show whether the call of a ticket was made, runs, or how it ended.

    The answer that the service gave to the call is never shown.
    """

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument('id', metavar='ID', help='ticket or ticket id')
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Print the state of the call on each VM with a record of it."""
        host, port = _vm_calls.parse_address(arguments.vm)
        ticket_id = core.parse_ticket_id(arguments.id)
        found = trio.run(find_ticket, host, port, ticket_id)
        for vm, result in found:
            print(f'{vm}  {describe(result)}')
        if found:
            return _registry.EXIT_DONE
        raise _registry.CommandError(
            f'no reachable VM has a record of ticket {ticket_id!r}; its call '
            "may have run or not; check the service's own records",
            exit_code=_registry.EXIT_UNKNOWN_NAME,
        )


async def find_ticket(host, port, ticket_id):
    """Return name and answer of each VM that has a record of a ticket."""
    lookup = core.TicketLookup(ticket_id=ticket_id)
    answers = await _vm_calls.call_every_vm(host, port, lookup)
    return [item for item in answers if item[1].kind != 'no-record']


def describe(result):
    """Return a `TicketResult` as one line of text.

    Examples
    --------
    >>> describe(core.TicketResult(tag='done', status=201))
    'done  status 201'
    >>> describe(core.TicketResult(tag='pending', state='running',
    ...                            remaining_ms=900))
    'running  900 ms to the deadline'
    """
    if result.tag == core.TicketPending.tag:
        return f'{result.state}  {result.remaining_ms} ms to the deadline'
    detail = f'status {result.status}' if result.status else result.kind
    return f'{result.tag}  {detail}'
