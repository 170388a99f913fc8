"""Processor time and memory of the scheduler at the target size."""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc

from mulberrygate.core.effects import Send
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.schedule import Done, Grant, PoolScheduler, Ticket
from mulberrygate.tables.model import Pool

ENDPOINTS = 100
WAITING = 2000
REQUESTS = 20_000
REQUESTS_PER_SAMPLE = 500
ACCOUNTS = 300
HARDWARE = ("old", "middle", "new")


def make_ticket(number: int, rng: random.Random) -> Ticket:
    """Return a ticket with one of 200 shared prefixes."""
    document = rng.randrange(200)
    return Ticket(
        request=f"request-{number}",
        entry=f"entry-{number % 60}",
        pool="care",
        route="note",
        account=f"account-{rng.randrange(ACCOUNTS)}",
        weight=1.0,
        tier=rng.randrange(4),
        prompt_tokens=1500,
        output_tokens=rng.randint(20, 400),
        prefixes=tuple(f"{document}.{block}" for block in range(5)),
        deadline_s=600.0,
    )


def make_views() -> list[EndpointView]:
    """Return the endpoints of a failure domain."""
    return [
        EndpointView(
            endpoint=f"endpoint-{number}",
            incarnation=1,
            address="10.0.0.1:8000",
            pool="care",
            failure_domain="d1",
            region="r1",
            version="v1",
            hardware=HARDWARE[number % 3],
            slots=16,
            kv_tokens=150_000,
            accepts_work=True,
        )
        for number in range(ENDPOINTS)
    ]


class SchedulerDriver:
    """Driver that passes requests through a scheduler: ask, grant and done."""

    def __init__(self, tickets: list[Ticket]):
        self.scheduler = PoolScheduler("d1", "r1", Pool(max_waiting=10_000), random.Random(1))
        self.views = make_views()
        self.tickets = tickets
        self.running: list[tuple[Grant, Ticket]] = []
        self.by_name = {ticket.request: ticket for ticket in tickets}
        self.now = 1.0
        self.seconds = 0.0
        self.scheduler.set_endpoints(self.views, self.now)

    def record_grants(self, effects) -> None:
        """Add the grants among effects to the running requests."""
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.message, Grant):
                self.running.append((effect.message, self.by_name[effect.message.request]))

    def ask(self, ticket: Ticket) -> None:
        """Ask the scheduler for an endpoint, without timing the call."""
        self.record_grants(self.scheduler.ask(ticket, self.now))

    def finish_random_request(self, rng: random.Random) -> Done:
        """Remove a random running request and return its `Done` message."""
        index = rng.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        grant, ticket = self.running.pop()
        return Done(
            "care",
            grant.request,
            grant.endpoint,
            "v1",
            ticket.route,
            ticket.prompt_tokens,
            ticket.output_tokens,
            0.2,
            0.2 + 0.02 * ticket.output_tokens,
        )

    def call_timed(self, method, *arguments) -> None:
        """Call the scheduler and add up the processor time of the call."""
        started = time.process_time()
        effects = method(*arguments, self.now)
        self.seconds += time.process_time() - started
        self.record_grants(effects)

    def run(self, tickets: list[Ticket], rng: random.Random) -> list[float]:
        """Alternate asks and completions with 10 ticks a second; return seconds by sample."""
        scheduler = self.scheduler
        samples = []
        for number, ticket in enumerate(tickets):
            self.now += 1 / 140
            self.call_timed(scheduler.ask, ticket)
            if self.running:
                self.call_timed(scheduler.done, self.finish_random_request(rng))
            if number % 14 == 0:
                self.call_timed(scheduler.tick)
            if number % 140 == 0:
                self.call_timed(scheduler.set_endpoints, self.views)
            if (number + 1) % REQUESTS_PER_SAMPLE == 0:
                samples.append(self.seconds)
                self.seconds = 0.0
        return samples


def measure(running: int, waiting: int) -> tuple[list[float], float]:
    """Return microseconds per request by sample, and bytes per waiting request."""
    rng = random.Random(7)
    tickets = [make_ticket(number, rng) for number in range(running + waiting + REQUESTS)]
    driver = SchedulerDriver(tickets)
    for ticket in tickets[:running]:
        driver.ask(ticket)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for ticket in tickets[running : running + waiting]:
        driver.ask(ticket)
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    # All tickets exist beforehand; keep the garbage collector from traversing them in the run.
    gc.collect()
    gc.freeze()
    samples = driver.run(tickets[running + waiting :], rng)
    return [seconds / REQUESTS_PER_SAMPLE * 1e6 for seconds in samples], memory_bytes / max(
        1, waiting
    )


def loop_ns() -> float:
    """Return nanoseconds per iteration of an empty loop, as a measure of the machine's speed."""
    started = time.process_time()
    for _ in range(1_000_000):
        pass
    return (time.process_time() - started) * 1e3


def print_cost() -> None:
    """Print the cost with all slots taken and requests waiting, and with free slots."""
    full = ENDPOINTS * 17
    busy, memory_bytes = measure(full, WAITING)
    idle, _ = measure(full // 2, 0)
    print(f"{ENDPOINTS} endpoints; ask, grant, done and ticks in us a request, processor time,")
    print(
        f"median and least of parts of {REQUESTS_PER_SAMPLE} requests; "
        f"an empty loop takes {loop_ns():.0f} ns"
    )
    for name, samples in ((f"slots taken, {WAITING} waiting", busy), ("half of slots free", idle)):
        print(f"  {name}: {statistics.median(samples):.1f}, {min(samples):.1f}")
    print(f"  {memory_bytes:.0f} bytes a waiting request beside its ticket")


if __name__ == "__main__":
    print_cost()
