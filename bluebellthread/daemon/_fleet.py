"""The latest published picture of the fleet, shared by the tasks."""

from bluebellthread import core


class Fleet:
    """What is in force now; each part is replaced whole by its owner.

    Examples
    --------
    >>> Fleet().configuration.revision
    0
    """

    def __init__(self):
        self.configuration = core.Configuration(revision=0)
        self.view = core.MembershipView(members=())
        self.draining = False

    @property
    def ready(self):
        """Whether the balancer should send requests here."""
        return self.configuration.revision > 0 and not self.draining
