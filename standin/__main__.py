"""Run stand-ins in one process: ``python -m standin --file FILE``.

The file is JSON with comments: ``{"standins": [{"kind": "engine", ...}]}``.
The other fields of an entry are the settings of that kind. Once all stand-ins
listen, one JSON line for each is printed to standard output.
"""

import argparse
import json
import pathlib

import jsonyx
import trio

from bluebellthread import core

from standin import _engine
from standin import _platform
from standin import _proxy
from standin import _service

kinds = core.Registry('kind of stand-in')


@kinds.register('engine')
def make_engine(fields):
    """Return a stand-in for a model engine."""
    return _engine.Engine(_engine.EngineSettings(**fields))


@kinds.register('service')
def make_service(fields):
    """Return a stand-in for a plain service."""
    return _service.Service(_service.ServiceSettings(**fields))


@kinds.register('platform')
def make_platform(fields):
    """Return a stand-in for the platform."""
    return _platform.Platform(_platform.PlatformSettings(**fields))


@kinds.register('proxy')
def make_proxy(fields):
    """Return a fault-injecting proxy."""
    return _proxy.Proxy(_proxy.ProxySettings(**fields))


async def host(entries):
    """Start the listed stand-ins, print their addresses and run forever."""
    async with trio.open_nursery() as nursery:
        lines = []
        for entry in entries:
            fields = dict(entry)
            kind = fields.pop('kind')
            started = kinds.get(kind)(fields)
            for line in await started.start(nursery):
                lines.append({'kind': kind, **line})
        for line in lines:
            print(json.dumps(line), flush=True)


def main():
    """Parse the command line and run the stand-ins."""
    parser = argparse.ArgumentParser(prog='python -m standin')
    parser.add_argument('--file', type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    allowed = jsonyx.allow.COMMENTS | jsonyx.allow.TRAILING_COMMA
    text = arguments.file.read_text(encoding='utf-8')
    trio.run(host, jsonyx.loads(text, allow=allowed)['standins'])


if __name__ == '__main__':
    main()
