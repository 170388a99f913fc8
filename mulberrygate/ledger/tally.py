"""Quorum decisions of a coordinator from the answers of one view's replicas.

Explanation
===========
A tally counts the answers to one step under one view; a step under another view needs a new tally.
`NotServing` counts as a failure to answer.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from mulberrygate.ledger.messages import (
    Absent,
    Accepted,
    Attempt,
    Conflict,
    Existing,
    NotServing,
    Phase,
    Record,
    Withdrawn,
)
from mulberrygate.ledger.outcomes import (
    Claimed,
    Conflicting,
    Finished,
    InProgress,
    Missing,
    OpenAttempt,
    Pending,
    Recorded,
    Superseded,
    Uncertain,
)
from mulberrygate.ledger.views import View

IsAlive = Callable[[str, int], bool]


class Tally:
    """Answers of the replicas of one view to one step.

    Explanation
    ===========
    ``asked`` holds the replicas that a message was sent to, ``failed`` those without a valid answer
    and ``not_serving`` those that refused the view and thus have not accepted the step.

    Parameters
    ==========
    view : View
    """

    def __init__(self, view: View):
        self.view = view
        self.replica_names = [replica.instance for replica in view.replicas]
        self.answers: dict[str, Any] = {}
        self.failed: set[str] = set()
        self.asked: set[str] = set()
        self.not_serving: set[str] = set()

    def add(self, instance: str, answer: Any) -> None:
        """Count an answer; anything but an answer of the ledger counts as a failure."""
        if isinstance(answer, NotServing):
            self.not_serving.add(instance)
        if isinstance(answer, (Accepted, Existing, Absent, Conflict, Withdrawn)):
            self.answers[instance] = answer
            self.failed.discard(instance)
        else:
            self.failed.add(instance)

    def may_have_accepted(self) -> bool:
        """Return whether any replica may have accepted the step, answered or not."""
        refused = {name for name, a in self.answers.items() if not isinstance(a, Accepted)}
        return bool(self.asked - refused - self.not_serving)

    def count(self, kind: type) -> int:
        """Return the number of answers of a class."""
        return sum(isinstance(answer, kind) for answer in self.answers.values())

    def is_majority(self, count: int) -> bool:
        """Return whether a number of replicas is a majority of the view."""
        return count >= self.view.majority()

    def is_complete(self) -> bool:
        """Return whether every replica has answered or failed to."""
        return len(self.answers) + len(self.failed) == len(self.replica_names)

    def records(self) -> list[Record]:
        """Return the records of all answers that carry one."""
        return [a.record for a in self.answers.values() if isinstance(a, (Existing, Conflict))]


def decide_from_records(tally: Tally) -> Finished | InProgress | Uncertain | Pending:
    """Decide from the records in the answers, without regard to acceptances.

    Explanation
    ===========
    One record of an attempt that has run is enough, since only the entry that dispatched the
    attempt writes it. A begin needs a majority; a minority of begins is `Uncertain` once all
    replicas have answered or failed to. ``not_run`` needs a majority too, because another attempt
    may have begun at the other replicas.
    """
    records = tally.records()
    for record in records:
        if record.has_run():
            return Finished(record)
    running = [record for record in records if record.phase is Phase.RUNNING]
    for record in running:
        if tally.is_majority(sum(record.attempt == other.attempt for other in running)):
            return InProgress(record)
    unknown = [record for record in records if record.phase is Phase.UNCERTAIN]
    if tally.is_majority(len(unknown)):
        return Uncertain("a replica does not know whether an earlier attempt ran")
    if (running or unknown) and tally.is_complete():
        begun = running[0] if running else None
        return Uncertain("only a minority knows the begin of an earlier attempt", record=begun)
    given_up = [record for record in records if record.phase is Phase.FINISHED]
    if tally.is_majority(len(given_up)):
        return Finished(given_up[0])
    return Pending(tuple({record.attempt for record in running + unknown}))


def decide_claim(
    tally: Tally, attempt: OpenAttempt, is_alive: IsAlive
) -> Claimed | Finished | InProgress | Conflicting | Uncertain | Pending:
    """Decide a claim from acceptances and from the records of other attempts.

    Explanation
    ===========
    A waiting attempt may be replaced if the incarnation of its entry has left the membership. If
    that entry is still alive, the takeover is safe nevertheless: every replica that accepted it
    refuses the begin of the replaced attempt, so that entry only loses its claim.
    """
    if tally.count(Conflict):
        return Conflicting()
    known = decide_from_records(tally)
    if not isinstance(known, Pending):
        return known
    accepted = tally.count(Accepted)
    if tally.is_majority(accepted) and not known.waiting_for:
        return Claimed(attempt)
    waiting = {r.attempt for r in tally.records() if r.phase is Phase.WAITING}
    gone = {a for a in waiting if not is_alive(a.instance, a.incarnation)}
    return Pending(known.waiting_for + tuple(sorted(waiting - gone)), tuple(sorted(gone)))


def decide_begin(tally: Tally) -> Recorded | Superseded | Pending:
    """Decide a begin: a majority of acceptances, or so many refusals that none is possible."""
    if tally.is_majority(tally.count(Accepted)):
        return Recorded()
    if not tally.replica_names:
        # The shard has no active view yet.
        return Pending()
    refused = len(tally.answers) - tally.count(Accepted)
    if refused > len(tally.replica_names) - tally.view.majority():
        return Superseded()
    return Pending()


def decide_finish(tally: Tally) -> Recorded | Pending:
    """Decide a finish: it is recorded once a majority has answered."""
    return Recorded() if tally.is_majority(len(tally.answers)) else Pending()


def decide_release(tally: Tally, asked: Collection[str]) -> Recorded | Pending:
    """Decide a release: needs all replicas that may hold the attempt, and at least a majority."""
    is_heard = all(name in tally.answers for name in tally.replica_names if name in asked)
    return Recorded() if is_heard and tally.is_majority(len(tally.answers)) else Pending()


def decide_lookup(tally: Tally) -> Finished | InProgress | Uncertain | Missing | Pending:
    """Decide a lookup; a waiting attempt counts as `InProgress`."""
    known = decide_from_records(tally)
    if not isinstance(known, Pending) or known.waiting_for:
        return known
    waiting = [record for record in tally.records() if record.phase is Phase.WAITING]
    if tally.is_majority(len(tally.answers)):
        return InProgress(waiting[0]) if waiting else Missing()
    return Pending()


def may_keep_claim(tally: Tally, own: Attempt) -> bool:
    """Return whether an attempt keeps its partial claim while several attempts compete.

    Explanation
    ===========
    Re-sends that reach several entries at once can each hold the claim at one replica, so that none
    gets a majority. The attempt that holds the first replica of the view that answered keeps its
    claim; the others release theirs.
    """
    for name in tally.replica_names:
        answer = tally.answers.get(name)
        if answer is not None:
            return isinstance(answer, Accepted)
    return False
