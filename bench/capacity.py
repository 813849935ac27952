"""Estimates the control cost of each role in a fleet of the target size.

``python -m bench.capacity`` prints the tables of docs/CAPACITY.md. Unit
costs ("slopes") are measured and come from bench/slopes.json. All other
values are computed from the constants below and marked as such.
"""

import json
import pathlib

import attrs

SLOPES_PATH = pathlib.Path(__file__).parent / 'slopes.json'

VMS = 390
SERVERS = 720
REQUESTS_PER_S = 4200
TOKENS_PER_S = 1_400_000
CALLERS = 1300
MODELS = 15
DATA_CENTRES = 5
CHANGES_PER_DAY = 1400
RESTARTS_PER_DAY = 260 + 9
"""Size and load of the target fleet."""

PROCESSOR_MS_PER_S = 45
MEMORY_MB = 32
BYTES_PER_S = 13_000
"""Control budget of a VM: 4.5 % of a core, 32 MB, 13 KB/s."""

SECONDS_PER_DAY = 86400

POLLS_PER_S = 4
"""Load reports that are polled from each backend server per second."""

HTTP_HEADER_BYTES = 350
"""HTTP headers of the request and the response of one poll."""

UDP_HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""

TCP_HEADER_BYTES = 52
"""IP and TCP headers of a segment; at worst, each message needs a segment."""

PROBES_PER_S = 4
"""Pings that a VM sends per second; on average it receives as many."""

UPDATE_COPIES = 24
"""Times that a VM forwards one membership update.

This is 3 for each doubling up to the 78 VMs of a data centre, and as often
in acks.
"""

PERMIT_HOLD_S = 8.0
"""Time that a request of the target load, with 330 tokens, holds a permit."""

QUEUE_WAIT_S = 0.5
"""Wait in a pool's queue above which requests are refused."""

SHORT_REPORT_POLLS_PER_S = 1
"""Polls of each backend server per second after the proposed change."""

REDUCED_BYTES_SHARE = 0.4
"""Size of permit messages after the proposed change, relative to before."""


@attrs.frozen(kw_only=True)
class Cost:
    """Control cost of one role on one VM.

    Parameters
    ----------
    role : str
        Name of the role.
    mechanism : str
        How the role works.
    state : str
        What the VM holds in memory for it.
    basis : str
        ``'measured'`` if the cost is a product of rates and slopes,
        ``'reckoned'`` if it also depends on assumed sizes.
    """

    role: str
    mechanism: str
    state: str
    messages_per_s: float
    bytes_per_s: float
    processor_ms_per_s: float
    memory_mb: float
    basis: str


def read_slopes(path=SLOPES_PATH):
    """Return the measured unit costs by name."""
    records = json.loads(path.read_text(encoding='utf-8'))
    return {name: record['value'] for name, record in records.items()}


def pool_count():
    """Return the number of pools: one for each model and data centre."""
    return MODELS * DATA_CENTRES


def gateway_cost(slopes):
    """Return the cost of requesting permits and of caller limits."""
    rate = REQUESTS_PER_S / VMS
    half_us = (slopes['request_encode_us'] + slopes['request_decode_us']) / 2
    return Cost(
        role='gateway',
        mechanism='a permit a request by metadata; limits before it',
        state=f'{rate * PERMIT_HOLD_S:.0f} permits, {CALLERS} callers',
        messages_per_s=rate * slopes['request_messages_count'],
        bytes_per_s=rate * _permit_bytes(slopes),
        processor_ms_per_s=rate * (half_us + slopes['limit_admit_us']) / 1000,
        memory_mb=(
            rate * PERMIT_HOLD_S * slopes['permit_bytes']
            + CALLERS * slopes['caller_limits_bytes']
        )
        / 1e6,
        basis='reckoned',
    )


def scheduler_cost(slopes, *, shards, polls_per_s=POLLS_PER_S):
    """Return the cost of scheduling one shard of a pool."""
    rate = REQUESTS_PER_S / pool_count() / shards
    servers = SERVERS / pool_count() / shards
    half_us = (slopes['request_encode_us'] + slopes['request_decode_us']) / 2
    step_us = slopes['scheduler_request_us'] + slopes['queue_request_us']
    poll_ms = slopes['polled_server_ms_per_s'] / POLLS_PER_S
    poll_bytes = slopes['load_report_bytes'] + HTTP_HEADER_BYTES
    return Cost(
        role=f'owner of a pool, {shards} to a pool',
        mechanism='rendezvous over the view; permits; polled reports',
        state=(
            f'{servers:.1f} backend servers, '
            f'{rate * PERMIT_HOLD_S:.0f} permits'
        ),
        messages_per_s=rate * slopes['request_messages_count']
        + servers * polls_per_s,
        bytes_per_s=rate * _permit_bytes(slopes)
        + servers * polls_per_s * poll_bytes,
        processor_ms_per_s=rate * (half_us + step_us) / 1000
        + servers * polls_per_s * poll_ms,
        memory_mb=(
            rate * PERMIT_HOLD_S * slopes['permit_bytes']
            + rate * QUEUE_WAIT_S * slopes['waiting_request_bytes']
            + servers * 4096 * slopes['prefix_hash_bytes']
        )
        / 1e6,
        basis='reckoned',
    )


