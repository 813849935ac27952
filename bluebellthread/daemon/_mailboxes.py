"""Delivery of peer messages to the tasks that handle them."""

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import format_error


@attrs.frozen(eq=False)
class InboundMessage:
    """A received message, with a callback to answer it.

    Parameters
    ----------
    envelope : bluebellthread.wire.Envelope
        The message, with its sender and trace context.
    answer : callable
        Sends the answer message passed to it; never blocks. Does nothing
        if the sender expects no answer.
    """

    envelope: object
    answer: object

    @property
    def message(self):
        """The message inside the envelope."""
        return self.envelope.message


class Mailboxes:
    """Delivers each message to the channel registered for its class.

    Examples
    --------
    >>> mailboxes = Mailboxes()
    >>> send, receive = trio.open_memory_channel(1)
    >>> mailboxes.register(core.StatusRequest, send)
    """

    def __init__(self):
        self._channels = {}

    def register(self, message_class, send_channel):
        """Deliver every message of a class to a task's channel."""
        self._channels[message_class] = send_channel

    def deliver(self, inbound):
        """Queue a message for its task, or answer with `Rejected`.

        A message is rejected if no task handles its class or if the task's
        queue is full.
        """
        channel = self._channels.get(type(inbound.message))
        if channel is None:
            inbound.answer(
                core.Rejected(
                    kind='unexpected-message',
                    remedy='send it to a VM that runs this part',
                )
            )
            return
        try:
            channel.send_nowait(inbound)
        except trio.WouldBlock:
            inbound.answer(
                core.Rejected(kind='busy', remedy='try again later')
            )


async def handle_each(receive, handle):
    """Handle the messages of a channel until it is closed.

    A message that hits a bug is logged and rejected; it must not end the
    process, which serves others.

    Parameters
    ----------
    receive : trio.MemoryReceiveChannel
        Supplies each `InboundMessage`.
    handle : callable
        Takes one, and answers it.
    """
    async for inbound in receive:
        try:
            handle(inbound)
        except _tasks.FATAL_ERRORS:
            raise
        except Exception as error:
            reject_crashed(inbound, error)


def reject_crashed(inbound, error):
    """Log a message that has hit a bug, and reject it."""
    log_crash(inbound.message, inbound.envelope.sender, error)
    inbound.answer(
        core.Rejected(
            kind='internal', remedy='look for E2007 in the log of that VM'
        )
    )


def log_crash(message, peer, error):
    """Log a message of another VM that has hit a bug."""
    emit(
        events.PEER_MESSAGE_CRASHED,
        message_class=type(message).__name__,
        peer=peer,
        error=format_error(error),
    )
