"""The two deployments, with engines scaled so that a run is short.

Kept are the ratios that decide: about twenty requests held by a decode
engine, a prefill worth some fifty output tokens of engine time, and a
prefill result evicted in under a second.
"""

import attrs

PREFILL_TOKENS_PER_S = 20000.0
"""Prompt tokens that a prefill engine reads."""

DECODE_PIECES = 36
"""Memory of a decode engine: room for about twenty requests."""

STEP_MS = 25.0
"""Time of a decode step without requests."""

STEP_MS_PER_REQUEST = 0.75
"""Time that each request adds to a step: 40 ms with twenty."""

KV_BYTES_PER_TOKEN = 64
"""Size of KV cache, scaled down."""

LINK_BYTES_PER_S = 6e6
"""Rate of one prefill engine's transfers: about 20 ms for 2,000 tokens."""

EXPORT_KEEP_MS = 800
"""Time after which a prefill result is evicted."""

LOAD_LAG_MS = 300
"""Age of a load report."""

VMS_PER_PLACE = 2
"""Entry VMs in each data centre."""


@attrs.frozen(kw_only=True)
class Place:
    """One data centre with its engines."""

    name: str
    region: str
    prefill_count: int
    decode_count: int


@attrs.frozen(kw_only=True)
class Deployment:
    """One of the users' deployments."""

    name: str
    model: str
    places: tuple[Place, ...]

    def only(self, names):
        """Return the deployment with some of its data centres."""
        places = tuple(place for place in self.places if place.name in names)
        return attrs.evolve(self, places=places)


DEPLOYMENTS = {
    'papuseria': Deployment(
        name='papuseria',
        model='atelier-llm',
        places=(
            Place(
                name='cluj-a',
                region='transilvania',
                prefill_count=2,
                decode_count=2,
            ),
            Place(
                name='brasov-b',
                region='transilvania',
                prefill_count=1,
                decode_count=2,
            ),
            Place(
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
        places=(
            Place(
                name='taipei-a',
                region='tw-north',
                prefill_count=1,
                decode_count=2,
            ),
            Place(
                name='hsinchu-b',
                region='tw-north',
                prefill_count=1,
                decode_count=2,
            ),
            Place(
                name='kaohsiung-a',
                region='tw-south',
                prefill_count=2,
                decode_count=2,
            ),
        ),
    ),
}


def engine_entries(place):
    """Return the stand-ins of a data centre, the prefill engines first."""
    common = {'kind': 'engine', 'load_lag_ms': LOAD_LAG_MS}
    prefill = [
        {
            **common,
            'name': f'{place.name}-p{number}',
            'role': 'prefill',
            'total_pieces': 400,
            'request_limit': 100,
            'prefill_tokens_per_s': PREFILL_TOKENS_PER_S,
            'kv_bytes_per_token': KV_BYTES_PER_TOKEN,
            'link_bytes_per_s': LINK_BYTES_PER_S,
            'export_keep_ms': EXPORT_KEEP_MS,
        }
        for number in range(place.prefill_count)
    ]
    decode = [
        {
            **common,
            'name': f'{place.name}-d{number}',
            'role': 'decode',
            'total_pieces': DECODE_PIECES,
            'request_limit': DECODE_PIECES,
            'step_ms': STEP_MS,
            'step_ms_per_request': STEP_MS_PER_REQUEST,
        }
        for number in range(place.decode_count)
    ]
    return prefill + decode
