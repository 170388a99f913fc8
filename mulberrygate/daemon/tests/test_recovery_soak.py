"""Randomized losses of real control processes, and the read of the configuration after them.

Losses stay within the tolerance of two: a process counts as lost while it is down or suspended, and
for a while after it is back. At the end two processes lose their disks right after an
acknowledgement, while all others are killed. The test runs one short seed. More are run by hand,
also with entries that are killed at the same moment::

    python -m mulberrygate.daemon.tests.test_recovery_soak --seeds 50 --rounds 5 --logs /tmp/soak
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import sys
import time
import unittest

import attrs

from mulberrygate.daemon.tests.process_support import CALL_LIMIT_S, CONTROLS, SEEDS, ProcessGroup
from mulberrygate.daemon.tests.site_support import STEP_TIMEOUT_S

CI_SEED = 0
CI_ROUNDS = 2
# Several times the users' bounds below, since other tests may run beside this one.
CI_READ_S = 30.0
# Bounds of the users: until a process that is back no longer counts as lost, until the system has
# recovered from the final fault, and how long the operator then asks for the configuration.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
CONTACT_S = 3.0
# Time without power in the final fault.
OFF_S = 1.5
# Disturbances and their weights.
KINDS = {"wipe": 5, "kill": 3, "kill all": 1, "suspend": 2, "stop": 3, "seeds": 2}


@attrs.frozen
class Report:
    """Result of one run.

    Parameters
    ==========
    acknowledged : int
        Newest version that was acknowledged.
    read : int or None
        Version that the operator read back at the end, ``None`` if none came or if a change was
        not acknowledged before.
    read_s : float
        Seconds from the last start until the operator had it.
    first_reads : dict[str, float]
        Seconds from the last start until each control process answered a read.
    behind : tuple[str, ...]
        Processes that were not current when the final fault began.
    older : tuple[str, ...]
        Reads that gave an older version than was acknowledged before them.
    elections : int
        Leaders elected after the final fault.
    timeline : str
        What was done to the processes, and their changes of role.
    """

    seed: int
    acknowledged: int
    read: int | None = None
    read_s: float = 0.0
    first_reads: dict[str, float] = attrs.field(factory=dict)
    behind: tuple[str, ...] = ()
    older: tuple[str, ...] = attrs.field(default=(), converter=tuple)
    elections: int = 0
    timeline: str = attrs.field(default="", repr=False)

    @property
    def is_bad(self) -> bool:
        """Whether the newest acknowledged version was not read back."""
        return self.read is None or self.read < self.acknowledged or bool(self.older)


class RecoverySoak:
    """One run: losses of processes and disks while the configuration changes, then the final fault.

    Parameters
    ==========
    recovery_s, read_within_s : float
        How long the operator waits after the final fault, and how long it then asks for the
        configuration.
    """

    def __init__(self, seed, rounds, recovery_s, read_within_s, entries=0, folder=""):
        self.seed = seed
        self.rounds = rounds
        self.recovery_s = recovery_s
        self.read_within_s = read_within_s
        self.rng = random.Random(seed)
        # Calls take their own random numbers, so that their times don't change the disturbances.
        self.call_rng = random.Random(f"{seed} calls")
        self.group = ProcessGroup(entries, folder)
        self.older: list[str] = []
        self.is_over = False

    async def run(self):
        """Run until the end and return the report."""
        async with self.group as group:
            try:
                await group.form(self.call_rng)
                group.note(f"formed: leader {group.leader()}, voters {group.voters()}")
                await self.run_day()
                return await self.close_day()
            except TimeoutError:
                group.note(f"a step took longer than {STEP_TIMEOUT_S:g} s")
                group.note_disks()
                return Report(
                    self.seed, group.acknowledged, older=self.older, timeline=group.describe()
                )

    async def run_day(self):
        """Disturb the control processes while the configuration changes and is read."""
        calls = [
            asyncio.ensure_future(self.change_documents()),
            asyncio.ensure_future(self.read_documents()),
        ]
        try:
            for _ in range(self.rounds):
                kind = self.rng.choices(list(KINDS), list(KINDS.values()))[0]
                await self.disturb(kind)
                await asyncio.sleep(CATCH_UP_S + self.rng.uniform(0.1, 1.5))
            self.is_over = True
            await asyncio.gather(*calls)
        finally:
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def disturb(self, kind):
        """Disturb some control processes, and end with all of them running."""
        group = self.group
        names = self.rng.sample(CONTROLS, self.rng.choice((1, 2, 2)))
        off_s = self.rng.uniform(0.2, 2.0)
        takes_leader = self.rng.random() < 0.5
        if takes_leader and group.leader() and group.leader() not in names:
            names[0] = group.leader()
        if kind == "seeds":
            seeds = self.rng.sample(CONTROLS, SEEDS)
            group.note(f"seeds: {' '.join(seeds)}")
            group.exchange_seeds(seeds)
        elif kind == "suspend":
            group.note(f"suspend {' '.join(names)} for {off_s:.1f} s")
            group.send_signal(signal.SIGSTOP, *names)
            await asyncio.sleep(off_s)
            group.send_signal(signal.SIGCONT, *names)
        elif kind == "stop":
            group.note(f"stop {names[0]}")
            await group.stop(names[0])
            await group.start(names[0])
        elif kind == "kill all":
            group.note("kill all control processes")
            await group.kill(*CONTROLS)
            await asyncio.sleep(off_s)
            await group.start(*CONTROLS)
        elif kind == "kill":
            group.note(f"kill {' '.join(names)}")
            await group.kill(*names)
            await asyncio.sleep(off_s)
            await group.start(*names)
        else:
            names = await self.choose_after_change(names)
            group.note(f"empty the disks of {' '.join(names)}, leader {group.leader()}")
            await group.erase_disks(*names)
            await asyncio.sleep(off_s)
            await group.start(*names)

    async def choose_after_change(self, names):
        """Make a change; in half of the cases let the process that acknowledged it be lost."""
        is_own = self.rng.random() < 0.5
        name = await self.group.put_document(self.call_rng)
        return [name, *(n for n in names if n != name)][: len(names)] if is_own else names

    async def change_documents(self):
        """Apply one configuration after the other."""
        while not self.is_over:
            await self.group.put_document(self.call_rng)
            await asyncio.sleep(self.call_rng.uniform(0.3, 1.0))

    async def read_documents(self):
        """Read the configuration from any process, and compare it with what was acknowledged."""
        while not self.is_over:
            await self.read(self.call_rng.choice(CONTROLS))
            await asyncio.sleep(self.call_rng.uniform(0.1, 0.5))

    async def read(self, name):
        """Read the configuration from a process; return whether it came."""
        known = self.group.acknowledged
        status, fields = await self.group.call(name, "GET", "/config")
        if status == 200 and fields["version"] < known:
            self.older.append(f"{name}: {fields['version']} in place of {known}")
        return status == 200

    async def close_day(self):
        """Cause the final fault, and read the configuration as the operator does."""
        group = self.group
        behind = await group.wait_current(*CONTROLS, within_s=CALL_LIMIT_S)
        names = await self.choose_after_change(self.rng.sample(CONTROLS, 2))
        group.note(f"leader {group.leader()}, voters {group.voters()}, not current: {behind}")
        group.note(f"final fault: empty the disks of {' '.join(names)}, kill all others")
        group.send_signal(signal.SIGKILL, *group.instances)
        await group.wait_ended(*group.instances)
        await group.erase_disks(*names)
        await asyncio.sleep(OFF_S)
        await group.start(*group.instances)
        started_at, started_wall = time.monotonic(), time.time()
        group.note("all are started again")
        polls = [asyncio.ensure_future(self.first_read(name, started_at)) for name in CONTROLS]
        await asyncio.sleep(self.recovery_s)
        read = await group.read_document(self.call_rng, self.read_within_s)
        read_s = time.monotonic() - started_at
        group.note(f"the operator has version {read}, {group.acknowledged} was acknowledged")
        await asyncio.sleep(0.0 if read is None else CONTACT_S)
        group.note_disks()
        for poll in polls:
            poll.cancel()
        found = await asyncio.gather(*polls, return_exceptions=True)
        first_reads = {
            name: round(value, 2)
            for name, value in zip(CONTROLS, found, strict=True)
            if isinstance(value, float)
        }
        elections = sum(role == "leader" for _, _, role, _ in group.elections(started_wall))
        return Report(
            self.seed,
            group.acknowledged,
            read,
            round(read_s, 2),
            first_reads,
            tuple(behind),
            self.older,
            elections,
            group.describe(),
        )

    async def first_read(self, name, started_at):
        """Return the seconds until a process answers a read."""
        while not await self.read(name):  # noqa: ASYNC110 (a poll)
            await asyncio.sleep(0.25)
        return time.monotonic() - started_at


class TestRecoverySoak(unittest.IsolatedAsyncioTestCase):
    """Losses of real control processes and their disks."""

    async def lead_outside_seeds(self, group):
        """Move the leadership until a process leads that is no seed; return its name."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while (leader := await group.find_leader()) in group.seeds:
                group.note(f"stop the leader {leader}")
                await group.stop(leader)
                await group.start(leader)
                await group.wait_current(*CONTROLS)
        group.note(f"{leader} leads, seeds are {' '.join(group.seeds)}")
        return leader

    async def test_empty_disk_is_taken_in_under_a_leader_that_is_no_seed(self):
        """Guards against a process that asks only its seeds to be taken in again."""
        async with ProcessGroup() as group:
            await group.form(random.Random(0))
            leader = await self.lead_outside_seeds(group)
            lost = next(name for name in CONTROLS if name != leader)
            group.note(f"empty the disk of {lost}")
            await group.erase_disks(lost)
            await group.start(lost)
            behind = await group.wait_current(lost, within_s=RECOVERY_S + CONTACT_S)
            group.note(f"{lost} answers a read with {await group.call(lost, 'GET', '/config')}")
            self.assertEqual(behind, [], group.describe())

    async def test_configuration_comes_after_two_losses_of_disks_in_turn(self):
        """Guards against a group without a majority, as disks lost earlier were not replaced."""
        async with ProcessGroup() as group:
            rng = random.Random(0)
            await group.form(rng)
            leader = await self.lead_outside_seeds(group)
            voters = [name for name in group.voters() if name != leader]
            group.note(f"empty the disks of {' '.join(voters[:2])}")
            await group.erase_disks(*voters[:2])
            await group.start(*voters[:2])
            await asyncio.sleep(CATCH_UP_S + CONTACT_S)
            await group.put_document(rng)
            group.note(f"final fault: empty the disks of {' '.join(voters[2:])}, kill all others")
            await group.kill(*CONTROLS)
            await group.erase_disks(*voters[2:])
            await asyncio.sleep(OFF_S)
            await group.start(*CONTROLS)
            version = await group.read_document(rng, CI_READ_S)
            group.note_disks()
            self.assertEqual(version, group.acknowledged, group.describe())

    async def test_configuration_comes_after_random_losses(self):
        """Guards against a configuration that can't be read back after losses within bounds."""
        report = await RecoverySoak(CI_SEED, CI_ROUNDS, 0.0, CI_READ_S).run()
        self.assertFalse(report.is_bad, f"{report}\n{report.timeline}")


def main():
    """Run the seeds that the command line asks for and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="number of runs")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--rounds", type=int, default=5, help="disturbances before the final fault")
    parser.add_argument("--entries", type=int, default=0, help="entries that follow the group")
    parser.add_argument("--logs", default="", help="folder in which logs and disks are kept")
    parser.add_argument(
        "--within", type=float, default=CONTACT_S, help="seconds in which the read has to succeed"
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = os.path.join(options.logs, f"seed-{seed}") if options.logs else ""
        soak = RecoverySoak(
            seed, options.rounds, RECOVERY_S, options.within, options.entries, folder
        )
        report = asyncio.run(soak.run())
        failed += report.is_bad
        print(f"{'FAILED ' if report.is_bad else ''}{report}", flush=True)
        if report.is_bad:
            print(report.timeline, flush=True)
    print(f"{failed} of {options.seeds} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
