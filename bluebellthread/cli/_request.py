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
        parser.add_argument(
            '--vm',
            required=True,
            metavar='HOST:PORT',
            help='peer address of any VM',
        )

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
    first = await _vm_calls.ask(host, port, core.StatusRequest())
    found = []
    async with trio.open_nursery() as nursery:
        for member in first.members:
            nursery.start_soon(_find_at, member, request_id, found)
    return sorted(found, key=lambda item: item.vm)


async def _find_at(member, request_id, found):
    question = core.RequestLookup(request_id=request_id)
    try:
        answer = await _vm_calls.ask(member.host, member.peer_port, question)
    except _registry.CommandError:
        # A VM that is gone can't know; the others are asked all the same.
        return
    if answer.state != STATE_UNKNOWN:
        found.append(answer)
