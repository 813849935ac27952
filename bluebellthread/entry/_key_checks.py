"""Asks VMs whether they look up the keys of customers.

A VM of a build that doesn't would pass the key of a request that is handed on
to a backend server. The answer holds for one connection, which ends in one
process.
"""

import trio

from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _server_exchange

ASK_TIMEOUT_S = 0.5
"""A dozen round trips between regions."""

ASK_ID = 'keys'
"""Stands for the id of a request; no answer names it."""

ASK_HEADERS = (
    (b'host', b'bluebellthread'),
    (_http_messages.VERSION_HEADER, b'9' * 15),
)
"""Headers of a request that no VM takes, of any build: it is routed by a
version that no configuration reaches, the largest that VMs read, and its host
has no route."""


async def check_looks_up_keys(connections, connection, dialect):
    """Raise unless the VM at a connection looks keys up; close it then.

    Parameters
    ----------
    connections : ServerConnections
        The pool that the connection comes from.
    connection : ServerConnection
        An unused connection to a VM.
    dialect : Dialect
        Header names of the platform.

    Raises
    ------
    ServerUnreachableError
        If the VM does not look keys up, or does not say so in time.
    """
    if connection.looks_up_keys:
        return
    exchange = _server_exchange.ServerExchange(
        connections=connections,
        connection=connection,
        request_id=ASK_ID,
        request_id_header=dialect.request_id,
        is_to_vm=True,
    )
    try:
        with trio.fail_after(ASK_TIMEOUT_S):
            head = await exchange.open(b'GET', b'/', ASK_HEADERS, b'')
            await exchange.read_all()
        connection.looks_up_keys = exchange.is_reusable and bool(
            head.header(_http_messages.LOOKS_UP_KEYS_HEADER)
        )
    except (_server_exchange.AnswerBrokenError, trio.TooSlowError) as error:
        raise _server_connection.ServerUnreachableError(
            f'the VM does not say whether it looks keys up: '
            f'{str(error) or "timeout"}'
        ) from error
    finally:
        if not connection.looks_up_keys:
            connection.discard()
    if not connection.looks_up_keys:
        raise _server_connection.ServerUnreachableError(
            'the VM does not look keys up'
        )
