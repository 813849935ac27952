"""Options of the distribution of configuration revisions."""

import attrs


@attrs.frozen(kw_only=True)
class RevisionOptions:
    """Intervals, timeouts and switches of `Revisions`.

    Parameters
    ----------
    exchange_interval_ms : int
        Mean interval between manifest requests to partners in the data
        centre.
    first_exchange_interval_ms : int
        The same while the VM has no revision yet.
    remote_interval_ms : int
        Mean interval between manifest requests of a watcher to watchers in
        other data centres.
    fetch_timeout_ms : int
        Timeout for fetching a revision from one VM.
    start_timeout_ms : int
        Maximum time for which a VM that has just started waits for its
        peers' answers before it applies the platform's revision, since the
        platform may serve an older revision than the fleet uses.
    waits_for_peers_at_start, ignores_older_revisions : bool
        Whether a starting VM waits for its peers, and whether it ignores an
        older revision from the platform. Tests turn each off to show the
        failure that it prevents.
    view_settle_ms : int
        How long the VMs that a VM without a revision knows in its data centre
        must stay the same before it watches the platform: many VMs that start
        together would otherwise all read the whole revision.
    platform_silence_ms : int
        Time without news that any VM reads the platform, after which others
        than the chosen watchers watch it too; 0 if they never do.
    leaves_out_older_builds : bool
        Whether a VM asks each new VM of its data centre once and leaves those
        out of all choices whose build rejects the messages about revisions.
        All VMs have to leave out the same ones: a VM that others still count
        on would not watch or announce.
    exchanges_digests, limits_watchers : bool
        Whether VMs regularly exchange the digests of their revisions, and
        whether only the chosen watchers watch the platform. Tests turn each
        off to show the failure that it prevents.
    """

    exchange_interval_ms: int = 2000
    first_exchange_interval_ms: int = 2000
    remote_interval_ms: int = 1000
    fetch_timeout_ms: int = 2000
    start_timeout_ms: int = 1000
    view_settle_ms: int = 0
    platform_silence_ms: int = 0
    leaves_out_older_builds: bool = False
    waits_for_peers_at_start: bool = True
    ignores_older_revisions: bool = True
    exchanges_digests: bool = True
    limits_watchers: bool = True
