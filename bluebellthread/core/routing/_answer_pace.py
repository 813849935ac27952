"""Learn how long answers get and how long engines take for a token.

The load pattern: callers state how long an answer they expect; half of the
answers are longer, and the spread of the logarithm is 0.5. Some engines take
1.3 times as long for a token as others for as long as they run.
"""

import math

from bluebellthread.core.routing import _memory_models

PACE_STEP = 0.03
"""Change of the logarithm of the common pace by one answer. Medians are
followed, since the mean of wrong expectations is biased."""

SLOWNESS_WEIGHT = 0.08
"""Weight of the newest answer in an engine's slowness: about twelve answers,
or six seconds of a full engine."""

SLOWNESS_MIN = 0.7
SLOWNESS_MAX = 2.0
"""Limits of the slowness, so that wrong expectations of a few callers neither
flood an engine nor take it out of use."""

RESIDUAL_MAX = 1.0
"""Largest logarithm of a deviation that one answer counts with."""

TOKEN_MS_MIN = 1.0
TOKEN_MS_MAX = 20.0
"""Limits of the common pace, outside which callers' expectations are wrong."""


class AnswerPace:
    """Learns the pace of answers from those that have ended.

    Examples
    --------
    >>> pace = AnswerPace()
    >>> round(pace.token_ms, 2)
    2.6
    """

    def __init__(self):
        self._log_pace = math.log(_memory_models.TOKEN_MS)

    @property
    def token_ms(self):
        """Milliseconds that a token takes on an engine of median speed."""
        return math.exp(self._log_pace)

    def note_ended(self, *, account, expected_tokens, writing_ms):
        """Learn from a whole answer whose length was expected by its caller.

        Parameters
        ----------
        account : EngineAccount or None
            The decode server, whose slowness is changed.
        """
        log_pace = math.log(max(1, writing_ms) / expected_tokens)
        residual = log_pace - self._log_pace
        step = math.copysign(PACE_STEP, residual)
        self._log_pace = min(
            math.log(TOKEN_MS_MAX),
            max(math.log(TOKEN_MS_MIN), self._log_pace + step),
        )
        if account is None:
            return
        residual = min(RESIDUAL_MAX, max(-RESIDUAL_MAX, residual))
        known = math.log(account.slowness)
        known += SLOWNESS_WEIGHT * (residual - known)
        account.slowness = min(
            SLOWNESS_MAX, max(SLOWNESS_MIN, math.exp(known))
        )
