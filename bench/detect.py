"""Compare detectors of slow endpoints on the same traces: false alarms and delay.

Explanation
===========
The completions of simulated runs are given to three detectors: the scheduler's, on the ratio of
observed to predicted time for the request's length; a threshold on the mean raw latency of the last
requests; and the scheduler's cumulative sum (CUSUM) on the ratio of raw latency to the endpoint's
usual latency. A false alarm is an alarm on an endpoint that isn't slow; the slow endpoint counts as
slow until `GRACE_S` after its recovery. Run ``python -m bench.detect``.
"""

from __future__ import annotations

import argparse
import math
import statistics
import sys
from collections import deque
from concurrent.futures import ProcessPoolExecutor

from bench.simulation import Faults, Simulation
from bench.workload import MIXES, Shape, make_trace
from mulberrygate.schedule import PoolScheduler
from mulberrygate.schedule.detect import SlownessDetector

WORKERS = 4
WINDOW = 8
FACTORS = (1.5, 2.0, 3.0)
THRESHOLDS_S = (4.0, 6.0, 8.0, 12.0, 16.0, 24.0)
# Time after the recovery in which requests that were slowed down may still complete.
GRACE_S = 30.0
SLOW_FROM, SLOW_TO = 60.0, 140.0
SLOW_ENGINE = 4


class NormalisedLatency:
    """The scheduler's detector, on latency normalised by the predicted latency."""

    def __init__(self):
        self.detector = SlownessDetector()

    def observe(self, completion) -> bool:
        """Return whether the endpoint is judged slow after a completion."""
        self.detector.observe(completion.total_s / max(completion.expected_s, 1e-6))
        return self.detector.is_slow


class RawThreshold:
    """Mean raw latency of the last completions against a threshold in seconds."""

    def __init__(self, limit_s: float):
        self.limit_s = limit_s
        self.recent: deque[float] = deque(maxlen=WINDOW)

    def observe(self, completion) -> bool:
        """Return whether the endpoint is judged slow after a completion."""
        self.recent.append(completion.total_s)
        return len(self.recent) == WINDOW and statistics.fmean(self.recent) > self.limit_s


class RawRelative:
    """The scheduler's CUSUM detector, on raw latency relative to the endpoint's usual latency."""

    GAIN = 0.02

    def __init__(self):
        self.detector = SlownessDetector()
        self.baseline: float | None = None

    def observe(self, completion) -> bool:
        """Return whether the endpoint is judged slow after a completion."""
        value = math.log(max(completion.total_s, 1e-3))
        self.baseline = value if self.baseline is None else self.baseline
        self.detector.observe(math.exp(value - self.baseline))
        self.baseline += self.GAIN * (value - self.baseline)
        return self.detector.is_slow


DETECTORS = {"normalised": NormalisedLatency, "raw, relative": RawRelative} | {
    f"raw > {limit:g} s": (lambda limit=limit: RawThreshold(limit)) for limit in THRESHOLDS_S
}


def collect_completions(mix: str, seed: int, factor: float, burst: float) -> list:
    """Return the completions of one run with a slow engine."""
    shape = Shape(rate=14.0, burst=burst)
    faults = Faults(SLOW_ENGINE, SLOW_FROM, SLOW_TO, factor, dead_from=-1.0)
    trace = make_trace(seed, MIXES[mix], shape)
    simulation = Simulation(PoolScheduler, trace, shape, faults, seed)
    simulation.run()
    return [item for item in simulation.observations if not item[1].fault]


def evaluate_detector(observations: list, make) -> tuple[int, float]:
    """Return the number of false alarms, and the detection delay of the slow endpoint."""
    detectors, alarmed = {}, {}
    false_alarms, delay = 0, math.inf
    for now, completion in observations:
        name = completion.endpoint
        is_alarm = detectors.setdefault(name, make()).observe(completion)
        is_slow = name == f"e{SLOW_ENGINE}" and SLOW_FROM <= now < SLOW_TO + GRACE_S
        if is_alarm and is_slow:
            delay = min(delay, now - SLOW_FROM)
        elif is_alarm and not alarmed.get(name):
            false_alarms += 1
        alarmed[name] = is_alarm
    return false_alarms, delay


def main() -> int:
    """Print false alarms and delays of all detectors."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3, 4])
    options = parser.parse_args()
    for burst in (1.0, 3.0):
        for factor in FACTORS:
            keys = [(mix, seed, factor, burst) for mix in MIXES for seed in options.seeds]
            with ProcessPoolExecutor(WORKERS) as pool:
                traces = list(pool.map(collect_completions, *zip(*keys, strict=True)))
            print(f"one engine slower by {factor}, burst {burst:g}x, {len(traces)} runs")
            for name, make in DETECTORS.items():
                results = [evaluate_detector(trace, make) for trace in traces]
                found = [delay for _, delay in results if delay < math.inf]
                delay = f"{statistics.median(found):5.1f} s" if found else "  none"
                print(
                    f"  {name:14} false alarms {sum(count for count, _ in results):4}"
                    f"  detected {len(found):2} of {len(results)}  median delay {delay}"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
