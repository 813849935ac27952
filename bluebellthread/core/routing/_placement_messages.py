"""Messages about places at model engines, between VMs.

Each class has a struct of its name in ``wire/peer.thrift``.
"""

import attrs


@attrs.frozen(kw_only=True)
class PlacementAsk:
    """A VM asks for a pair of engines for one request.

    Asking again under the same id keeps the place in the queue.

    Parameters
    ----------
    ask_id : str
        Unique to this try of the request.
    vm, vm_incarnation : str, int
        The process that asks.
    data_centre : str
        Where it is.
    serves : str
        The service whose engines are asked for.
    prompt_tokens, output_tokens : int
        Tokens to read, and at most to write.
    target_deadline_ms : int
        When the first event is due to be on time.
    start_deadline_ms : int
        When the caller leaves if no event has come.
    deadline_ms : int
        When the answer is of no use any more.
    poll_deadline_ms : int
        When the owner says that the request still waits.
    avoid_servers : tuple of str
        Servers that have failed this request; others go first.
    """

    ask_id: str
    vm: str
    vm_incarnation: int
    data_centre: str
    serves: str
    prompt_tokens: int
    output_tokens: int
    target_deadline_ms: int
    start_deadline_ms: int
    deadline_ms: int
    poll_deadline_ms: int
    avoid_servers: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PlacementGranted:
    """A pair of engines with room reserved.

    Parameters
    ----------
    prefill_server : str
        Reads the prompt; empty where the decode server does.
    decode_server : str
        Has the memory reserved and writes the answer.
    """

    ask_id: str
    prefill_server: str
    decode_server: str


@attrs.frozen(kw_only=True)
class PlacementRefused:
    """There will be no place in time; the request has not run.

    Parameters
    ----------
    kind : str
        ``'no-server'``, ``'too-late'``, ``'too-large'`` or
        ``'overloaded'``.
    retry_after_ms : int
        When a new try makes sense.
    waiting_count, place_count : int
        Requests that waited and that held places at the owner then.
    """

    ask_id: str
    kind: str
    retry_after_ms: int
    waiting_count: int = 0
    place_count: int = 0


@attrs.frozen(kw_only=True)
class PlacementPending:
    """The request still waits in the owner's queue."""

    ask_id: str


@attrs.frozen(kw_only=True)
class PromptRead:
    """A prefill server is done with a request, well or not."""

    ask_id: str
    serves: str


@attrs.frozen(kw_only=True)
class PlacementEnded:
    """A request needs its place no more, granted or not.

    Parameters
    ----------
    failed_server : str
        The server that failed it, or empty.
    """

    ask_id: str
    serves: str
    failed_server: str = ''


@attrs.frozen(kw_only=True)
class HeldPlacement:
    """One place that a VM uses.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Tokens to read, and at most to write.
    writing_ms : int
        How long its answer has been written; 0 before that.
    """

    ask_id: str
    prefill_server: str
    decode_server: str
    prompt_tokens: int
    output_tokens: int
    writing_ms: int
    deadline_ms: int


@attrs.frozen(kw_only=True)
class PlacementsHeld:
    """All places that a VM uses in one service, for a new owner."""

    vm: str
    vm_incarnation: int
    serves: str
    places: tuple[HeldPlacement, ...]


PLACEMENT_MESSAGES = (
    PlacementAsk,
    PlacementGranted,
    PlacementRefused,
    PlacementPending,
    PromptRead,
    PlacementEnded,
    HeldPlacement,
    PlacementsHeld,
)
"""Every message of this module, for the wire."""
