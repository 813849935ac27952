"""``request``: where a request is, or how it ended."""

import trio

from bluebellthread.cli import _registry
from bluebellthread.cli import _vm_calls
from bluebellthread import core

STATE_UNKNOWN = 'unknown'


@_registry.commands.register('request')
class Request:
    """Show where a request is, or how it ended."""

    def add_arguments(self, parser):
        """Declare the arguments."""
        parser.add_argument('id', metavar='ID', help="the answer's request id")
        _vm_calls.add_vm_argument(parser)

    def run(self, arguments):
        """Print one line for each VM that knows the request."""
        host, port = _vm_calls.parse_address(arguments.vm)
        found = trio.run(find_request, host, port, arguments.id)
        for item in found:
            print(f'{item.vm}  {item.state}  {item.detail}'.rstrip())
        if found:
            return _registry.EXIT_DONE
        raise _registry.CommandError(
            f'no VM knows request {arguments.id!r}; check the id, and note '
            'that ended requests are soon forgotten',
            exit_code=_registry.EXIT_UNKNOWN_NAME,
        )


async def find_request(host, port, request_id):
    """Return what each VM that knows a request says of it."""
    question = core.RequestLookup(request_id=request_id)
    answers = await _vm_calls.ask_every_vm(host, port, question)
    return [item for _, item in answers if item.state != STATE_UNKNOWN]
