"""Compare the scheduler's policy with baselines at virtual time, and measure its cost.

Explanation
===========
Every policy runs over the same traces on the same engines: a 3x burst, a slow engine, an engine
crash, heavy-tailed lengths, four tiers, a few large client accounts. Goodput is the share of
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

SCHEDULER = "pool-scheduler"
CALM = "calm"
POLICIES = {SCHEDULER: PoolScheduler, **BASELINES}
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


def goodput(good: int, asked: int) -> float:
    """Return the share of requests with a complete answer in time."""
    return good / asked if asked else 1.0


def top_tier_burst_goodput(totals: Totals) -> float:
    """Return the top tier's goodput among requests that arrived in the burst."""
    return goodput(totals.burst_good[0], totals.burst_asked[0])


def total_goodput(totals: Totals) -> float:
    """Return the goodput of all tiers."""
    return goodput(sum(totals.good), sum(totals.asked))


def format_line(name: str, totals: Totals) -> str:
    """Return the figures of one run as a line of the table."""
    tiers = " ".join(
        f"{goodput(g, a):6.1%}" for g, a in zip(totals.good, totals.asked, strict=True)
    )
    return (
        f"  {name:18} {tiers} {total_goodput(totals):7.1%} {top_tier_burst_goodput(totals):7.1%}"
        f" {totals.wasted_failed / 1e3:6.0f}k {totals.wasted_recomputed / 1e3:6.0f}k"
        f" {totals.prefilled / 1e3:6.0f}k {totals.region_bytes / 1e6:7.1f}"
    )


def check_goals(results: dict[str, Totals]) -> dict[str, bool]:
    """Return which goals are reached for one mix and seed."""
    scheduler_totals = results[SCHEDULER]
    others = [results[name] for name in BASELINES]
    top = top_tier_burst_goodput(scheduler_totals)
    return {
        "top tier within 2% of calm": top >= top_tier_burst_goodput(results[CALM]) - LARGEST_LOSS,
        "top tier above baselines": all(top > top_tier_burst_goodput(other) for other in others),
        "total at least the best baseline's": total_goodput(scheduler_totals)
        >= max(map(total_goodput, others)),
        "wasted prefill at most half": scheduler_totals.wasted
        <= LARGEST_WASTE_RATIO * min(other.wasted for other in others),
        "wasted prefill per good answer at most half": scheduler_totals.wasted
        / sum(scheduler_totals.good)
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
            print(f"{mix} {MIXES[mix]}, seed {seed}, {sum(results[SCHEDULER].asked)} requests")
            for name in names:
                print(format_line(name, results[name]))
            goals = check_goals(results)
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
