"""Compare the scheduler's policy with baselines at virtual time, and time the scheduler.

Explanation
===========
Every policy runs over the same traces on the same engines: a 3x burst, a slow engine, an engine
death, heavy-tailed lengths, four tiers, a few large client accounts. Goodput is the share of
requests whose answer is complete within its deadline. Wasted prefill is the prefill of requests
that then missed their deadline, were cancelled or lost, and of prefixes that another engine of the
failure domain had cached. Run ``python -m bench.policy``.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from bench.baselines import BASELINES
from bench.cost import print_cost
from bench.simulation import NO_FAULTS, Faults, Simulation, Totals
from bench.workload import MIXES, Shape, make_trace
from mulberrygate.schedule import PoolScheduler

OWN = "pool-scheduler"
CALM = "calm"
POLICIES = {OWN: PoolScheduler, **BASELINES}
WORKERS = 4
# Goals: loss of top-tier goodput under the burst, and wasted prefill against the best baseline.
LARGEST_LOSS = 0.02
LARGEST_WASTE_RATIO = 0.5


def run(policy: str, mix: str, seed: int, rate: float) -> Totals:
    """Run one policy over one trace; the policy `CALM` is the scheduler without burst or faults."""
    is_calm = policy == CALM
    shape = Shape(rate=rate, burst=1.0) if is_calm else Shape(rate=rate)
    trace = make_trace(seed, MIXES[mix], shape)
    make = PoolScheduler if is_calm else POLICIES[policy]
    return Simulation(make, trace, shape, NO_FAULTS if is_calm else Faults(), seed).run()


def share(good: int, asked: int) -> float:
    """Return a goodput."""
    return good / asked if asked else 1.0


def burst_top(totals: Totals) -> float:
    """Return the top tier's goodput among requests that arrived in the burst."""
    return share(totals.burst_good[0], totals.burst_asked[0])


def total(totals: Totals) -> float:
    """Return the goodput of all tiers."""
    return share(sum(totals.good), sum(totals.asked))


def line(name: str, totals: Totals) -> str:
    """Return the figures of one run."""
    tiers = " ".join(f"{share(g, a):6.1%}" for g, a in zip(totals.good, totals.asked, strict=True))
    return (
        f"  {name:18} {tiers} {total(totals):7.1%} {burst_top(totals):7.1%}"
        f" {totals.wasted_failed / 1e3:6.0f}k {totals.wasted_again / 1e3:6.0f}k"
        f" {totals.prefilled / 1e3:6.0f}k {totals.region_bytes / 1e6:7.1f}"
    )


def judge(results: dict[str, Totals]) -> dict[str, bool]:
    """Return which goals one mix and seed reach."""
    own = results[OWN]
    others = [results[name] for name in BASELINES]
    top = burst_top(own)
    return {
        "top tier within 2% of calm": top >= burst_top(results[CALM]) - LARGEST_LOSS,
        "top tier above baselines": all(top > burst_top(other) for other in others),
        "total at least the best baseline's": total(own) >= max(map(total, others)),
        "wasted prefill at most half": own.wasted
        <= LARGEST_WASTE_RATIO * min(other.wasted for other in others),
        "wasted prefill per good answer at most half": own.wasted / sum(own.good)
        <= LARGEST_WASTE_RATIO * min(other.wasted / sum(other.good) for other in others),
    }


def main() -> int:
    """Run all mixes and seeds and print figures and goals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mix", nargs="*", default=list(MIXES))
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--rate", type=float, default=14.0, help="requests per second")
    parser.add_argument("--no-cost", action="store_true", help="don't time the scheduler")
    options = parser.parse_args()
    names = [CALM, *POLICIES]
    keys = [(n, m, s, options.rate) for m in options.mix for s in options.seeds for n in names]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = dict(zip(keys, pool.map(run, *zip(*keys, strict=True)), strict=True))
    counts: dict[str, list[bool]] = {}
    print(
        "goodput by tier, in total, of the top tier in the burst; prefill tokens wasted by failed"
    )
    print("requests and by computing again, and in all; MB to other regions")
    for mix in options.mix:
        for seed in options.seeds:
            results = {name: runs[name, mix, seed, options.rate] for name in names}
            print(f"{mix} {MIXES[mix]}, seed {seed}, {sum(results[OWN].asked)} requests")
            for name in names:
                print(line(name, results[name]))
            goals = judge(results)
            for goal, is_reached in goals.items():
                counts.setdefault(goal, []).append(is_reached)
            missed = [goal for goal, is_reached in goals.items() if not is_reached]
            print("  not reached: " + "; ".join(missed) if missed else "  all goals reached")
    for goal, reached in counts.items():
        print(f"{goal}: {sum(reached)} of {len(reached)}")
    if not options.no_cost:
        print_cost()
    return 0


if __name__ == "__main__":
    sys.exit(main())
