"""Creates the parts of a process that issue and track tickets."""

import attrs

from bluebellthread import core
from bluebellthread.daemon import _ticket_path
from bluebellthread.daemon import _ticket_task


@attrs.frozen(kw_only=True)
class TicketParts:
    """The task that keeps ticket records, and the HTTP handler for tickets."""

    task: _ticket_task.TicketTask
    path: _ticket_path.TicketPath


def make_ticket_parts(settings, *, incarnation, fleet, links, mailboxes):
    """Return the ticket parts and register the task's message classes."""
    signer = make_signer(settings.ticket_keys)
    task = _ticket_task.TicketTask(
        vm=settings.vm,
        data_centre=settings.data_centre,
        incarnation=incarnation,
        keeper=make_keeper(settings, incarnation, signer),
        fleet=fleet,
        links=links,
    )
    for message_class in _ticket_task.MESSAGE_CLASSES:
        mailboxes.register(message_class, task.inbox)
    path = _ticket_path.TicketPath(
        vm=settings.vm,
        data_centre=settings.data_centre,
        incarnation=incarnation,
        fleet=fleet,
        links=links,
        task=task,
        signer=signer,
    )
    return TicketParts(task=task, path=path)


def make_signer(keys):
    """Return a signer for the settings' ticket keys, or None without keys."""
    if not keys:
        return None
    return core.TicketSigner(
        tuple(
            core.TicketKey(key_id=key.key_id, secret=key.secret.encode())
            for key in sorted(keys, key=lambda key: not key.issuing)
        )
    )


def make_keeper(settings, incarnation, signer):
    """Return the state machine that keeps this process's ticket records."""
    return core.TicketKeeper(
        vm=settings.vm,
        incarnation=incarnation,
        host=settings.host,
        peer_port=settings.peer_port,
        signer=signer,
        options=core.TicketOptions(
            lifetime_timeout_ms=settings.ticket_lifetime_timeout_ms,
            limit_bytes=settings.ticket_memory_max_bytes,
        ),
    )
