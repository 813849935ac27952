"""One run: start a deployment, load it, inject a fault, summarise."""

import json
import sys

import attrs
import trio

from bluebellthread import core

from bench import _client
from bench import _faults
from bench import _rig
from bench import _summary
from bench import _workload

GRACE_S = 9
"""Seconds to wait for answers after the last request."""

FAULT_SHARE = 0.3
"""Share of the run's duration after which the fault is injected."""

STATE_INTERVAL_S = 0.5
"""Unused: states are read just before a fault and at the end of the run.

For an engine that a fault kills, the record has the state before the fault.
"""


async def run_once(
    *,
    deployment,
    policy,
    policies,
    load,
    fault,
    seed,
    duration_s,
    outcomes_path=None,
):
    """Run one combination of options and return its record.

    Parameters
    ----------
    deployment : Deployment
        Data centres and engines to start.
    policy : str
        Name under which the record lists the policies.
    policies : Policies
        Policies that the configuration sets.
    load : float
        Offered load as a share of the deployment's capacity.
    fault : str
        Name of the fault to inject.
    seed : int
        Seed of the arrivals.
    duration_s : float
        Time over which requests are sent.
    outcomes_path : str or None
        File to which one JSON line per request is appended.
    """
    rig = _rig.Rig(
        deployment=deployment,
        policies=policies,
        with_proxies=fault in _faults.PROXIED,
    )
    try:
        async with trio.open_nursery() as nursery:
            await rig.start(nursery)
            outcomes, record = await _load_rig(
                rig, nursery, load, fault, seed, duration_s
            )
            nursery.cancel_scope.cancel()
    except BaseException:
        print(rig.fleet.read_logs()[-4000:], file=sys.stderr)
        raise
    finally:
        with trio.CancelScope(shield=True):
            await rig.close()
    if outcomes_path:
        _append_outcomes(outcomes_path, outcomes)
    return {
        'deployment': deployment.name,
        'places': [item.name for item in deployment.data_centres],
        'policy': policy,
        'load': load,
        'fault': fault,
        'seed': seed,
        'duration_s': duration_s,
        **record,
    }


async def _load_rig(rig, nursery, load, fault, seed, duration_s):
    workload = _workload.Workload(seed=seed, deployment=rig.deployment)
    arrivals = workload.arrivals(duration_s=duration_s, load=load)
    client = _client.Client(
        addresses=rig.addresses(), model=rig.deployment.model
    )
    before = rig.daemon_usage()
    if fault != 'none':
        nursery.start_soon(_inject_fault, rig, fault, duration_s)
    await client.run(arrivals, grace_s=GRACE_S)
    states = await rig.read_states()
    after = rig.daemon_usage()
    record = _summary.summarise(client.outcomes, states, duration_s=duration_s)
    spent_ms = sum(
        after[name]['processor_ms'] - before[name]['processor_ms']
        for name in after
    )
    pieces = sum(outcome.pieces for outcome in client.outcomes)
    return client.outcomes, {
        **record,
        'pieces': pieces,
        **_summary.summarise_counters(
            rig.sink.counts, record['prefill_tokens']
        ),
        # Null (not measured): no mechanism sends data between regions yet.
        'region_link_bytes': rig.sink.counts.get('region_link_bytes'),
        'daemon_processor_ms': round(spent_ms),
        'daemon_resident_mb': round(
            max(use['resident_mb'] for use in after.values()), 1
        ),
    }


def _append_outcomes(path, outcomes):
    with open(path, 'a', encoding='utf-8') as file:
        for outcome in outcomes:
            fields = attrs.asdict(outcome)
            prompt = fields['arrival'].pop('prompt')
            fields['arrival']['prompt_tokens'] = core.estimate_tokens(prompt)
            file.write(json.dumps(fields) + '\n')


async def _inject_fault(rig, fault, duration_s):
    await trio.sleep(FAULT_SHARE * duration_s)
    await rig.read_states()
    await _faults.fault_kinds.get(fault)(rig)
