from bluebellthread import core

POOL = core.PoolKey(serves='atelier-llm', data_centre='cluj-a')


def make_request(request_id, **fields):
    values = {
        'request_id': request_id,
        'gateway': 'vm1',
        'gateway_incarnation': 7,
        'caller': 'workshop-12',
        'pool': POOL,
        'prompt_tokens': 1000,
        'output_tokens': 0,
        'deadline_ms': 60000,
        'first_output_deadline_ms': 60000,
    }
    return core.PermitRequest(**{**values, **fields})


def fits_always(request):
    return True


def drain(queue, *, now_ms=0):
    order = []
    while (request := queue.pop_next(fits_always, now_ms=now_ms)) is not None:
        order.append(request.request_id)
    return order
