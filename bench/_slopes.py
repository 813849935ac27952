"""Measures unit costs ("slopes") of the parts that run without sockets.

A slope is the processor time, memory or bytes that one more message,
request or stored object costs. Each is measured by a registered function;
``python -m bench slopes --only NAME`` repeats one of the measurements. The
docstring of the function describes the value in the output.
"""

import gc
import json
import random
import subprocess
import sys
import time
import tracemalloc

from bench import _slope_samples
from bluebellthread import configuration
from bluebellthread import core
from bluebellthread.core import _membership_messages
from bluebellthread import wire

slopes = core.Registry('slope')

REPEATS = 5
"""Number of measurements of a processor time; the least one is reported."""

SAMPLE_COUNT = 2000
QUEUE_DEPTH = 400


def measure_us(step, count):
    """Return the least mean processor time of one step in microseconds.

    Parameters
    ----------
    step : callable
        Function that runs one step and takes the index of the step.
    count : int
        Steps in each of the `REPEATS` measurements.
    """
    best = None
    for _ in range(REPEATS):
        start_ns = time.process_time_ns()
        for index in range(count):
            step(index)
        spent = (time.process_time_ns() - start_ns) / 1000 / count
        best = spent if best is None else min(best, spent)
    return round(best, 3)


def measure_bytes(make, count):
    """Return the mean memory of one object in bytes.

    Parameters
    ----------
    make : callable
        Function that takes an index and returns a new object or stores one.
    count : int
        Number of objects to make.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [make(index) for index in range(count)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round((after - before) / len(kept))


@slopes.register('request_messages_count')
def count_messages():
    """Messages between gateway and scheduler for one request."""
    return len(_slope_samples.request_messages())


@slopes.register('request_messages_bytes')
def measure_message_bytes():
    """Bytes of these messages, with frame lengths, without TCP's own."""
    return sum(
        4 + len(wire.encode(_slope_samples.wrap(message), now_ms=0))
        for message in _slope_samples.request_messages()
    )


