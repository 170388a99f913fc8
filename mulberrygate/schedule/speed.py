"""Speed of endpoints, learned from completions."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class Prior:
    """Assumed speed of a hardware generation before completions are known.

    Parameters
    ==========
    prefill_s, decode_s : float
        Seconds per prompt token, and per output token of a request that runs alone.
    slope_s : float
        Additional seconds per output token for each other request in the batch.
    overhead_s : float
        Seconds that do not depend on the request's length.
    """

    prefill_s: float = 1 / 8000
    decode_s: float = 0.015
    slope_s: float = 0.0005
    overhead_s: float = 0.01


DEFAULT_PRIOR = Prior()
# Operators' hardware names are free text; a generation that isn't listed starts with the default.
PRIORS: dict[str, Prior] = {}

# Decode speed isn't learned from requests with fewer output tokens.
MIN_DECODE_TOKENS = 8
# Smallest value of a learned time.
MIN_TIME_S = 1e-6


# A generation's speed is learned from this many first completions, and then from one in each
# interval, since one pool may complete over 100 requests a second.
FULLY_SAMPLED = 500
SAMPLING_INTERVAL = 4


# Largest share of the time per token that the batch size may explain. It is smaller for the
# reference of a version move, whose line is evaluated far from the loads that it was learned at.
MAX_SLOPE_SHARE = 0.95
REFERENCE_MAX_SLOPE_SHARE = 0.25


class DecayingLine:
    """Line through observations by weighted least squares, with exponential forgetting.

    Explanation
    ===========
    Observations far from the line get less weight, so that single stalls and slow endpoints hardly
    move it; the first ones replace the assumed line at full weight.

    Parameters
    ==========
    intercept, slope : float
        Assumed line.
    max_x : float
        Largest position of the observations that stand for the assumed line.
    weight : float
        Weight of these observations.

    Examples
    ========
    >>> from mulberrygate.schedule.speed import DecayingLine
    >>> line = DecayingLine(intercept=0.0, slope=1.0, max_x=10.0, weight=1e-6)
    >>> for x in range(5):
    ...     line.learn(x, 3.0 + 2.0 * x, trust=1.0)
    >>> round(line.intercept, 3), round(line.slope, 3)
    (3.0, 2.0)
    """

    # Number of observations after which the weight of an earlier one falls to 1/e.
    MEMORY = 300.0
    # Relative deviation from which an observation's weight falls.
    FULL_WEIGHT_DEVIATION = 0.3

    def __init__(self, intercept: float, slope: float, max_x: float, weight: float):
        self.intercept = intercept
        self.slope = slope
        self.assumed_weight = weight
        # Weighted sums of 1, x, x squared, y and x times y over the observations.
        self.weight = self.x = self.x2 = self.y = self.xy = 0.0
        for x in (0.0, max_x):
            self._add(x, intercept + x * slope, weight / 2)

    def _add(self, x: float, y: float, weight: float) -> None:
        keep = 1.0 - 1.0 / self.MEMORY
        self.weight = self.weight * keep + weight
        self.x = self.x * keep + weight * x
        self.x2 = self.x2 * keep + weight * x * x
        self.y = self.y * keep + weight * y
        self.xy = self.xy * keep + weight * x * y

    @property
    def is_known(self) -> bool:
        """Whether the observations outweigh the assumed line."""
        return self.weight >= 3 * self.assumed_weight

    def value_at(self, x: float) -> float:
        """Return the line's value at a position."""
        return self.intercept + self.slope * x

    def learn(self, x: float, y: float, trust: float, max_slope_share: float = 1.0) -> None:
        """Learn from an observation.

        Parameters
        ==========
        trust : float
            Weight of the observation, between 0 and 1.
        max_slope_share : float
            Largest part of the mean value that the slope may explain.
        """
        deviation = abs(y / max(self.value_at(x), MIN_TIME_S) - 1.0)
        robust_weight = (
            min(1.0, self.FULL_WEIGHT_DEVIATION / max(deviation, 1e-9)) if self.is_known else 1.0
        )
        self._add(x, y, trust * robust_weight)
        mean_x, mean_y = self.x / self.weight, self.y / self.weight
        spread = self.x2 / self.weight - mean_x**2
        slope = (self.xy / self.weight - mean_x * mean_y) / spread if spread > 1e-6 else 0.0
        self.slope = min(max(slope, 0.0), mean_y / max(mean_x, 1.0) * max_slope_share)
        self.intercept = max(mean_y - self.slope * mean_x, MIN_TIME_S)


