"""``ticket``: what VMs know of a call that may not be repeated."""

import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread import core


@_registry.commands.register('ticket')
class Ticket:
    """Show whether a ticket's call is issued, running, or how it ended.

    Answers of the services are never shown.
    """

    def add_arguments(self, parser):
        """Declare the arguments."""
        parser.add_argument('id', metavar='ID', help='a ticket or its id')
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Print one line for each VM that knows the ticket."""
        host, port = _vm_calls.parse_address(arguments.vm)
        ticket_id = core.id_of_text(arguments.id)
        found = trio.run(find_ticket, host, port, ticket_id)
        for vm, result in found:
            print(f'{vm}  {describe(result)}')
        if found:
            return _registry.EXIT_DONE
        raise _registry.CommandError(
            f'no reachable VM knows ticket {ticket_id!r}; whether its call '
            "ran is unknown, the service's own records tell",
            exit_code=_registry.EXIT_UNKNOWN_NAME,
        )


async def find_ticket(host, port, ticket_id):
    """Return what each VM that knows a ticket says of it."""
    question = core.TicketLookup(ticket_id=ticket_id)
    answers = await _vm_calls.ask_every_vm(host, port, question)
    return [item for item in answers if item[1].kind != 'no-record']


def describe(result):
    """Return one line about a `TicketResult`.

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
