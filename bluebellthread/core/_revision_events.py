"""What the distribution of revisions takes in and what it asks for."""

import attrs

from bluebellthread.core import _configuration
from bluebellthread.core import _problems


@attrs.frozen(kw_only=True)
class RevisionPublished:
    """The platform serves a valid revision.

    Parameters
    ----------
    value : dict
        As decoded JSON.
    configuration : Configuration
        The same, checked.
    """

    value: dict
    configuration: _configuration.Configuration


@attrs.frozen(kw_only=True)
class PublishedInvalid:
    """The platform serves something that can't be accepted."""

    revision: int
    problems: tuple[_problems.Problem, ...]


@attrs.frozen(kw_only=True)
class PeerAsked:
    """A VM has sent a message.

    Parameters
    ----------
    token : object
        Names the message in `AnswerPeer`.
    """

    token: object
    message: object


@attrs.frozen(kw_only=True)
class PeerAnswered:
    """A VM has answered an `AskPeer`."""

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class PeerFailed:
    """A VM could not be reached, or did not answer in time.

    Parameters
    ----------
    message : object
        What was sent to it.
    """

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class AskPeer:
    """Command: send a VM a message and report its answer."""

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class TellPeer:
    """Command: send a VM a message that wants no answer."""

    vm: str
    message: object


@attrs.frozen(kw_only=True)
class AnswerPeer:
    """Command: answer a `PeerAsked`."""

    token: object
    message: object


@attrs.frozen(kw_only=True)
class ApplyConfiguration:
    """Command: put a revision into force.

    Parameters
    ----------
    source : str
        The VM that it came from; empty for the platform.
    """

    configuration: _configuration.Configuration
    source: str


@attrs.frozen(kw_only=True)
class WatchPlatform:
    """Command: start or stop watching the platform."""

    active: bool


@attrs.frozen(kw_only=True)
class ReportInvalid:
    """Command: report a revision that is not accepted."""

    revision: int
    problems: tuple[_problems.Problem, ...]


@attrs.frozen(kw_only=True)
class ReportStale:
    """Command: report that the platform serves an older revision."""

    served_revision: int
    in_force_revision: int


@attrs.frozen(kw_only=True)
class ReportConflict:
    """Command: report two contents under one revision.

    Parameters
    ----------
    source : str
        The VM that has the other one; empty for the platform.
    """

    revision: int
    source: str