class GenerationSpeed:
    """Speed of one hardware generation, learned over all its endpoints.

    Explanation
    ===========
    Time per output token is a line in the batch size. Time to the first token is a line in the
    prompt tokens that have to be computed up to it.

    Parameters
    ==========
    max_slope_share : float
        Largest part of the mean time per token that the batch may explain.
    """

    # Weights of the assumed lines, in observations.
    PRIOR_WEIGHT = 4.0
    PREFILL_PRIOR_WEIGHT = 1.0
    # Batch size and prompt tokens up to which the assumed lines stand for observations.
    PRIOR_MAX_LOAD = 16.0
    PRIOR_MAX_TOKENS = 2000.0

    def __init__(self, prior: Prior = DEFAULT_PRIOR, max_slope_share: float = MAX_SLOPE_SHARE):
        self.max_slope_share = max_slope_share
        self.decode = DecayingLine(
            prior.decode_s, prior.slope_s, self.PRIOR_MAX_LOAD, self.PRIOR_WEIGHT
        )
        self.prefill = DecayingLine(
            prior.overhead_s, prior.prefill_s, self.PRIOR_MAX_TOKENS, self.PREFILL_PRIOR_WEIGHT
        )
        self.completions = 0

    @property
    def decode_s(self) -> float:
        """Seconds per output token of a request that runs alone."""
        return self.decode.intercept

    @property
    def slope_s(self) -> float:
        """Additional seconds per output token for each other request in the batch."""
        return self.decode.slope

    @property
    def prefill_s(self) -> float:
        """Seconds per prompt token."""
        return self.prefill.slope

    @property
    def overhead_s(self) -> float:
        """Seconds to the first token that do not depend on the prompt."""
        return self.prefill.intercept

    def count_and_sample(self) -> bool:
        """Count a completion and return whether to learn from it; later ones are sampled."""
        self.completions += 1
        return self.completions <= FULLY_SAMPLED or self.completions % SAMPLING_INTERVAL == 0

    def as_prior(self) -> Prior | None:
        """Return the learned speed as an assumption about others, ``None`` if it isn't known."""
        if not (self.decode.is_known and self.prefill.is_known):
            return None
        return Prior(self.prefill_s, self.decode_s, self.slope_s, self.overhead_s)

    def per_token_s(self, load: float) -> float:
        """Return seconds per output token beside ``load`` other requests."""
        return self.decode.value_at(load)

    def first_token_s(self, tokens: float) -> float:
        """Return the predicted seconds to the first token, for the prompt tokens up to it."""
        return self.prefill.value_at(tokens)

    def expected_s(self, prompt_tokens: float, output_tokens: float, load: float) -> float:
        """Return the predicted seconds of a request that doesn't wait at the endpoint."""
        return self.first_token_s(prompt_tokens) + output_tokens * self.per_token_s(load)

    def learn_decode(self, seconds: float, load: float, trust: float) -> None:
        """Learn from the observed seconds per output token."""
        self.decode.learn(load, seconds, trust, self.max_slope_share)

    def learn_prefill(self, seconds: float, tokens: float, trust: float) -> None:
        """Learn from the observed seconds to the first token.

        Parameters
        ==========
        tokens : float
            Prompt tokens that had to be computed up to it, those of requests ahead included.
        """
        self.prefill.learn(tokens, seconds, trust)


class EndpointSpeed:
    """Factors by which an endpoint is slower than its hardware generation."""

    # Weight of one observation, largest step of the factor's logarithm before it is weighted, and
    # bounds of the factors.
    GAIN = 0.15
    CLIP = 0.8
    SMALLEST, LARGEST = 0.25, 20.0

    __slots__ = ("decode_factor", "prefill_factor")

    def __init__(self):
        self.decode_factor = 1.0
        self.prefill_factor = 1.0

    def _adjust(self, factor: float, ratio: float) -> float:
        """Return the factor moved towards an observed ratio."""
        step = math.log(max(ratio, 1e-3) / factor)
        adjusted = factor * math.exp(self.GAIN * max(-self.CLIP, min(self.CLIP, step)))
        return min(self.LARGEST, max(self.SMALLEST, adjusted))

    def learn_decode(self, ratio: float) -> None:
        """Learn from observed over expected seconds per output token."""
        self.decode_factor = self._adjust(self.decode_factor, ratio)

    def learn_prefill(self, ratio: float) -> None:
        """Learn from observed over expected seconds to the first token."""
        self.prefill_factor = self._adjust(self.prefill_factor, ratio)


class LengthModel:
    """Ratio of actual to estimated output tokens by route.

    Explanation
    ===========
    Callers give an upper limit more often than an estimate, so the ratio is learned per route.
    """

    # Weight of one completion.
    GAIN = 0.03

    def __init__(self):
        self.ratios: dict[str, float] = {}

    def output_tokens(self, route: str, estimate: int) -> float:
        """Return the expected output tokens of a request with this estimate."""
        return max(1.0, estimate * self.ratios.get(route, 1.0))

    def learn(self, route: str, estimate: int, actual: int) -> None:
        """Learn from a completed request."""
        ratio = min(2.0, actual / max(estimate, 1))
        known = self.ratios.get(route, 1.0)
        self.ratios[route] = min(1.5, max(0.02, known + self.GAIN * (ratio - known)))
