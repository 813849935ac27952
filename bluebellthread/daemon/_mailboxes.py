"""Delivery of messages to the task that owns what they are about."""

import attrs
import trio

from bluebellthread import core


@attrs.frozen(eq=False)
class Inbound:
    """A message from a VM, and the way to answer it.

    Parameters
    ----------
    envelope : bluebellthread.wire.Envelope
        The message with its sender.
    answer : callable
        Takes the answering message; never blocks. Answering a message
        that wants no answer does nothing.
    """

    envelope: object
    answer: object

    @property
    def message(self):
        """The message inside the envelope."""
        return self.envelope.message


class Mailboxes:
    """Which task takes which class of message.

    Examples
    --------
    >>> boxes = Mailboxes()
    >>> send, receive = trio.open_memory_channel(1)
    >>> boxes.register(core.StatusRequest, send)
    """

    def __init__(self):
        self._channels = {}

    def register(self, message_class, send_channel):
        """Send every message of a class to a task's channel."""
        self._channels[message_class] = send_channel

    def deliver(self, inbound):
        """Hand a message to its task, or answer that it can't be."""
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
