"""Which VMs are of a build that knows the messages about revisions."""

from bluebellthread.core import _configuration_messages
from bluebellthread.core import _messages

UNEXPECTED_KIND = 'unexpected-message'
"""Kind of `Rejected` with which a VM answers a message that no task of its
build takes. A VM takes messages only once all its tasks are known."""

_KNOWING_ANSWERS = (
    _configuration_messages.ManifestAnswer,
    _configuration_messages.SectionsAnswer,
)


class PeerBuilds:
    """What the answers of other VMs tell of their builds.

    An answer counts for the process that gave it: a VM that starts again may
    be of another build.
    """

    def __init__(self):
        self._knows = {}

    def note_answer(self, member, message):
        """Note a VM's answer and return whether the VM's place changes.

        Parameters
        ----------
        member : Member
            The VM.
        message : object
            Its answer to a message about revisions.
        """
        if isinstance(message, _KNOWING_ANSWERS):
            knows = True
        elif (
            isinstance(message, _messages.Rejected)
            and message.kind == UNEXPECTED_KIND
        ):
            knows = False
        else:
            return False
        was_left_out = self._is_older(member)
        self._knows[member.name] = member.incarnation, knows
        return was_left_out == knows

    def leave_out_older(self, members):
        """Return the members that are not known to be of an older build."""
        return tuple(
            member for member in members if not self._is_older(member)
        )

    def list_unknown(self, members):
        """Return the names of the members that have not answered yet."""
        return [
            member.name for member in members if self._find(member) is None
        ]

    def _is_older(self, member):
        return self._find(member) is False

    def _find(self, member):
        """Return whether a VM knows the messages; None if that is unknown."""
        incarnation, knows = self._knows.get(member.name, (None, None))
        return knows if incarnation == member.incarnation else None