def membership_cost(slopes):
    """Return the cost of failure detection and membership updates."""
    probes = 2 * PROBES_PER_S
    updates = 2 * RESTARTS_PER_DAY / SECONDS_PER_DAY * UPDATE_COPIES
    probe_bytes = slopes['probe_bytes'] + 2 * UDP_HEADER_BYTES
    return Cost(
        role='membership',
        mechanism='probes of one peer at a time, news carried along',
        state=f'{VMS} members',
        messages_per_s=2 * probes,
        bytes_per_s=probes * probe_bytes
        + updates * slopes['member_update_bytes'],
        processor_ms_per_s=probes * slopes['probe_us'] / 2 / 1000,
        memory_mb=VMS * slopes['member_bytes'] / 1e6,
        basis='reckoned',
    )


def configuration_cost(slopes):
    """Return the cost of a VM that watches the configuration."""
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    return Cost(
        role='configuration, watcher',
        mechanism='two watchers a data centre read whole values',
        state=f'{SERVERS} backend servers, 130 exceptions',
        messages_per_s=changes,
        bytes_per_s=changes * slopes['configuration_text_bytes'],
        processor_ms_per_s=changes * slopes['configuration_parse_ms'],
        memory_mb=(
            slopes['configuration_bytes'] + slopes['configuration_text_bytes']
        )
        / 1e6,
        basis='reckoned',
    )


def base_cost(slopes):
    """Return the cost of an idle daemon, less that of a bare process."""
    return Cost(
        role='process at rest',
        mechanism='one process a VM; libraries shared by all parts',
        state='imports, empty tables',
        messages_per_s=0,
        bytes_per_s=0,
        processor_ms_per_s=slopes['rest_processor_ms_per_s'],
        memory_mb=slopes['rest_resident_mb'] - slopes['bare_resident_mb'],
        basis='measured',
    )


def sum_costs(role, costs):
    """Return the total cost of several roles on one VM."""
    return Cost(
        role=role,
        mechanism='',
        state='',
        messages_per_s=sum(cost.messages_per_s for cost in costs),
        bytes_per_s=sum(cost.bytes_per_s for cost in costs),
        processor_ms_per_s=sum(cost.processor_ms_per_s for cost in costs),
        memory_mb=sum(cost.memory_mb for cost in costs),
        basis='reckoned',
    )


def reduce_bytes(cost):
    """Return a cost with its bytes reduced by the proposed change."""
    return attrs.evolve(
        cost, bytes_per_s=cost.bytes_per_s * REDUCED_BYTES_SHARE
    )


def make_tables(slopes):
    """Return Markdown tables of the roles and of totals against the budget."""
    common = [base_cost(slopes), membership_cost(slopes)]
    gateway = gateway_cost(slopes)
    watcher = configuration_cost(slopes)
    whole = scheduler_cost(slopes, shards=1)
    split = scheduler_cost(slopes, shards=5)
    polled_less = scheduler_cost(
        slopes, shards=5, polls_per_s=SHORT_REPORT_POLLS_PER_S
    )
    roles = [*common, gateway, watcher, whole, split]
    every = [*common, gateway]
    sums = [
        sum_costs('a VM that owns nothing', every),
        sum_costs('... and watches the configuration', [*every, watcher]),
        sum_costs('... and owns a whole pool', [*every, watcher, whole]),
        sum_costs('... or owns a fifth of a pool', [*every, watcher, split]),
        sum_costs(
            'a fifth, lean messages, one poll a second',
            [
                *common,
                reduce_bytes(gateway),
                watcher,
                reduce_bytes(polled_less),
            ],
        ),
    ]
    return '\n\n'.join((_role_table(roles), _sum_table(sums)))


def data_path_ms_per_s(slopes):
    """Return the processor time of a VM for relaying requests and answers.

    This is not part of the control cost.
    """
    return (
        REQUESTS_PER_S / VMS * slopes['request_processor_ms']
        + TOKENS_PER_S / VMS * slopes['piece_processor_us'] / 1000
    )


def _permit_bytes(slopes):
    header_bytes = slopes['request_messages_count'] * TCP_HEADER_BYTES
    return slopes['request_messages_bytes'] + header_bytes


def _role_table(costs):
    lines = [
        '| role | mechanism | state | messages/s | KB/s | ms/s | MB | basis |',
        '|---|---|---|---|---|---|---|---|',
    ]
    lines += [
        f'| {cost.role} | {cost.mechanism} | {cost.state} | '
        f'{_figures(cost)} | {cost.basis} |'
        for cost in costs
    ]
    return '\n'.join(lines)


def _sum_table(costs):
    lines = [
        '| VM | messages/s | KB/s | ms/s | MB | over the limit |',
        '|---|---|---|---|---|---|',
    ]
    for cost in costs:
        over = [
            name
            for name, value, limit in (
                ('bytes', cost.bytes_per_s, BYTES_PER_S),
                ('processor', cost.processor_ms_per_s, PROCESSOR_MS_PER_S),
                ('memory', cost.memory_mb, MEMORY_MB),
            )
            if value > limit
        ]
        verdict = ', '.join(over) or 'nothing'
        lines.append(f'| {cost.role} | {_figures(cost)} | {verdict} |')
    limits = f'{BYTES_PER_S / 1000:.1f} | {PROCESSOR_MS_PER_S} | {MEMORY_MB}'
    lines.append(f'| **limit** | | {limits} | |')
    return '\n'.join(lines)


def _figures(cost):
    return (
        f'{cost.messages_per_s:.1f} | {cost.bytes_per_s / 1000:.2f} | '
        f'{cost.processor_ms_per_s:.1f} | {cost.memory_mb:.1f}'
    )


def main():
    """Print the tables and the processor time of the data path."""
    slopes = read_slopes()
    print(make_tables(slopes))
    print(f'\nData path: {data_path_ms_per_s(slopes):.0f} ms/s a VM.')


if __name__ == '__main__':
    main()