@slopes.register('request_encode_us')
def measure_encode():
    """Processor time to encode these messages."""
    envelopes = [
        _slope_samples.wrap(message)
        for message in _slope_samples.request_messages()
    ]

    def step(index):
        for envelope in envelopes:
            wire.encode(envelope, now_ms=0)

    return measure_us(step, SAMPLE_COUNT // 4)


@slopes.register('request_decode_us')
def measure_decode():
    """Processor time to decode these messages."""
    frames = [
        wire.encode(_slope_samples.wrap(message), now_ms=0)
        for message in _slope_samples.request_messages()
    ]

    def step(index):
        for frame in frames:
            wire.decode(frame, now_ms=0)

    return measure_us(step, SAMPLE_COUNT // 4)


@slopes.register('scheduler_request_us')
def measure_scheduler():
    """Take one request through a scheduler whose pool is nearly full."""
    options = core.SchedulerOptions(
        prefill_policy='prefix',
        decode_policy='fewest-running',
        queue_policy='fair-early-refusal',
    )
    scheduler = _slope_samples.make_scheduler(options)
    held = []

    def step(index):
        # Request ids must be unique over all repeats.
        number = step.counter = step.counter + 1
        commands = scheduler.handle(_slope_samples.make_request(number), 0)
        permit = commands[0].message.permit
        for stage in ('transferring', 'decoding'):
            scheduler.handle(
                core.PermitProgressed(
                    permit_id=permit.permit_id,
                    pool=_slope_samples.POOL,
                    stage=stage,
                ),
                0,
            )
        held.append(permit)
        if len(held) > 100:
            scheduler.handle(
                core.PermitReleased(
                    permit_id=held.pop(0).permit_id,
                    pool=_slope_samples.POOL,
                    clean=True,
                ),
                0,
            )

    step.counter = 0
    return measure_us(step, 300)


@slopes.register('queue_request_us')
def measure_queue():
    """Push and pop in a queue with a deep backlog of many callers."""
    queue = core.EarlyRefusalQueue(
        core.QueueOptions(maximum_count=QUEUE_DEPTH * 2)
    )
    rng = random.Random(1)
    for index in range(QUEUE_DEPTH):
        queue.push(_slope_samples.make_request(index), now_ms=0)

    def step(index):
        number = step.counter = step.counter + 1
        request = _slope_samples.make_request(
            number, caller=f'c{rng.randrange(_slope_samples.CALLERS)}'
        )
        queue.push(request, now_ms=number // 10)
        queue.pop_next(_fits, now_ms=number // 10)

    step.counter = QUEUE_DEPTH
    return measure_us(step, 400)


@slopes.register('limit_admit_us')
def measure_admit():
    """Admit and finish one request of many callers."""
    limits = core.CallerLimits()

    def step(index):
        caller = f'caller-{index % _slope_samples.CALLERS}'
        limits.admit(caller, concurrency=64, rate_per_s=1e6, now_ms=index)
        limits.finish(caller)

    return measure_us(step, SAMPLE_COUNT)


@slopes.register('permit_bytes')
def measure_permit():
    """Memory of one permit in a scheduler's table."""
    return measure_bytes(_slope_samples.make_permit, SAMPLE_COUNT)


@slopes.register('waiting_request_bytes')
def measure_waiting():
    """Memory of one waiting request in the fair queue."""
    queue = core.FairQueue(
        core.QueueOptions(maximum_count=10**6, caller_maximum_count=10**6)
    )
    return measure_bytes(
        lambda index: queue.push(_slope_samples.make_request(index), now_ms=0),
        SAMPLE_COUNT,
    )


@slopes.register('caller_limits_bytes')
def measure_caller():
    """Memory of one caller's limits."""
    limits = core.CallerLimits()
    return measure_bytes(
        lambda index: limits.admit(
            f'caller-{index}', concurrency=64, rate_per_s=10.0, now_ms=0
        ),
        SAMPLE_COUNT,
    )


@slopes.register('member_bytes')
def measure_member():
    """Memory of one VM in a membership view."""
    return measure_bytes(
        lambda index: core.Member(
            name=f'cluj-a-{index}',
            data_centre='cluj-a',
            region='transilvania',
            host=f'10.10.{index // 250}.{index % 250}',
            peer_port=7400,
            caller_port=8400,
            incarnation=2**61 + index,
        ),
        SAMPLE_COUNT,
    )


@slopes.register('prefix_hash_bytes')
def measure_prefix():
    """Memory of one prefix hash in a scheduler's index."""
    index = core.PrefixIndex()
    return measure_bytes(
        lambda number: index.note_stored('p1', 2**62 + number), SAMPLE_COUNT
    )


@slopes.register('configuration_parse_ms')
def measure_configuration():
    """Parse and accept a whole configuration of the target's size."""
    text = _slope_samples.make_configuration(servers=720, exceptions=130)
    step_us = measure_us(
        lambda index: configuration.parse_configuration(text), 1
    )
    return round(step_us / 1000, 1)


@slopes.register('configuration_bytes')
def measure_configuration_memory():
    """Memory of that configuration once accepted."""
    text = _slope_samples.make_configuration(servers=720, exceptions=130)
    return measure_bytes(
        lambda index: configuration.parse_configuration(text), 2
    )


@slopes.register('configuration_text_bytes')
def measure_configuration_text():
    """Length of that configuration's text."""
    return len(_slope_samples.make_configuration(servers=720, exceptions=130))


@slopes.register('probe_bytes')
def measure_probe_bytes():
    """Bytes of a ping and its answer without news, without UDP's own."""
    return sum(
        len(wire.encode(_slope_samples.wrap(m), now_ms=0))
        for m in _slope_samples.make_probe()
    )


@slopes.register('probe_us')
def measure_probe():
    """Processor time to encode and decode a ping and its answer."""
    envelopes = [
        _slope_samples.wrap(message) for message in _slope_samples.make_probe()
    ]

    def step(index):
        for envelope in envelopes:
            wire.decode(wire.encode(envelope, now_ms=0), now_ms=0)

    return measure_us(step, SAMPLE_COUNT // 4)


@slopes.register('member_update_bytes')
def measure_update():
    """Bytes that one VM's news add to a message."""
    update = _membership_messages.MemberUpdate(
        member=core.Member(
            name='cluj-a-17',
            data_centre='cluj-a',
            region='transilvania',
            host='10.10.0.17',
            peer_port=7400,
            caller_port=8400,
            incarnation=2**61,
        )
    )
    lengths = [
        len(
            wire.encode(
                _slope_samples.wrap(
                    _membership_messages.Gossip(updates=(update,) * n)
                ),
                now_ms=0,
            )
        )
        for n in (1, 11)
    ]
    return (lengths[1] - lengths[0]) // 10


@slopes.register('load_report_bytes')
def measure_report():
    """Bytes of the body of a nearly full engine's load report."""
    report = {
        'server': 'atelier-llm-d1-cluj-a',
        'incarnation': 2**61,
        'sequence': 100000,
        'total_pieces': 60,
        'free_pieces': 2,
        'running_ids': [
            _slope_samples.make_permit(n).permit_id for n in range(20)
        ],
        'queued_count': 0,
        'leaving': False,
    }
    return len(json.dumps(report))


@slopes.register('bare_resident_mb')
def measure_bare():
    """Memory of a bare Python process."""
    return measure_process('')


@slopes.register('import_resident_mb')
def measure_imports():
    """Memory of a Python process that has imported the daemon."""
    return measure_process('import bluebellthread.daemon._service')


def measure_process(code):
    """Return the resident memory in MB of a Python process that ran code.

    Parameters
    ----------
    code : str
        Python source that a new process runs first.
    """
    show = "print(open('/proc/self/status').read())"
    status = subprocess.run(
        [sys.executable, '-c', f'{code}\n{show}'],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return round(int(status.split('VmRSS:')[1].split()[0]) / 1024, 1)


@slopes.register('server_section_bytes')
def measure_server_section():
    """Length of one backend server's entry in the text."""
    long = len(_slope_samples.make_configuration(servers=720, exceptions=0))
    short = len(_slope_samples.make_configuration(servers=0, exceptions=0))
    return round((long - short) / 720)


def measure_all(names):
    """Measure the named slopes.

    Return, by name, the value, its description and the command that
    measures it again.
    """
    found = {}
    for name in names:
        measure = slopes.get(name)
        found[name] = {
            'value': measure(),
            'what': measure.__doc__,
            'command': f'python -m bench slopes --only {name}',
        }
    return found


def _fits(request):
    return True
