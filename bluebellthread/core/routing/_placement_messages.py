"""Messages between VMs about placements on model engines.

Each class matches the struct of the same name in ``wire/peer.thrift``.
"""

import attrs

from bluebellthread.core.routing import _departures


@attrs.frozen(kw_only=True)
class PlacementAsk:
    """Request a pair of engines for one caller's request.

    The message is idempotent: repeating it with the same ``ask_id`` keeps
    the queue position.

    Parameters
    ----------
    ask_id : str
        Id of this try of the request, unique among all tries.
    vm, vm_incarnation : str, int
        VM process that sends the message.
    data_centre : str
        Data centre of that VM.
    serves : str
        Service whose engines are requested.
    prompt_tokens, output_tokens : int
        Prompt length, and maximum output length.
    target_deadline_ms : int
        Time until which the first event is on time.
    start_deadline_ms : int
        Time at which the caller disconnects if no event has arrived.
    deadline_ms : int
        Time after which the answer is useless.
    poll_deadline_ms : int
        Time at which the owner replies `PlacementPending` if undecided.
    avoid_servers : tuple of str
        Servers that failed this request; used only if no other is left.
    software_version : str
        Version of the engines that the stream must go on at; empty if it may
        begin at any.
    departures : tuple of Departure
        Servers that the owner granted before although they have left.
    priority : int
        Priority from 0, the most urgent, to 9.
    customer : str
        Customer that sent the request; empty if the configuration has none.
    expected_tokens : int
        Output length that the caller expects; 0 if it states none.
    is_contended : bool
        Whether the service is to be decided with `CONTENDED_OPTIONS`.
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
    software_version: str = ''
    departures: tuple[_departures.Departure, ...] = ()
    priority: int = 5
    customer: str = ''
    expected_tokens: int = 0
    is_contended: bool = False

    @property
    def has_begun(self):
        """Whether the caller has events of the stream already."""
        return bool(self.software_version)


@attrs.frozen(kw_only=True)
class PlacementGranted:
    """Grant a pair of engines with memory reserved.

    Parameters
    ----------
    prefill_server : str
        Runs the prefill; empty if the decode server runs it.
    decode_server : str
        Holds the reserved memory and generates the answer.
    token_servers : tuple of str
        Those of them that name limits, if the owner has taken tokens for the
        request.
    token_deadline_ms : int
        Until when the request may be sent to these.
    """

    ask_id: str
    prefill_server: str
    decode_server: str
    token_servers: tuple[str, ...] = ()
    token_deadline_ms: int = 0


@attrs.frozen(kw_only=True)
class PlacementRefused:
    """Refuse a request that gets no placement in time and has not run.

    Parameters
    ----------
    kind : str
        ``'no-server'``, ``'no-version'`` if no engine of the required version
        is left, ``'too-late'``, ``'too-large'``, ``'overloaded'`` or
        ``'server-limit'``.
    retry_after_ms : int
        Delay in milliseconds before the caller should retry.
    waiting_count, place_count : int
        Queued requests and placements in use at the owner when it refused.
    """

    ask_id: str
    kind: str
    retry_after_ms: int
    waiting_count: int = 0
    place_count: int = 0


@attrs.frozen(kw_only=True)
class PlacementPending:
    """Report that a placement request is still queued at the owner."""

    ask_id: str


@attrs.frozen(kw_only=True)
class PromptRead:
    """Report that a prefill has ended, successfully or not."""

    ask_id: str
    serves: str


@attrs.frozen(kw_only=True)
class PlacementEnded:
    """Withdraw a request or release its placement.

    Parameters
    ----------
    failed_server : str
        Server that failed the request; empty if none did.
    first_event_ms : int
        Time from the grant to the first event as the VM saw it; 0 if it saw
        none or if the stream had begun before.
    writing_ms : int
        Time from the first event to the end of a whole answer; 0 for others.
    """

    ask_id: str
    serves: str
    failed_server: str = ''
    first_event_ms: int = 0
    writing_ms: int = 0


@attrs.frozen(kw_only=True)
class HeldPlacement:
    """One placement that a VM holds.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Prompt length, and maximum output length.
    writing_ms : int
        Milliseconds since the end of the prefill; 0 before that.
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
    """Register all placements that a VM holds with a new service owner."""

    vm: str
    vm_incarnation: int
    serves: str
    places: tuple[HeldPlacement, ...]
