"""Input events and output commands of `Revisions`."""

import attrs

from bluebellthread.core import _configuration
from bluebellthread.core import _problems


@attrs.frozen(kw_only=True)
class RevisionPublished:
    """Event: the platform serves a valid revision.

    Parameters
    ----------
    value : dict
        The revision as decoded JSON.
    configuration : Configuration
        The configuration built from ``value``.
    """

    value: dict
    configuration: _configuration.Configuration


@attrs.frozen(kw_only=True)
class PublishedInvalid:
    """Event: the platform serves an invalid revision.

    Parameters
    ----------
    revision : int
        Number of the revision; 0 if its text contains none.
    problems : tuple of Problem
        Problems found in the revision.
    """

    revision: int
    problems: tuple[_problems.Problem, ...]


@attrs.frozen
class PlatformAnswered:
    """Event: the platform has answered this VM, with or without a change."""


@attrs.frozen
class PlatformFailed:
    """Event: the platform gave this VM no usable answer."""


@attrs.frozen(kw_only=True)
class PeerAsked:
    """Event: another VM has sent a message.

    Parameters
    ----------
    token : object
        Identifies the message; `AnswerPeer` passes it back.
    """

    token: object
    message: object


@attrs.frozen(kw_only=True)
class PeerAnswered:
    """Event: a VM has answered the message of an `AskPeer`.

    Parameters
    ----------
    vm : str
        The VM.
    message : object
        Its answer.
    request : object
        The message that it answers; None if that is not known.
    """

    vm: str
    message: object
    request: object = None


@attrs.frozen(kw_only=True)
class PeerFailed:
    """Event: a VM was unreachable or did not answer before the timeout.

    Parameters
    ----------
    message : object
        The message that was sent to the VM.
    """

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class AskPeer:
    """Command: send a message to a VM and report the answer.

    The result is a `PeerAnswered` or `PeerFailed` event.
    """

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class TellPeer:
    """Command: send a VM a message that needs no answer."""

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class AnswerPeer:
    """Command: answer the message of a `PeerAsked`."""

    token: object
    message: object


@attrs.frozen(kw_only=True)
class ApplyConfiguration:
    """Command: bring a revision into force.

    Parameters
    ----------
    source : str
        Name of the VM that sent the revision; empty for the platform.
    """

    configuration: _configuration.Configuration
    source: str


@attrs.frozen(kw_only=True)
class WatchPlatform:
    """Command: start or stop watching the platform for revisions."""

    active: bool


@attrs.frozen(kw_only=True)
class ReportInvalid:
    """Command: report a revision that was rejected as invalid."""

    revision: int
    problems: tuple[_problems.Problem, ...]


@attrs.frozen(kw_only=True)
class ReportStale:
    """Command: report that the platform serves an older revision.

    Parameters
    ----------
    served_revision, in_force_revision : int
        The platform's revision, and the newer one in force on this VM.
    """

    served_revision: int
    in_force_revision: int


@attrs.frozen(kw_only=True)
class ReportConflict:
    """Command: report that one revision number has two contents.

    Parameters
    ----------
    source : str
        Name of the VM whose contents differ from those on this VM; empty for
        the platform.
    """

    revision: int
    source: str
