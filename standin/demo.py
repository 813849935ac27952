"""Run the demo: stand-ins and three daemons in one process.

The demo sends a condition report to a model and a stock lookup to a plain
service, prints the answers and the trace of the report, and exits with 0. All
traffic uses the loopback interface.
"""

import json
import pathlib
import sys
import tempfile

import httpcore
import trio

from bluebellthread import configuration
from bluebellthread.daemon import _service as daemon_service
from bluebellthread.observe import start_log
from standin import _engine
from standin import _platform
from standin import _service

HOST = '127.0.0.1'
DATA_CENTRE = 'cluj-a'
REGION = 'transilvania'
VMS = ('cluj-1', 'cluj-2', 'cluj-3')
REPORT = 'Porcelain doll, about 1890: hairline crack below the left eye. ' * 40
TIME_LIMIT_S = 60
READY_POLL_S = 0.05


async def run_demo():
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        trace_path = pathlib.Path(directory) / 'trace.jsonl'
        with trio.move_on_after(TIME_LIMIT_S):
            async with trio.open_nursery() as nursery:
                addresses = await start_all(nursery, trace_path)
                await show_answers(addresses)
                nursery.cancel_scope.cancel()
            print_trace(read_spans(trace_path))
            return 0
    print('the demo timed out; run it on a less busy machine')
    return 1


async def start_all(nursery, trace_path):
    """Start stand-ins and daemons; return each VM's address for callers."""
    platform = _platform.Platform(_platform.PlatformSettings())
    (listening,) = await platform.start(nursery)
    servers = [
        await start_engine(nursery, name='prefill-1', role='prefill'),
        await start_engine(nursery, name='decode-1', role='decode'),
        await start_engine(nursery, name='decode-2', role='decode'),
        await start_plain_service(nursery, name='stock-1'),
    ]
    platform_address = f'{HOST}:{listening["port"]}'
    addresses = {}
    vms = []
    for vm in VMS:
        service = daemon_service.DaemonService(
            make_settings(vm, platform_address, trace_path)
        )
        caller_address, peer_address = await nursery.start(service.run)
        addresses[vm] = caller_address
        vms.append(describe_vm(vm, caller_address, peer_address))
    await post(platform_address, '/publish_vms', vms)
    await post(
        platform_address, '/publish_config', make_configuration(servers)
    )
    return addresses


async def start_engine(nursery, *, name, role):
    """Start one stand-in engine; return its configuration entry."""
    engine = _engine.Engine(_engine.EngineSettings(name=name, role=role))
    (listening,) = await engine.start(nursery)
    return describe_server(listening, serves='atelier-llm', role=role)


async def start_plain_service(nursery, *, name):
    """Start one stand-in service; return its configuration entry."""
    service = _service.Service(_service.ServiceSettings(name=name))
    (listening,) = await service.start(nursery)
    return describe_server(listening, serves='magazin-piese', role='service')


def describe_server(listening, *, serves, role):
    """Return the entry of a backend server in the configuration."""
    return {
        'name': listening['name'],
        'host': listening['host'],
        'port': listening['port'],
        'data_centre': DATA_CENTRE,
        'serves': serves,
        'role': role,
    }


def describe_vm(vm, caller_address, peer_address):
    """Return the entry of a VM in the VM list of the platform."""
    return {
        'name': vm,
        'data_centre': DATA_CENTRE,
        'region': REGION,
        'host': HOST,
        'peer_port': int(peer_address.rpartition(':')[2]),
        'caller_port': int(caller_address.rpartition(':')[2]),
        'state': 'live',
    }


def make_settings(vm, platform_address, trace_path):
    """Return the settings of the daemon on one VM."""
    return configuration.Settings(
        vm=vm,
        data_centre=DATA_CENTRE,
        region=REGION,
        host=HOST,
        peer_port=0,
        caller_port=0,
        platform_addresses=(platform_address,),
        trace_path=str(trace_path),
    )


def make_configuration(servers):
    """Return the configuration that the platform publishes."""
    return {
        'revision': 1,
        'regions': [{'name': REGION, 'data_centres': [DATA_CENTRE]}],
        'models': [{'name': 'atelier-llm'}],
        'services': [{'name': 'magazin-piese'}],
        'backend_servers': servers,
    }


async def show_answers(addresses):
    """Send a model request and a plain call, and print the answers."""
    report = {
        'model': 'atelier-llm',
        'messages': [{'role': 'user', 'content': REPORT}],
        'max_tokens': 24,
    }
    answer = await call_until_ready(
        addresses['cluj-2'], '/v1/chat/completions', report
    )
    print('condition report, asked at cluj-2:')
    print(' ', answer['choices'][0]['message']['content'].strip())
    stock = await call_until_ready(
        addresses['cluj-3'], '/services/magazin-piese/stock/eye-blue-12mm'
    )
    print('stock lookup, asked at cluj-3:')
    print(' ', json.dumps(stock))


async def call_until_ready(address, path, body=None):
    """Repeat a call until its status is 200; return the answer as JSON."""
    while True:
        if body is None:
            response = await call('GET', address, path)
        else:
            response = await post(address, path, body)
        if response.status == 200:
            return json.loads(response.content)
        await trio.sleep(READY_POLL_S)


async def post(address, path, body):
    """Send a JSON body to an address with POST; return the response."""
    return await call('POST', address, path, json.dumps(body).encode())


async def call(method, address, path, content=None):
    """Make one HTTP call and return the response."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method, f'http://{address}{path}', content=content
        )


def read_spans(trace_path):
    """Return the spans in a trace file, sorted by start time."""
    lines = trace_path.read_text(encoding='utf-8').splitlines()
    spans = [json.loads(line) for line in lines]
    return sorted(spans, key=lambda span: span['start_ns'])


def print_trace(spans):
    """Print the trace of the last model request as a tree."""
    decodes = [span for span in spans if span['hop'] == 'decode']
    trace_id = decodes[-1]['trace_id']
    print('trace of the condition report:')
    print_children(
        [span for span in spans if span['trace_id'] == trace_id], '', 1
    )


def print_children(spans, parent_id, depth):
    """Print the descendants of a span, indented by their depth."""
    for span in spans:
        if span['parent_id'] != parent_id:
            continue
        duration_ms = (span['end_ns'] - span['start_ns']) / 1e6
        vm = span['attributes'].get('vm', '')
        print(f'{"  " * depth}{span["hop"]} {duration_ms:.1f} ms at {vm}')
        print_children(spans, span['span_id'], depth + 1)


def main():
    """Run the demo from the command line."""
    start_log('ERROR')
    return trio.run(run_demo)


if __name__ == '__main__':
    sys.exit(main())
