"""Client side of the ledger: an entry claims keys at the replicas of a shard."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection, Coroutine, Iterator
from typing import Any

from mulberrygate.core.invariant import invariant
from mulberrygate.core.outcome import Execution
from mulberrygate.ledger import codes, keys
from mulberrygate.ledger.messages import (
    COMPLETED,
    MAX_ANSWER_BYTES,
    NO_ATTEMPT,
    Attempt,
    Begin,
    Claim,
    Finish,
    Lookup,
    NotServing,
    Phase,
    Release,
)
from mulberrygate.ledger.outcomes import (
    Begun,
    Claimed,
    Conflicting,
    Finished,
    InProgress,
    Missing,
    OpenAttempt,
    Pending,
    Recorded,
    Superseded,
    Unavailable,
    Uncertain,
)
from mulberrygate.ledger.tally import (
    IsAlive,
    Tally,
    decide_begin,
    decide_claim,
    decide_finish,
    decide_lookup,
    decide_release,
    may_keep_claim,
)
from mulberrygate.ledger.views import ReplicaId, Shard, View, shard_number
from mulberrygate.peers.client import Unreachable

# A majority is queried first, the other replicas after this delay or after a failure. This saves a
# third of the calls, which are most of the ledger's cost.
HEDGE_DELAY_S = 0.1
# Timeout of a single call. The whole operation has the timeout that its caller passes.
CALL_TIMEOUT_S = 1.0
# A replica that failed to answer, or that does not serve the view, is queried last for this long.
AVOID_FAILED_S = 5.0
# Backoff between rounds: doubles from the minimum to the maximum, with random jitter.
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.4
# Timeout for releasing a partial claim that yields to a competing one.
RELEASE_TIMEOUT_S = 0.5
# A release that a replica has not answered is repeated in the background for this long, with a
# backoff of at most the second value.
RELEASE_RETRY_S = 300.0
MAX_RELEASE_BACKOFF_S = 10.0
# An accepted begin permits a dispatch for this long. It must be far below the retention of records,
# so that an entry that was suspended can't dispatch after its records have expired.
BEGIN_VALID_S = 60.0
# Keys are minted until one falls into a shard with a replica on this instance, at most this many
# times. One of the two calls of each step then stays within the process.
MAX_MINT_TRIES = 128


class Coordinator:
    """Claims keys, and begins, finishes and releases attempts, at a majority of replicas.

    Parameters
    ==========
    peers : PeerClient
        Only ``call(instance, message, timeout_s)`` is used.
    shards : Callable[[], dict[str, Shard]]
        Shards of the configuration in force, by name.
    instance, incarnation : str, int
        Identity of this entry.
    wall_clock : Callable[[], float]
        Unix time in seconds.
    rng : random.Random
    is_alive : Callable[[str, int], bool]
        Whether an incarnation of an entry is in the membership. A wrong result can only make an
        attempt lose its claim; it can't lead to a second run.

    See Also
    ========
    mulberrygate.ledger.replica
        Rules on which the guarantee of at most one run depends.
    """

    def __init__(
        self,
        peers: Any,
        shards: Callable[[], dict[str, Shard]],
        instance: str,
        incarnation: int,
        wall_clock: Callable[[], float],
        rng: random.Random,
        is_alive: IsAlive,
    ):
        self.peers = peers
        self.shards = shards
        self.instance = instance
        self.incarnation = incarnation
        self.wall_clock = wall_clock
        self.rng = rng
        self.is_alive = is_alive
        self.last_number = 0
        self.avoided_until: dict[str, float] = {}
        self.local_shards_cache: tuple[Any, set[int]] = (None, set())
        self.tasks: set[asyncio.Task] = set()

    def home_domain(
        self, key: str, account_home: str, own_domain: str, known_domains: Collection[str]
    ) -> str:
        """Return the home failure domain of a key, see `keys.home_domain`."""
        return keys.home_domain(key, account_home, own_domain, known_domains)

    def mint_key(self, own_domain: str) -> str:
        """Return a new key, if possible in a shard with a replica on this instance."""
        wall = self.wall_clock()
        key = keys.mint(own_domain, wall, self.rng)
        own = self._local_shards(own_domain)
        for _ in range(MAX_MINT_TRIES if own else 0):
            if shard_number(key) in own:
                break
            key = keys.mint(own_domain, wall, self.rng)
        return key

    def _local_shards(self, domain: str) -> set[int]:
        shards = self.shards()
        if self.local_shards_cache[0] is not shards:
            me = ReplicaId(self.instance, self.incarnation)
            active = [shard for shard in shards.values() if shard.active]
            own = [shard for shard in active if me in shard.active.replicas]
            self.local_shards_cache = (
                shards,
                {s.number for s in own if s.failure_domain == domain},
            )
        return self.local_shards_cache[1]

    def _new_attempt(self, key: str, fingerprint: bytes, home: str) -> OpenAttempt:
        self.last_number += 1
        attempt = Attempt(self.instance, self.incarnation, self.last_number)
        return OpenAttempt(key, fingerprint, _shard_of(key, home), attempt)

    def claim_minted(self, key: str, fingerprint: bytes) -> Claimed:
        """Return a claim of a key that this instance has just minted, without any message.

        Explanation
        ===========
        No other entry can know the key yet, so ``begin`` alone is enough to prevent a second run.
        """
        return Claimed(self._new_attempt(key, fingerprint, ""))

    async def claim(
        self, key: str, fingerprint: bytes, timeout_s: float, home: str = ""
    ) -> Claimed | InProgress | Finished | Conflicting | Uncertain | Unavailable:
        """Claim a key.

        Explanation
        ===========
        The claim is repeated until the timeout while an attempt of a live entry holds the key and
        waits, or has begun at a minority only. A waiting attempt of an entry that has left the
        membership is taken over.

        Parameters
        ==========
        home : str
            Home failure domain of the key; if empty, the prefix of the key.
        """
        attempts = [self._new_attempt(key, fingerprint, home)]
        with self._released_if_cancelled(attempts):
            return await self._claim(attempts, home, _now() + timeout_s)

    async def _claim(self, attempts: list[OpenAttempt], home: str, deadline: float) -> Any:
        """Claim with the last of the attempts; append a new one whenever a partial claim yields."""
        replaces, backoff = NO_ATTEMPT, MIN_BACKOFF_S
        last_answered = Tally(View(0, ()))
        while True:
            current = attempts[-1]
            tally, decision = await self._claim_once(current, replaces, deadline)
            # The deadline may pass before any replica answers in the last round.
            last_answered = tally if tally.answers else last_answered
            if isinstance(decision, Uncertain) and self._minority_begin_may_continue(tally):
                decision = Pending((NO_ATTEMPT,))
            if isinstance(decision, Claimed):
                return decision
            if not isinstance(decision, Pending) or _now() >= deadline:
                self._spawn(self.release(current))
                return self._result_at_deadline(decision, last_answered)
            if decision.replaceable:
                replaces = decision.replaceable[0]
                if not decision.waiting_for:
                    continue
            if decision.waiting_for and not may_keep_claim(tally, current.attempt):
                await self.release(current, RELEASE_TIMEOUT_S)
                attempts.append(self._new_attempt(current.key, current.fingerprint, home))
            backoff = await self._back_off(backoff, deadline)

    @contextlib.contextmanager
    def _released_if_cancelled(self, attempts: list[OpenAttempt]) -> Iterator[None]:
        """Release the attempts if the block is cancelled, for example on a caller's disconnect."""
        try:
            yield
        except asyncio.CancelledError:
            for attempt in attempts:
                self._spawn(self.release(attempt))
            raise

    async def _claim_once(
        self, current: OpenAttempt, replaces: Attempt, deadline: float
    ) -> tuple[Tally, Any]:
        def make_message(view: int) -> Claim:
            return Claim(
                current.shard, view, current.key, current.fingerprint, current.attempt, replaces
            )

        def decide(tally: Tally) -> Any:
            return decide_claim(tally, current, self.is_alive)

        tally = await self._query(current, make_message, decide, deadline)
        return tally, decide(tally)

    def _minority_begin_may_continue(self, tally: Tally) -> bool:
        """Return whether an entry whose begin only a minority accepted may still continue."""
        running = [r.attempt for r in tally.records() if r.phase is Phase.RUNNING]
        return any(self.is_alive(a.instance, a.incarnation) for a in running)

    def _result_at_deadline(self, decision: Any, tally: Tally) -> Any:
        if not isinstance(decision, Pending):
            return decision
        records = tally.records()
        for record in records:
            if record.phase in (Phase.RUNNING, Phase.UNCERTAIN):
                detail = "only a minority knows the begin of an earlier attempt"
                begun = record if record.phase is Phase.RUNNING else None
                return Uncertain(detail, record=begun)
        waiting = [record for record in records if record.phase is Phase.WAITING]
        if waiting:
            return InProgress(waiting[0])
        return Unavailable(f"{len(tally.answers)} of {len(tally.replica_names)} replicas answered")

    async def begin(
        self, attempt: OpenAttempt, endpoint: str, address: str, timeout_s: float = 3.0
    ) -> Begun | Uncertain | Unavailable | Superseded:
        """Begin an attempt; only `Begun` permits one dispatch, before ``dispatch_before``."""
        invariant(not attempt.is_used, codes.ATTEMPT_REUSED, f"{attempt.attempt}")
        attempt.is_used = True
        with self._released_if_cancelled([attempt]):
            return await self._begin(attempt, endpoint, address, timeout_s)

    async def _begin(
        self, attempt: OpenAttempt, endpoint: str, address: str, timeout_s: float
    ) -> Begun | Uncertain | Unavailable | Superseded:
        started, wall = _now(), self.wall_clock()
        deadline = started + min(timeout_s, BEGIN_VALID_S / 2)
        step = (attempt.key, attempt.fingerprint, attempt.attempt, endpoint, address)
        backoff, decision = MIN_BACKOFF_S, Pending()
        may_have_accepted = False
        while isinstance(decision, Pending):
            tally = await self._query(
                attempt,
                lambda view: Begin(attempt.shard, view, *step),
                decide_begin,
                deadline,
            )
            decision = decide_begin(tally)
            may_have_accepted |= tally.may_have_accepted()
            if isinstance(decision, Pending):
                if _now() >= deadline:
                    break
                backoff = await self._back_off(backoff, deadline)
        age = max(_now() - started, self.wall_clock() - wall)
        if isinstance(decision, Recorded) and age < BEGIN_VALID_S:
            return Begun(attempt.attempt, started + BEGIN_VALID_S)
        self._spawn(self.release(attempt))
        if isinstance(decision, Superseded):
            return decision
        if may_have_accepted:
            detail = "no majority accepted the begin in time"
            return Uncertain(detail, codes.BEGIN_FAILED, Execution.NOT_RUN)
        return Unavailable("no replica accepted the begin")

    async def finish(
        self,
        attempt: OpenAttempt,
        outcome: str = COMPLETED,
        answer: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Recorded | Unavailable:
        """Record the outcome of a dispatched attempt.

        Explanation
        ===========
        An answer of more than `MAX_ANSWER_BYTES` is not kept.
        """
        kept = answer if len(answer) <= MAX_ANSWER_BYTES else b""
        step = (attempt.key, attempt.fingerprint, attempt.attempt, outcome, kept)
        return await self._repeat_until_stored(
            attempt, lambda view: Finish(attempt.shard, view, *step), decide_finish, timeout_s
        )

    async def release(self, attempt: OpenAttempt, timeout_s: float = 2.0) -> Recorded | Unavailable:
        """Give up an attempt that was not dispatched; the entry must not dispatch it afterwards.

        Explanation
        ===========
        Every replica that was queried must receive the release, since re-sends of the key wait
        while a claim is left at one of them. After `Unavailable` the release is repeated in the
        background.
        """
        attempt.is_used = True
        if not attempt.asked:
            return Recorded()

        def make_message(view: int) -> Release:
            return Release(attempt.shard, view, attempt.key, attempt.attempt)

        asked = frozenset(attempt.asked)

        def decide(tally: Tally) -> Recorded | Pending:
            return decide_release(tally, asked)

        result = await self._repeat_until_stored(attempt, make_message, decide, timeout_s)
        if not isinstance(result, Recorded):
            self._spawn(self._retry_release(attempt, make_message, decide))
        return result

    async def _retry_release(
        self,
        attempt: OpenAttempt,
        make_message: Callable[[int], Any],
        decide: Callable[[Tally], Any],
    ) -> None:
        """Repeat a release until it is stored; until then re-sends of the key wait."""
        deadline, backoff = _now() + RELEASE_RETRY_S, 1.0
        while _now() < deadline:
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, MAX_RELEASE_BACKOFF_S)
            result = await self._repeat_until_stored(attempt, make_message, decide, CALL_TIMEOUT_S)
            if isinstance(result, Recorded):
                return

    async def _repeat_until_stored(
        self,
        attempt: OpenAttempt,
        make_message: Callable[[int], Any],
        decide: Callable[[Tally], Any],
        timeout_s: float,
    ) -> Recorded | Unavailable:
        deadline, backoff = _now() + timeout_s, MIN_BACKOFF_S
        while True:
            tally = await self._query(attempt, make_message, decide, deadline)
            if isinstance(decide(tally), Recorded):
                return Recorded()
            if _now() >= deadline:
                return Unavailable(f"{len(tally.answers)} replicas stored the step")
            backoff = await self._back_off(backoff, deadline)

    async def lookup(
        self, key: str, home: str = "", timeout_s: float = 2.0
    ) -> InProgress | Finished | Uncertain | Missing | Unavailable:
        """Return what a majority of replicas knows about a key, without claiming it."""
        deadline, backoff = _now() + timeout_s, MIN_BACKOFF_S
        reader = OpenAttempt(key, b"", _shard_of(key, home), NO_ATTEMPT)
        while True:
            tally = await self._query(
                reader, lambda view: Lookup(reader.shard, view, key), decide_lookup, deadline
            )
            decision = decide_lookup(tally)
            if not isinstance(decision, Pending):
                return decision
            if _now() >= deadline:
                return self._result_at_deadline(decision, tally)
            backoff = await self._back_off(backoff, deadline)

    async def _query(
        self,
        attempt: OpenAttempt,
        make_message: Callable[[int], Any],
        decide: Callable[[Tally], Any],
        deadline: float,
    ) -> Tally:
        """Query the active view's replicas until the step is decided or none is left to query.

        Parameters
        ==========
        make_message : Callable[[int], Any]
            Makes the message from the number of the view.
        decide : Callable[[Tally], Any]
            Returns `Pending` while more answers are needed.
        deadline : float
            Monotonic time at which the query ends.
        """
        shard = self.shards().get(attempt.shard)
        if shard is None or shard.active is None:
            return Tally(View(0, ()))
        tally = Tally(shard.active)
        message = make_message(shard.active.number)
        names = self._query_order(tally.replica_names, attempt.asked)
        tasks: dict[asyncio.Task, str] = {}
        wanted = shard.active.majority()
        try:
            while isinstance(decide(tally), Pending) and not tally.is_complete():
                left = deadline - _now()
                if left <= 0:
                    break
                while names and len(tasks) + len(tally.answers) < wanted:
                    name = names.pop(0)
                    attempt.asked.add(name)
                    tally.asked.add(name)
                    call = self._call(name, message, min(CALL_TIMEOUT_S, left))
                    tasks[asyncio.ensure_future(call)] = name
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=min(left, HEDGE_DELAY_S) if names else left,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    tally.add(tasks.pop(task), task.result())
                if not done or not tasks:
                    wanted = len(tally.replica_names)
        finally:
            for task in tasks:
                task.cancel()
        return tally

    def _query_order(self, replica_names: list[str], asked: set[str]) -> list[str]:
        """Return replicas in the order of queries.

        Explanation
        ===========
        Replicas that failed recently come last. Within each group, this instance comes first, then
        the replicas that may already hold the attempt.
        """
        now = _now()

        def rank(name: str) -> tuple[bool, bool, bool]:
            is_avoided = self.avoided_until.get(name, 0.0) > now
            return is_avoided, name != self.instance, name not in asked

        return sorted(replica_names, key=rank)

    async def _call(self, name: str, message: Any, timeout_s: float) -> Any:
        answer = await self.peers.call(name, message, timeout_s)
        if isinstance(answer, (Unreachable, NotServing)):
            self.avoided_until[name] = _now() + AVOID_FAILED_S
        else:
            self.avoided_until.pop(name, None)
        return answer

    async def _back_off(self, backoff: float, deadline: float) -> float:
        """Sleep for about the backoff and return the next backoff."""
        wanted = backoff * self.rng.uniform(0.5, 1.5)
        await asyncio.sleep(max(0.0, min(wanted, deadline - _now())))
        return min(backoff * 2, MAX_BACKOFF_S)

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self, timeout_s: float = 2.0) -> None:
        """Wait up to a timeout for releases in progress, then cancel the rest."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _shard_of(key: str, home: str) -> str:
    return f"{home or key.partition('/')[0]}/{shard_number(key)}"
