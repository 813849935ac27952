"""What backend servers are asked and answer, in the product's names."""

import attrs


@attrs.frozen(kw_only=True)
class ControlCall:
    """A call to a backend server that is not a caller's.

    Parameters
    ----------
    method, target, body : bytes
        The body is JSON, or empty.
    """

    method: bytes
    target: bytes
    body: bytes = b''


@attrs.frozen(kw_only=True)
class Dialect:
    """Header names and calls that an adapter supplies.

    Header names are bytes in lower case.

    Parameters
    ----------
    request_id : bytes
        Id of one attempt of a caller; servers echo it.
    remaining_ms : bytes
        Milliseconds that are left for the answer.
    proof : bytes
        What a server signs its answers with.
    expected_server : bytes
        Id of the server that is meant; any other refuses.
    load : bytes
        A server's load in its answers.
    not_run : bytes
        Present where a server states that it did not run the request.
    resume_after : bytes
        The last event that has been received of a stream.
    token_counts : bytes
        Tokens to read, and at most to write.
    stage : bytes
        Which part of the work is asked of an engine.
    stage_prefill : bytes
        The value of `stage` that asks for the prompt to be read only.
    cache_source : bytes
        Where a decode server fetches a read prompt from.
    router_only : frozenset of bytes
        Headers that are never taken over from callers.
    read_load : callable
        Takes the text of `load`; returns running, waiting and slots, or
        None.
    read_token_counts : callable
        Takes the text of `token_counts`; returns two int, or None.
    read_handle : callable
        Takes the body of a prefill's answer; returns the handle of the
        read prompt, or None.
    write_cache_source : callable
        Takes a server's host, port and a handle; returns the value of
        `cache_source`.
    make_handle_release : callable
        Takes a handle; returns the `ControlCall` that frees it at its
        server.
    make_role_order : callable
        Takes a role and, by name, the VM that gives the order as
        ``holder``; returns the `ControlCall` that has an engine change to
        that role.
    """

    request_id: bytes
    remaining_ms: bytes
    proof: bytes
    expected_server: bytes
    load: bytes
    not_run: bytes
    resume_after: bytes
    token_counts: bytes
    stage: bytes
    stage_prefill: bytes
    cache_source: bytes
    router_only: frozenset
    read_load: object
    read_token_counts: object
    read_handle: object
    write_cache_source: object
    make_handle_release: object
    make_role_order: object
