"""Generates arrivals from a seed.

Prompt lengths and the callers' request counts are heavy-tailed, and prompts
share prefixes.
"""

import random

import attrs

from bluebellthread import core

from bench import _deployments

CALLERS = 40
"""Number of callers of one deployment."""

CALLER_SKEW = 1.2
"""Zipf exponent of the callers' request counts.

The most active caller sends about a quarter of all requests.
"""

PREFIXES = 20
"""Number of shared prompt prefixes, such as the instructions of a form."""

SHARED_SHARE = 0.6
"""Share of the prompts that begin with a shared prefix."""

PROMPT_TOKENS_MEDIAN = 1000
PROMPT_TOKENS_SIGMA = 1.18
"""Standard deviation of the logarithm; the mean is twice the median."""

PROMPT_TOKENS_RANGE = (40, 20000)

OUTPUT_TOKENS_MEDIAN = 48
OUTPUT_TOKENS_SIGMA = 0.67
OUTPUT_TOKENS_RANGE = (8, 256)

SAMPLE_COUNT = 4000
"""Number of requests that are sampled to estimate the capacity."""


@attrs.frozen(kw_only=True)
class Arrival:
    """A request to send, and when and where to send it.

    Parameters
    ----------
    offset_s : float
        Time to send the request, from the start of the run.
    request_id : str
        Unique id of the request.
    caller : str
        Id of the caller.
    place : str
        Data centre that receives the request.
    vm_number : int
        Number of the VM in that data centre.
    prompt : str
        Text of the prompt.
    output_tokens : int
        Length of the answer.
    """

    offset_s: float
    request_id: str
    caller: str
    place: str
    vm_number: int
    prompt: str
    output_tokens: int


class Workload:
    """Generates the same requests for the same seed and deployment."""

    def __init__(self, *, seed, deployment):
        self._rng = random.Random(f'{seed}/{deployment.name}')
        self._seed = seed
        self._deployment = deployment
        self._prefixes = [
            _make_text(self._rng, self._rng.choice((512, 1024, 2048)))
            for _ in range(PREFIXES)
        ]
        self._counter = 0

    def draw_tokens(self):
        """Draw the lengths of a prompt and of its answer, in tokens."""
        prompt_tokens = _draw(
            self._rng,
            PROMPT_TOKENS_MEDIAN,
            PROMPT_TOKENS_SIGMA,
            PROMPT_TOKENS_RANGE,
        )
        output_tokens = _draw(
            self._rng,
            OUTPUT_TOKENS_MEDIAN,
            OUTPUT_TOKENS_SIGMA,
            OUTPUT_TOKENS_RANGE,
        )
        return prompt_tokens, output_tokens

    def arrivals(self, *, duration_s, load):
        """Return the arrivals of a run in order of time.

        Parameters
        ----------
        duration_s : float
            Time over which requests are sent.
        load : float
            Request rate in each data centre as a share of its capacity.
        """
        found = []
        for data_centre in self._deployment.data_centres:
            rate_per_s = load * capacity_per_s(data_centre)
            offset_s = 0.0
            while True:
                offset_s += self._rng.expovariate(rate_per_s)
                if offset_s >= duration_s:
                    break
                found.append(self._make_arrival(offset_s, data_centre))
        return sorted(found, key=lambda item: item.offset_s)

    def _make_arrival(self, offset_s, data_centre):
        self._counter += 1
        prompt_tokens, output_tokens = self.draw_tokens()
        return Arrival(
            offset_s=offset_s,
            request_id=f'b{self._seed}-{self._counter}',
            caller=f'caller-{self._draw_rank(CALLERS, CALLER_SKEW):03}',
            place=data_centre.name,
            vm_number=self._rng.randrange(_deployments.VMS_PER_DATA_CENTRE),
            prompt=self._make_prompt(prompt_tokens),
            output_tokens=output_tokens,
        )

    def _make_prompt(self, tokens):
        prefix = ''
        if self._rng.random() < SHARED_SHARE:
            prefix = self._prefixes[self._draw_rank(PREFIXES, 1.0)]
        characters = tokens * core.CHARACTERS_PER_TOKEN
        rest = max(0, characters - len(prefix))
        unique = f'{self._counter:08}' + _make_text(
            self._rng, rest // core.CHARACTERS_PER_TOKEN
        )
        return (prefix + unique)[:characters]

    def _draw_rank(self, count, skew):
        weights = [1 / (rank + 1) ** skew for rank in range(count)]
        return self._rng.choices(range(count), weights)[0]


def capacity_per_s(data_centre):
    """Return the requests per second that a data centre can serve.

    This is the lower of two limits: the throughput of the prefill engines
    without any prefix cache hit, and that of the decode engines with full
    memory and the step time of a full batch.
    """
    rng = random.Random(0)
    prompts = _sample(
        rng, PROMPT_TOKENS_MEDIAN, PROMPT_TOKENS_SIGMA, PROMPT_TOKENS_RANGE
    )
    outputs = _sample(
        rng, OUTPUT_TOKENS_MEDIAN, OUTPUT_TOKENS_SIGMA, OUTPUT_TOKENS_RANGE
    )
    prefill_s = sum(prompts) / SAMPLE_COUNT / _deployments.PREFILL_TOKENS_PER_S
    step_s = (
        _deployments.STEP_MS + 20 * _deployments.STEP_MS_PER_REQUEST
    ) / 1000
    piece_s = (
        sum(
            core.count_pieces(prompt, output) * output * step_s
            for prompt, output in zip(prompts, outputs, strict=True)
        )
        / SAMPLE_COUNT
    )
    decode_per_s = (
        data_centre.decode_count * _deployments.DECODE_PIECES / piece_s
    )
    return min(data_centre.prefill_count / prefill_s, decode_per_s)


def _sample(rng, median, sigma, limits):
    return [_draw(rng, median, sigma, limits) for _ in range(SAMPLE_COUNT)]


def _draw(rng, median, sigma, limits):
    value = round(median * rng.lognormvariate(0, sigma))
    return max(limits[0], min(limits[1], value))


def _make_text(rng, tokens):
    words = [f'{rng.getrandbits(12):03x} ' for _ in range(tokens)]
    return ''.join(words)
