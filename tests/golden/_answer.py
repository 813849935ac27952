"""Machine and event shorthand for golden sessions of `AnswerMachine`."""

import itertools
import random

from bluebellthread import core
from bluebellthread.core import _retry

from tests.golden import _replay

POOL = core.PoolKey(serves='atelier-llm', data_centre='cluj-a')


@_replay.machines.register('answer')
def make_machine(options):
    request = core.PermitRequest(
        request_id='r1',
        gateway='vm1',
        gateway_incarnation=7,
        caller='workshop-12',
        pool=POOL,
        prompt_tokens=0,
        output_tokens=options['output_tokens'],
        deadline_ms=options['deadline_ms'],
        first_output_deadline_ms=780,
    )
    return core.AnswerMachine(
        request=request,
        prompt=options['prompt'],
        budget=_retry.RetryBudget(percent=10),
        next_attempt=itertools.count(1).__next__,
        rng=random.Random(1),
    )


@_replay.event_shorthands.register('Granted')
def make_granted(fields):
    permit = core.Permit(
        permit_id=fields['permit_id'],
        request_id='r1',
        attempt_number=fields['attempt_number'],
        gateway='vm1',
        gateway_incarnation=7,
        caller='workshop-12',
        pool=POOL,
        prefill_server=fields['prefill'],
        decode_server=fields['decode'],
        prompt_tokens=3,
        pieces=1,
        deadline_ms=9000,
    )
    return core.PermitGranted(
        permit=permit, scheduler='vm2', scheduler_incarnation=5
    )
