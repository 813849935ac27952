"""Starts platform, engines and daemons of one data centre on loopback."""

import json

import trio

import standin
from tests.integration import _fleet

DATA_CENTRE = 'cluj-a'
REGION = 'transilvania'
MODEL = 'atelier-llm'
SERVICE = 'magazin-piese'
PROMPT = 'Porcelain doll, about 1890: hairline crack below the eye. ' * 20


def make_settings(fleet, vm, **changes):
    """Return the settings of one daemon."""
    platform = fleet.standins['platform']
    return {
        'vm': vm,
        'data_centre': DATA_CENTRE,
        'region': REGION,
        'host': '127.0.0.1',
        'peer_port': 0,
        'caller_port': 0,
        'platform_addresses': [f'{platform.host}:{platform.port}'],
        **changes,
    }


def make_configuration(servers):
    """Return a configuration with the given backend servers.

    Each item of ``servers`` is a tuple of name, `Address`, the name of the
    model or service served, and role.
    """
    return {
        'revision': 1,
        'regions': [{'name': REGION, 'data_centres': [DATA_CENTRE]}],
        'models': [{'name': MODEL}],
        'services': [{'name': SERVICE}],
        'backend_servers': [
            {
                'name': name,
                'host': address.host,
                'port': address.port,
                'data_centre': DATA_CENTRE,
                'serves': serves,
                'role': role,
            }
            for name, address, serves, role in servers
        ],
    }


async def start_engine(fleet, name, prefill, decode):
    """Start a stand-in engine in its own process."""
    settings = prefill if role_of(name) == 'prefill' else decode
    entry = {'kind': 'engine', 'name': name, 'role': role_of(name)}
    await fleet.start_standins([{**entry, **settings}])


def role_of(name):
    """Return ``prefill`` for names that start with p, else ``decode``."""
    return 'prefill' if name.startswith('p') else 'decode'


async def start_router(
    fleet,
    *,
    vms=('vm1',),
    names=('p1', 'd1', 'd2'),
    prefill=None,
    decode=None,
    addresses=None,
    disabled_mechanisms=(),
):
    """Start a platform, engines and daemons.

    Parameters
    ----------
    names : tuple of str
        Names of the engines; the first letter gives the role, p for prefill
        and d for decode.
    prefill, decode : dict or None
        Settings of the prefill and of the decode engines.
    addresses : dict or None
        Proxies by engine name. The configuration lists the proxy in place
        of the engine, and the proxy forwards to the engine.
    disabled_mechanisms : tuple of str
        Mechanisms to disable in every daemon.
    """
    await fleet.start_standins([{'kind': 'platform'}])
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(
                start_engine, fleet, name, prefill or {}, decode or {}
            )
    for name, proxy in (addresses or {}).items():
        target_port = fleet.standins[name].port
        await fleet.control_proxy(proxy, target_port=target_port)
    await publish(fleet, names, addresses=addresses)
    for vm in vms:
        await fleet.start_daemon(
            make_settings(
                fleet, vm, disabled_mechanisms=list(disabled_mechanisms)
            )
        )
    await fleet.publish_vms()
    for vm in vms:
        await wait_until_served(fleet, vm)


async def publish(fleet, names, *, addresses=None):
    """Publish a configuration that lists the named engines."""
    listed = {**fleet.standins, **(addresses or {})}
    servers = [(name, listed[name], MODEL, role_of(name)) for name in names]
    await fleet.publish_config(make_configuration(servers))


async def wait_until_served(fleet, vm):
    """Wait until a VM answers a completion request with status 200."""

    async def is_answered():
        answer = await ask_whole(fleet, vm, 'ready?', 1)
        return answer.status == 200

    await _fleet.until(is_answered, what=f'the first answer of {vm}')


def make_completion_body(prompt, max_tokens, *, stream=False):
    """Return the body of a completion request."""
    return {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': stream,
    }


async def ask_whole(fleet, vm, prompt, max_tokens, **headers):
    """Send a completion request that is not streamed; return the answer.

    Underscores in the names of ``headers`` become hyphens.
    """
    return await fleet.call(
        'POST',
        fleet.daemons[vm].callers,
        '/v1/completions',
        make_completion_body(prompt, max_tokens),
        {key.replace('_', '-'): value for key, value in headers.items()},
    )


class Stream:
    """A streamed answer that a background task reads.

    ``text`` holds the pieces received so far, ``ended`` is set by the final
    [DONE], and ``error`` is the typed error that ended the answer instead.
    """

    def __init__(self):
        self.text = ''
        self.count = 0
        self.ended = False
        self.error = None
        self.status = 0
        self.closed = False

    async def read(self, fleet, vm, prompt, max_tokens, **headers):
        """Send a streamed request and read its answer until it ends."""
        body = make_completion_body(prompt, max_tokens, stream=True)
        named = {key.replace('_', '-'): v for key, v in headers.items()}
        async with fleet.open(
            'POST', fleet.daemons[vm].callers, '/v1/completions', body, named
        ) as response:
            self.status = response.status
            if response.status == 200:
                await self._read_events(response)
            else:
                self.error = json.loads(await response.aread())['error']
        self.closed = True

    async def _read_events(self, response):
        buffer = b''
        async for chunk in response.aiter_stream():
            *events, buffer = (buffer + chunk).split(b'\n\n')
            for event in events:
                self._handle_event(event.removeprefix(b'data: '))

    def _handle_event(self, data):
        if data == b'[DONE]':
            self.ended = True
            return
        fields = json.loads(data)
        if 'error' in fields:
            self.error = fields['error']
            return
        self.text += fields['choices'][0]['text']
        self.count += 1

    async def wait_for(self, count):
        """Wait until at least ``count`` pieces have arrived."""
        await _fleet.until(
            lambda: self.count >= count, what=f'piece {count} of the answer'
        )


def expect(prompt, count):
    """Return the whole answer that the stand-in engines give to a prompt."""
    return standin.expected_answer(prompt, count)


async def find_holder(fleet, names=('d1', 'd2')):
    """Wait until an engine runs a request; return the engine's name."""

    async def find_running():
        for name in names:
            if (await fleet.state(name))['running_ids']:
                return name
        return None

    return await _fleet.until(
        find_running, what='an engine that runs a request'
    )


async def wait_until_free(fleet, names=('p1', 'd1', 'd2')):
    """Wait until no engine runs a request."""

    async def are_free():
        for name in names:
            if (await fleet.state(name))['running_ids']:
                return False
        return True

    await _fleet.until(are_free, what=f'free memory at {", ".join(names)}')


async def sum_state(fleet, key, names=('d1', 'd2')):
    """Return the sum of one state field over the engines.

    A list or a mapping counts as its length.
    """
    count = 0
    for name in names:
        value = (await fleet.state(name))[key]
        count += len(value) if isinstance(value, (list, dict)) else value
    return count


def open_stream(nursery, fleet, vm, prompt, max_tokens, **headers):
    """Start reading a streamed answer; return the `Stream`."""
    stream = Stream()

    async def read():
        await stream.read(fleet, vm, prompt, max_tokens, **headers)

    nursery.start_soon(read)
    return stream


async def wait_until_closed(stream):
    """Wait until a stream has ended, with or without an error."""
    await _fleet.until(lambda: stream.closed, what='the end of the stream')
    await trio.lowlevel.checkpoint()
