"""Seeded traces of requests: heavy-tailed lengths, shared prefixes, a burst, four tiers."""

from __future__ import annotations

import bisect
import random

import attrs

from mulberrygate.schedule.messages import PREFIX_TOKENS

MIXES = {
    "few-urgent": (0.05, 0.25, 0.40, 0.30),
    "even": (0.25, 0.25, 0.25, 0.25),
    "more-urgent": (0.35, 0.25, 0.25, 0.15),
    "mostly-low": (0.10, 0.10, 0.20, 0.60),
}
ACCOUNTS = (("salons-a", 0.5), ("salons-b", 0.25), ("lab", 0.15), ("small", 0.07), ("tiny", 0.03))
# Deadline by tier, in addition to three times the run time on the middle hardware generation.
BASE_DEADLINE_S = (4.0, 8.0, 20.0, 60.0)
DOCUMENTS = 60
BURST = 3.0


@attrs.frozen
class Request:
    """A request of a trace; ``estimate`` is the caller's estimate of its output tokens."""

    name: str
    at: float
    tier: int
    account: str
    route: str
    prompt_tokens: int
    output_tokens: int
    estimate: int
    prefixes: tuple[str, ...]
    deadline_s: float


@attrs.frozen
class Shape:
    """Arrival rate and phases of a trace in seconds."""

    rate: float = 16.0
    length_s: float = 200.0
    burst_from: float = 60.0
    burst_to: float = 120.0
    burst: float = BURST


def draw_tokens(rng: random.Random, median: float, sigma: float, low: int, high: int) -> int:
    return int(min(high, max(low, rng.lognormvariate(0, sigma) * median)))


class Documents:
    """Long prompt prefixes that many requests share, with Zipf popularity."""

    def __init__(self, rng: random.Random):
        self.sizes = [rng.randint(2, 24) for _ in range(DOCUMENTS)]
        total, self.cumulative = 0.0, []
        for rank in range(DOCUMENTS):
            total += 1 / (rank + 1)
            self.cumulative.append(total)

    def pick(self, rng: random.Random) -> tuple[str, ...]:
        """Return the prefix hashes of a document."""
        number = bisect.bisect(self.cumulative, rng.random() * self.cumulative[-1])
        return tuple(f"d{number}.{block}" for block in range(self.sizes[number]))


def make_request(rng: random.Random, documents: Documents, number: int, at: float, mix) -> Request:
    """Draw one request."""
    tier = rng.choices(range(4), mix)[0]
    account = rng.choices([name for name, _ in ACCOUNTS], [share for _, share in ACCOUNTS])[0]
    prefixes = documents.pick(rng) if rng.random() < 0.7 else ()
    own_tokens = draw_tokens(rng, 250, 1.1, 20, 20_000)
    blocks = own_tokens // PREFIX_TOKENS
    output = draw_tokens(rng, (50, 90, 150, 200)[tier], 1.0, 10, 4000)
    prompt = len(prefixes) * PREFIX_TOKENS + own_tokens
    run_s = prompt / 9000 + output * 0.02
    return Request(
        name=f"r{number}",
        at=at,
        tier=tier,
        account=account,
        route=("lookup", "quick", "note", "write-up")[tier],
        prompt_tokens=prompt,
        output_tokens=output,
        estimate=int(output * rng.lognormvariate(0.2, 0.3)) + 1,
        prefixes=prefixes + tuple(f"u{number}.{block}" for block in range(blocks)),
        deadline_s=BASE_DEADLINE_S[tier] + 3 * run_s,
    )


def make_trace(seed: int, mix, shape: Shape) -> list[Request]:
    """Return the requests of a trace in order of arrival."""
    rng = random.Random(f"trace {seed}")
    documents = Documents(rng)
    trace, at = [], 0.0
    while True:
        is_burst = shape.burst_from <= at < shape.burst_to
        at += rng.expovariate(shape.rate * (shape.burst if is_burst else 1.0))
        if at >= shape.length_s:
            return trace
        trace.append(make_request(rng, documents, len(trace), at, mix))
