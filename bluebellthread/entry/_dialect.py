"""The platform's headers and control calls, under the router's own names."""

import attrs


@attrs.frozen(kw_only=True)
class ControlCall:
    """A call that the router itself makes to a backend server.

    Parameters
    ----------
    method, target : bytes
        Method and path of the HTTP request.
    body : bytes
        JSON, or empty.
    """

    method: bytes
    target: bytes
    body: bytes = b''


@attrs.frozen(kw_only=True)
class Dialect:
    """Header names and control calls that a platform adapter supplies.

    Header names are bytes in lower case.

    Parameters
    ----------
    request_id : bytes
        Id of one attempt of a caller; servers echo it in their answers.
    remaining_ms : bytes
        Milliseconds that are left until the caller's deadline.
    server_signature : bytes
        Header with which a server signs its answers.
    expected_server : bytes
        Id of the server that the request is for; any other server refuses.
    load : bytes
        A server's load, sent with its answers.
    limit : bytes
        Requests a second that a server in need takes from all VMs together.
    retry_after : bytes
        Seconds in which a server that refuses wants no request of this VM.
    leaving : bytes
        Whether a server states that it leaves.
    not_run : bytes
        Present if a server states that it did not run the request.
    resume_after : bytes
        Id of the last event received of a stream that is resumed.
    resumed_attempt : bytes
        Id of the caller's attempt that brought the first event of a stream
        that is resumed.
    authorization : bytes
        Authentication of a caller: the key of a customer.
    customer : bytes
        Name of the customer that sends a request, for servers.
    priority : bytes
        Priority of a request, for servers.
    token_counts : bytes
        Prompt tokens, and the most output tokens, of a request.
    length_hint : bytes
        Output tokens that the caller expects.
    prompt_parts : bytes
        Parts of a request's prompt, which requests may share.
    identity : frozenset of bytes
        Headers that tell requests apart: who asks, and which prompt of which
        model.
    stage : bytes
        The stage that an engine runs: prefill or decode.
    stage_prefill : bytes
        The value of `stage` that requests only the prefill.
    cache_source : bytes
        Where a decode server fetches the KV cache of a prompt from.
    router_only : frozenset of bytes
        Headers that are never passed on from callers.
    read_leaving : callable
        Takes the text of `leaving`; returns whether the server leaves.
    read_load : callable
        Takes the text of `load`; returns a `LoadReport`, or None.
    read_token_counts : callable
        Takes the text of `token_counts`; returns prompt tokens and the most
        output tokens, or None.
    read_prompt_parts : callable
        Takes the text of `prompt_parts`; returns a tuple of their ids, of
        bounded number and length.
    read_handle : callable
        Takes the body of a prefill's answer; returns the handle of the
        prompt's KV cache, or None.
    write_cache_source : callable
        Takes a server's host, port and a handle; returns the value of
        `cache_source`.
    make_cache_release : callable
        Takes a handle; returns the `ControlCall` that frees its KV cache.
    make_role_order : callable
        Takes a role and, as the keyword ``holder``, the VM that gives the
        order; returns the `ControlCall` that changes an engine's role.
    """

    request_id: bytes
    remaining_ms: bytes
    server_signature: bytes
    expected_server: bytes
    load: bytes
    limit: bytes
    retry_after: bytes
    leaving: bytes
    not_run: bytes
    resume_after: bytes
    resumed_attempt: bytes
    authorization: bytes
    customer: bytes
    priority: bytes
    token_counts: bytes
    length_hint: bytes
    prompt_parts: bytes
    identity: frozenset
    stage: bytes
    stage_prefill: bytes
    cache_source: bytes
    router_only: frozenset
    read_leaving: object
    read_load: object
    read_token_counts: object
    read_length_hint: object
    read_prompt_parts: object
    read_handle: object
    write_cache_source: object
    make_cache_release: object
    make_role_order: object
