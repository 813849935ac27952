"""The users' two deployments, with engines scaled down for short runs.

The ratios that determine the results are those of the real engines: a
decode engine holds about twenty requests, a prefill takes as much engine
time as about fifty output tokens, and an unused prefill result is evicted in
under a second.
"""

import attrs

PREFILL_TOKENS_PER_S = 20000.0
"""Prompt tokens that a prefill engine processes per second."""

DECODE_PIECES = 36
"""Memory blocks of a decode engine, enough for about twenty requests."""

STEP_MS = 25.0
"""Time of a decode step, to which each request adds some time."""

STEP_MS_PER_REQUEST = 0.75
"""Time that each request adds to a step, which takes 40 ms with twenty."""

KV_BYTES_PER_TOKEN = 64
"""Size of the KV cache for each token, scaled down."""

LINK_BYTES_PER_S = 6e6
"""Transfer rate of a prefill engine: about 20 ms for 2,000 tokens."""

EXPORT_KEEP_MS = 800
"""Time after which an unused prefill result is evicted."""

LOAD_LAG_MS = 300
"""Age of the engine state in a load report."""

VMS_PER_DATA_CENTRE = 2
"""Number of daemons in each data centre."""


@attrs.frozen(kw_only=True)
class DataCentre:
    """A data centre and the number of its engines by role."""

    name: str
    region: str
    prefill_count: int
    decode_count: int


@attrs.frozen(kw_only=True)
class Deployment:
    """A model and the data centres in which its engines run."""

    name: str
    model: str
    data_centres: tuple[DataCentre, ...]

    def only(self, names):
        """Return a copy that has only the data centres with these names."""
        data_centres = tuple(
            data_centre
            for data_centre in self.data_centres
            if data_centre.name in names
        )
        return attrs.evolve(self, data_centres=data_centres)


DEPLOYMENTS = {
    'papuseria': Deployment(
        name='papuseria',
        model='atelier-llm',
        data_centres=(
            DataCentre(
                name='cluj-a',
                region='transilvania',
                prefill_count=2,
                decode_count=2,
            ),
            DataCentre(
                name='brasov-b',
                region='transilvania',
                prefill_count=1,
                decode_count=2,
            ),
            DataCentre(
                name='bucuresti-a',
                region='muntenia',
                prefill_count=1,
                decode_count=2,
            ),
        ),
    ),
    'lanhu': Deployment(
        name='lanhu',
        model='caseread',
        data_centres=(
            DataCentre(
                name='taipei-a',
                region='tw-north',
                prefill_count=1,
                decode_count=2,
            ),
            DataCentre(
                name='hsinchu-b',
                region='tw-north',
                prefill_count=1,
                decode_count=2,
            ),
            DataCentre(
                name='kaohsiung-a',
                region='tw-south',
                prefill_count=2,
                decode_count=2,
            ),
        ),
    ),
}


def engine_entries(data_centre):
    """Return the stand-in settings of a data centre's engines.

    The prefill engines come first.
    """
    common = {'kind': 'engine', 'load_lag_ms': LOAD_LAG_MS}
    prefill = [
        {
            **common,
            'name': f'{data_centre.name}-p{number}',
            'role': 'prefill',
            'total_pieces': 400,
            'request_limit': 100,
            'prefill_tokens_per_s': PREFILL_TOKENS_PER_S,
            'kv_bytes_per_token': KV_BYTES_PER_TOKEN,
            'link_bytes_per_s': LINK_BYTES_PER_S,
            'export_keep_ms': EXPORT_KEEP_MS,
        }
        for number in range(data_centre.prefill_count)
    ]
    decode = [
        {
            **common,
            'name': f'{data_centre.name}-d{number}',
            'role': 'decode',
            'total_pieces': DECODE_PIECES,
            'request_limit': DECODE_PIECES,
            'step_ms': STEP_MS,
            'step_ms_per_request': STEP_MS_PER_REQUEST,
        }
        for number in range(data_centre.decode_count)
    ]
    return prefill + decode
