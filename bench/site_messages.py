"""Measure the messages that report to owners of queues and to control processes.

Run it with ``python -m bench.site_messages``. It prints size and processor time of each message,
the cost of a deputy's grants, and the cost to apply a command of crash reports to a full
quarantine record.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable

from mulberrygate.control.catalogs import (
    CatalogStateMachine,
    PutEvidence,
    PutTrials,
    encode_command,
)
from mulberrygate.core.wire import decode, encode
from mulberrygate.quota import DeputyLimits, Limit
from mulberrygate.schedule.messages import Progress
from mulberrygate.sync.messages import (
    Answered,
    AskUnits,
    CheckCurrent,
    CheckCurrentResult,
    Crash,
    CrashReport,
    FollowResult,
    TrialRequest,
    TrialResult,
    Units,
)

REPEATS = 3000
FLEETS = (194, 360)
RUNNING = 13
WAITING = 7
CALLS_PER_CRASH = 14
CRASHES = 600
CRASH_PAUSE_S = 5.0
PARTS = (f"part-{1:012x}", f"part-{2:012x}")
LISTED = 250
FINGERPRINT = f"{0:024x}"
HOLDER = "10.1.0.25/1787771334520/1"


def measure_us(action: Callable[[], object]) -> float:
    """Return the processor time of an action in microseconds."""
    started = time.process_time()
    for _ in range(REPEATS):
        action()
    return (time.process_time() - started) / REPEATS * 1e6


def print_message(name: str, message: object) -> None:
    """Print size and times of one message."""
    kind, body = encode(message)
    encode_us = measure_us(lambda: encode(message))
    decode_us = measure_us(lambda: decode(kind, body))
    print(f"{name:34} {len(body):5} B  encode {encode_us:5.1f} us  decode {decode_us:5.1f} us")


def print_messages() -> None:
    """Print the figures of the messages."""
    held = tuple(f"{number:016x}.0" for number in range(RUNNING + WAITING))
    emitted = dict.fromkeys(held[:RUNNING], 100)
    print_message("Progress without what is held", Progress("pool", emitted))
    print_message("Progress", Progress("pool", emitted, held, True))
    print_message("CheckCurrent", CheckCurrent())
    print_message("CheckCurrentResult", CheckCurrentResult(True))
    crash = Crash(FINGERPRINT, f"i-{0:010x}", 1, PARTS, True, 0.05, 0.4)
    print_message("CrashReport of one call", CrashReport((crash,)))
    print_message("CrashReport of one answer", CrashReport(answers=(Answered(PARTS[0], 0.4),)))
    listed = tuple(f"{number:024x}" for number in range(LISTED))
    print_message(f"FollowResult with {LISTED} listed", FollowResult(1, 1, 1, suspected=listed))
    for entries in FLEETS:
        names = tuple(f"10.{number // 64}.0.{number % 64}" for number in range(entries))
        print_message(
            f"FollowResult with {entries} entries",
            FollowResult(1, 1, 1, entries=entries, entries_digest=2**32 - 1, entry_names=names),
        )
    print_message("AskUnits", AskUnits("10.1.0.25", "account", 7000.0, 0.0))
    print_message("Units", Units(True, 7000.0))
    print_message("TrialRequest", TrialRequest(FINGERPRINT, HOLDER, PARTS))
    print_message("TrialResult", TrialResult(False, 19.5))


def print_deputy(entries: int) -> None:
    """Print the processor time of a deputy's grant while all entries ask it."""
    deputy = DeputyLimits()
    deputy.set_limits({"account": Limit(1e9, 1e9)})
    numbers = itertools.count()

    def grant() -> None:
        number = next(numbers)
        deputy.grant(str(number % entries), "account", 1.0, entries, number * 1e-3)

    print(f"DeputyLimits.grant, {entries} entries: {measure_us(grant):.1f} us")


def make_crash_command(number: int, calls: int, has_head: bool) -> PutEvidence:
    """Return the command that reports the crash of one endpoint during a number of calls."""
    crashes = tuple(
        (
            f"{number:012x}{call:012x}",
            (f"part-{number % 50:012x}", f"part-{number * calls + call:012x}"),
            has_head and call == 0,
            f"i-{number:010x}",
            1,
            0.05,
            0.4,
        )
        for call in range(calls)
    )
    return PutEvidence(crashes, (), (), number * CRASH_PAUSE_S)


def print_commands(has_head: bool) -> None:
    """Print the cost of crash reports in the replicated state machine."""
    machine = CatalogStateMachine()
    commands = [
        encode_command(make_crash_command(n, CALLS_PER_CRASH, has_head)) for n in range(CRASHES)
    ]
    for index, command in enumerate(commands[:-100], start=1):
        machine.apply(index, command)
    started = time.process_time()
    for index, command in enumerate(commands[-100:], start=CRASHES):
        machine.apply(index, command)
    apply_ms = (time.process_time() - started) / 100 * 1e3
    one = encode_command(make_crash_command(0, 1, has_head))
    print(f"crashes {'after' if has_head else 'without'} the head of an answer:")
    print(f"PutEvidence of 1 and {CALLS_PER_CRASH} calls: {len(one)} and {len(commands[0])} B")
    print(f"to apply it on {len(machine.quarantine.crashes)} crashes: {apply_ms:.2f} ms")
    print(f"snapshot: {len(machine.snapshot()) / 1000:.0f} KB")


def print_trial() -> None:
    """Print the size of the command that begins a trial."""
    command = PutTrials((FINGERPRINT, *PARTS), HOLDER, 0.0)
    print(f"PutTrials: {len(encode_command(command))} B")


if __name__ == "__main__":
    print_messages()
    for entries in FLEETS:
        print_deputy(entries)
    print_commands(has_head=True)
    print_commands(has_head=False)
    print_trial()
