"""Build engines and placement messages for tests of the allocator."""

from bluebellthread.core import routing


def make_engine(name, role, **changes):
    fields = {
        'name': name,
        'incarnation': 1,
        'role': role,
        'data_centre': 'cluj-a',
        'region': 'north',
        'slot_count': 48,
        'memory_tokens': 10000,
        **changes,
    }
    return routing.EngineServer(**fields)


def make_request(ask_id, **changes):
    fields = {
        'ask_id': ask_id,
        'vm': 'vm1',
        'vm_incarnation': 1,
        'data_centre': 'cluj-a',
        'serves': 'm',
        'prompt_tokens': 3000,
        'output_tokens': 1000,
        'target_deadline_ms': 900,
        'start_deadline_ms': 3600,
        'deadline_ms': 14000,
        'poll_deadline_ms': 400,
        **changes,
    }
    return routing.PlacementAsk(**fields)


def make_held(*placements, vm='vm1', incarnation=1):
    return routing.PlacementsHeld(
        vm=vm, vm_incarnation=incarnation, serves='m', places=placements
    )


def make_held_placement(ask_id, **changes):
    fields = {
        'ask_id': ask_id,
        'prefill_server': 'p1',
        'decode_server': 'd1',
        'prompt_tokens': 3000,
        'output_tokens': 1000,
        'writing_ms': 0,
        'deadline_ms': 14000,
        **changes,
    }
    return routing.HeldPlacement(**fields)


def granted_ids(answers):
    return [
        answer.ask_id
        for answer in answers
        if isinstance(answer, routing.PlacementGranted)
    ]


def refusal_kinds(answers):
    return {
        answer.ask_id: answer.kind
        for answer in answers
        if isinstance(answer, routing.PlacementRefused)
    }
