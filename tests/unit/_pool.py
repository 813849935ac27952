"""Builders of a small pool's scheduler and events, for tests."""

from bluebellthread import core

POOL = core.PoolKey(serves='atelier-llm', data_centre='cluj-a')


def make_server(name):
    role = core.ROLE_PREFILL if name.startswith('p') else core.ROLE_DECODE
    return core.BackendServer(
        name=name,
        host='127.0.0.1',
        port=1,
        data_centre='cluj-a',
        serves='atelier-llm',
        role=role,
    )


def make_servers(*names):
    return core.ServersChanged(servers=tuple(map(make_server, names)))


def make_report(server, sequence, now_ms, *, total=4, free=None, **fields):
    return core.LoadReport(
        server=server,
        sequence=sequence,
        total_pieces=total,
        free_pieces=total if free is None else free,
        received_ms=now_ms,
        **fields,
    )


def make_request(request_id, *, gateway='vm2', deadline_ms=9000, **fields):
    values = {'prompt_tokens': 1500, 'output_tokens': 100} | fields
    return core.PermitRequest(
        request_id=request_id,
        gateway=gateway,
        gateway_incarnation=2,
        caller='workshop-12',
        pool=POOL,
        deadline_ms=deadline_ms,
        first_output_deadline_ms=deadline_ms,
        **values,
    )


def make_permit(permit_id, request_id, *, gateway='vm2', **fields):
    values = {'pieces': 1, 'deadline_ms': 9000, 'stage': 'decoding'} | fields
    return core.Permit(
        permit_id=permit_id,
        request_id=request_id,
        gateway=gateway,
        gateway_incarnation=2,
        caller='workshop-12',
        pool=POOL,
        prefill_server='p1',
        decode_server='d1',
        prompt_tokens=1500,
        **values,
    )


def make_gateways(*names):
    return core.GatewaysChanged(live=tuple((name, 2) for name in names))


def register(gateway, *permits):
    return core.PermitsRegistered(
        gateway=gateway, gateway_incarnation=2, pool=POOL, permits=permits
    )


def release(permit_id, *, clean=True):
    return core.PermitReleased(permit_id=permit_id, pool=POOL, clean=clean)


def make_scheduler(**options):
    return core.Scheduler(
        pool=POOL,
        vm='vm1',
        incarnation=1,
        options=core.SchedulerOptions(**options),
    )


def start_scheduler(*, gateways=('vm2', 'vm3'), servers=('p1', 'd1')):
    """Return a scheduler at time 0 with all gateways registered."""
    scheduler = make_scheduler()
    scheduler.handle(make_servers(*servers), 0)
    scheduler.handle(make_gateways(*gateways), 0)
    for gateway in gateways:
        scheduler.handle(register(gateway), 0)
    for server in servers:
        scheduler.handle(make_report(server, 1, 0), 0)
    return scheduler


def find_granted(commands):
    return [
        command.message.permit
        for command in commands
        if isinstance(command, core.SendToGateway)
        and isinstance(command.message, core.PermitGranted)
    ]


def find_cancels(commands):
    return [
        (command.server, command.permit_id)
        for command in commands
        if isinstance(command, core.CancelAtEngine)
    ]


def find_kinds(commands):
    return [
        (command.gateway, command.message.kind)
        for command in commands
        if isinstance(command, core.SendToGateway)
        and hasattr(command.message, 'kind')
    ]
