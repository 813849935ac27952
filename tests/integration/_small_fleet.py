"""Helpers for a small fleet with one model and one plain service."""

from tests.integration import _fleet

PROMPT = 'a cracked glaze, a lost wig; ' * 100
DATA_CENTRE = 'cluj-a'
REGION = 'transilvania'


def make_standins():
    return [
        {'kind': 'platform'},
        {'kind': 'engine', 'name': 'p1', 'role': 'prefill'},
        {'kind': 'engine', 'name': 'd1', 'role': 'decode'},
        {'kind': 'service', 'name': 's1'},
    ]


def make_configuration(fleet):
    roles = {'p1': 'prefill', 'd1': 'decode', 's1': 'service'}
    return {
        'revision': 1,
        'regions': [{'name': REGION, 'data_centres': [DATA_CENTRE]}],
        'models': [{'name': 'atelier-llm'}],
        'services': [{'name': 'magazin-piese'}],
        # Late answers must not be refused: tests of failures wait for them.
        'defaults': {'first_output_target_ms': 60000},
        'backend_servers': [
            {
                'name': name,
                'host': fleet.standins[name].host,
                'port': fleet.standins[name].port,
                'data_centre': DATA_CENTRE,
                'serves': 'magazin-piese' if name == 's1' else 'atelier-llm',
                'role': role,
            }
            for name, role in roles.items()
        ],
    }


async def start_fleet(fleet, *, vms=('vm1', 'vm2')):
    await fleet.start_standins(make_standins())
    platform = fleet.standins['platform']
    await fleet.publish_config(make_configuration(fleet))
    for vm in vms:
        await fleet.start_daemon(
            {
                'vm': vm,
                'data_centre': DATA_CENTRE,
                'region': REGION,
                'host': '127.0.0.1',
                'peer_port': 0,
                'caller_port': 0,
                'platform_addresses': [f'{platform.host}:{platform.port}'],
            }
        )
    await fleet.publish_vms()
    for vm in vms:
        await _fleet.until(lambda vm=vm: can_answer(fleet, vm))


async def can_answer(fleet, vm):
    answer = await complete(fleet, vm, max_tokens=1)
    return answer.status == 200


async def complete(fleet, vm, *, max_tokens, headers=None):
    body = {'model': 'atelier-llm', 'prompt': PROMPT, 'max_tokens': max_tokens}
    callers = fleet.daemons[vm].callers
    return await fleet.call('POST', callers, '/v1/completions', body, headers)
