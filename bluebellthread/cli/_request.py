"""Implement ``request``, which looks up a request on all VMs."""

import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread import core

STATE_UNKNOWN = 'unknown'


@_registry.commands.register('request')
class Request:
    """Show which VM handles a request, or how the request ended."""

    def add_arguments(self, parser):
        """Add the arguments of the command to its parser."""
        parser.add_argument(
            'id', metavar='ID', help='request id, as given in the answer'
        )
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Print the state of the request on each VM with a record of it."""
        host, port = _vm_calls.parse_address(arguments.vm)
        found = trio.run(find_request, host, port, arguments.id)
        for item in found:
            print(f'{item.vm}  {item.state}  {item.detail}'.rstrip())
        if found:
            return _registry.EXIT_DONE
        raise _registry.CommandError(
            f'no VM has a record of request {arguments.id!r}; check the id; '
            'records of ended requests are kept only for a short time',
            exit_code=_registry.EXIT_UNKNOWN_NAME,
        )


async def find_request(host, port, request_id):
    """Return the answer of each VM that has a record of a request."""
    lookup = core.RequestLookup(request_id=request_id)
    answers = await _vm_calls.call_every_vm(host, port, lookup)
    return [item for _, item in answers if item.state != STATE_UNKNOWN]
