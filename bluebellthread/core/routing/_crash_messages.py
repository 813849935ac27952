"""News between VMs about servers that ended, and what ended them.

Each class matches the struct of the same name in ``wire/peer.thrift``.
"""

import attrs


@attrs.frozen(kw_only=True)
class EndedRun:
    """A request that a server worked on when it ended.

    Parameters
    ----------
    attempt_id : str
        Id of the caller's attempt.
    parts : tuple of str
        Ids of the parts of its prompt, and of the request as a whole.
    age_ms : int
        Milliseconds since the request was sent to the server.
    """

    attempt_id: str
    parts: tuple[str, ...]
    age_ms: int


@attrs.frozen(kw_only=True)
class EngineEnded:
    """Report that a server ended, with one VM's requests at it.

    Parameters
    ----------
    vm : str
        The VM whose requests these are.
    number : int
        Number of the report, unique for the VM and the server.
    server, incarnation : str, int
        The server, and the start of its process; 0 if unknown.
    serves, software_version : str
        Service and software version of the server.
    runs : tuple of EndedRun
        The requests.
    keep_deadline_ms : int
        When the report is forgotten, `EVIDENCE_MS` after the end.
    """

    vm: str
    number: int
    server: str
    incarnation: int
    serves: str
    software_version: str
    runs: tuple[EndedRun, ...]
    keep_deadline_ms: int


@attrs.frozen(kw_only=True)
class PartSurvived:
    """Tell that a request with a part was answered whole.

    Parameters
    ----------
    serves, part, software_version : str
        Service, part, and version of the engine that answered.
    keep_deadline_ms : int
        Until when ends of engines are not blamed on the part.
    """

    serves: str
    part: str
    software_version: str
    keep_deadline_ms: int


@attrs.frozen(kw_only=True)
class ShutOut:
    """Parts that end servers; requests with all of them are refused.

    Parameters
    ----------
    serves : str
        Service whose servers they end.
    parts : tuple of str
        The parts, sorted. They are several if no evidence tells them apart.
    software_versions : tuple of str
        Versions of the servers that they ended, sorted.
    engines : tuple of str
        The servers that they ended when they were shut out.
    attempt_count : int
        Attempts of callers that were seen to end them.
    number : int
        Rises when the same parts are lifted or shut out again.
    is_lifted : bool
        Whether an operator has lifted it.
    keep_deadline_ms : int
        When it ends by itself, `SHUT_OUT_MS` after the decision.
    """

    serves: str
    parts: tuple[str, ...]
    software_versions: tuple[str, ...] = ()
    engines: tuple[str, ...] = ()
    attempt_count: int = 0
    number: int = 1
    is_lifted: bool = False
    keep_deadline_ms: int


@attrs.frozen(kw_only=True)
class ShutOutsAsk:
    """Ask a VM what is shut out; the answer is `ShutOutsAnswer`."""


@attrs.frozen(kw_only=True)
class ShutOutLift:
    """Lift a shut-out at all VMs; the answer is `ShutOutsAnswer`."""

    serves: str
    parts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ShutOutsAnswer:
    """Answer with what is shut out now, and what was lifted."""

    shut_outs: tuple[ShutOut, ...]
    lifted: tuple[ShutOut, ...] = ()
