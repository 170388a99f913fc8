"""Attribution of endpoints' crashes to what the calls that ran there have in common.

Explanation
===========
A crash may be caused by a whole call, which its caller repeats, or by a part of its prompt, which
unlike calls share. Both are *identities* of a call. The cause is found by elimination:

- Only sends that had yielded nothing can have caused a crash. If the heads of some of their
  answers had arrived, the endpoint had begun these answers, and only they remain.
- An identity that was answered after a crash did not cause it.
- A crash that a guilty part explains is no evidence against other identities.
- Crashes within `EPISODE_S` count once, since a lost rack ends many endpoints together, unless the
  call was sent after the crash before.

An identity that stays in several crashes is guilty. One that was answered shortly before its first
crash needs more of them, since a popular part is in most calls that ran beside the cause.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

import attrs

# Crashes that make an identity guilty: if the head of its answer had arrived in each of them, if it
# had not in some, and if the identity was answered shortly before the first.
CRASHES_AFTER_HEAD = 2
CRASHES_WITHOUT_HEAD = 3
CRASHES_AFTER_ANSWER = 4
# Crashes after which an identity is suspected, if no head of an answer had arrived.
CRASHES_TO_SUSPECT = 2
# Time for which an answer speaks for an identity.
TRUST_S = 60.0
EPISODE_S = 0.25
# Different calls in the crashes of a part; otherwise the whole call is the narrower cause.
MIN_CALLS_OF_PART = 2
# Candidates of one crash that are kept. A crash with more tells little about each.
MAX_CANDIDATES = 32
PART_PREFIX = "part-"
# Joins the parts of a joint identity.
JOINT = "+"


def part_identity(part: str) -> str:
    """Return the identity of a shared part of prompts.

    Examples
    ========
    >>> from mulberrygate.control.blame import is_part, part_identity
    >>> part_identity("5c1e07a2"), is_part("part-5c1e07a2"), is_part("9f03")
    ('part-5c1e07a2', True, False)
    """
    return PART_PREFIX + part


def is_part(identity: str) -> bool:
    """Return whether an identity is that of a part, as opposed to a whole call."""
    return identity.startswith(PART_PREFIX)


def joint_identity(parts: Iterable[str]) -> str:
    """Return the identity of prompts that have all of some parts.

    Examples
    ========
    >>> from mulberrygate.control.blame import joint_identity, members
    >>> joint_identity(["part-b", "part-a"]), members("part-a+part-b"), members("part-a")
    ('part-a+part-b', ('part-a', 'part-b'), ('part-a',))
    """
    return JOINT.join(sorted(parts))


def members(identity: str) -> tuple[str, ...]:
    """Return the parts of a joint identity, or the identity itself."""
    return tuple(identity.split(JOINT))


def matching(listed: Iterable[str], identities: Collection[str]) -> tuple[str, ...]:
    """Return those of the listed identities, single or joint, that a call has."""
    return tuple(name for name in listed if all(part in identities for part in members(name)))


@attrs.frozen
class Candidate:
    """Call that may have caused a crash.

    Parameters
    ==========
    call : str
        Fingerprint of the call.
    parts : tuple[str, ...]
        Identities of the shared parts of its prompt.
    has_head : bool
        Whether the head of its answer had arrived.
    sent_at : float
        Time at which it was sent, on the clock of the record.
    """

    call: str
    parts: tuple[str, ...] = ()
    has_head: bool = False
    sent_at: float = -math.inf

    @property
    def identities(self) -> tuple[str, ...]:
        """The whole call and its shared parts."""
        return (self.call, *self.parts)


@attrs.define(eq=False)
class EndpointCrash:
    """Crash of one process of an endpoint, and the calls that are most likely to have caused it.

    Parameters
    ==========
    at : float
        Seconds on the clock of the record.
    candidates : dict[str, Candidate]
        By fingerprint: the calls with the head of an answer, or all if there are none.
    """

    at: float
    candidates: dict[str, Candidate] = attrs.field(factory=dict)

    def add(self, candidate: Candidate) -> bool:
        """Add a candidate; return whether that changes anything."""
        has_head = any(known.has_head for known in self.candidates.values())
        if candidate.has_head and not has_head:
            self.candidates = {candidate.call: candidate}
            return True
        is_unlikely = has_head and not candidate.has_head
        if is_unlikely or candidate.call in self.candidates:
            return False
        if len(self.candidates) >= MAX_CANDIDATES:
            return False
        self.candidates[candidate.call] = candidate
        return True

    def is_explained(self, guilty: Collection[str]) -> bool:
        """Return whether one of its candidates has a guilty identity."""
        return any(
            identity in guilty
            for candidate in self.candidates.values()
            for identity in candidate.identities
        )


@attrs.define
class Case:
    """Evidence against one identity.

    Parameters
    ==========
    crashes : list[EndpointCrash]
        Crashes since its last answer in which it is among the candidates, in order.
    calls : set[str]
        Fingerprints of its calls among the candidates.
    heads : int
        Episodes in which the head of an answer to one of its calls had arrived.
    episodes : int
        Crashes that are not part of an episode of an earlier one.
    answered_at : float
        Time of its last answer before the crashes, minus infinity if there is none.
    """

    identity: str
    answered_at: float = -math.inf
    crashes: list[EndpointCrash] = attrs.field(factory=list)
    calls: set[str] = attrs.field(factory=set)
    episodes: int = 0
    heads: int = 0
    episode_at: float = -math.inf
    has_head_in_episode: bool = False

    def add(self, crash: EndpointCrash, candidate: Candidate) -> None:
        """Add a crash; crashes are added in the order of their times."""
        self.calls.add(candidate.call)
        if not self.crashes or self.crashes[-1] is not crash:
            is_sent_later = bool(self.crashes) and candidate.sent_at >= self.crashes[-1].at
            if is_sent_later or crash.at > self.episode_at + EPISODE_S:
                self.episode_at = crash.at
                self.episodes += 1
                self.has_head_in_episode = False
            self.crashes.append(crash)
        if candidate.has_head and not self.has_head_in_episode:
            self.has_head_in_episode = True
            self.heads += 1

    @property
    def is_trusted(self) -> bool:
        """Whether it was answered shortly before its first crash."""
        return self.answered_at >= self.crashes[0].at - TRUST_S

    @property
    def excess(self) -> int:
        """Episodes beyond those that make it guilty, negative if it isn't guilty."""
        if is_part(self.identity) and len(self.calls) < MIN_CALLS_OF_PART:
            return -1
        if self.is_trusted:
            return self.episodes - CRASHES_AFTER_ANSWER
        if self.heads >= CRASHES_AFTER_HEAD:
            return self.episodes - CRASHES_AFTER_HEAD
        return self.episodes - CRASHES_WITHOUT_HEAD

    @property
    def is_suspect(self) -> bool:
        """Whether its calls should be sent one at a time until it is answered."""
        if self.is_trusted:
            return self.heads >= CRASHES_AFTER_HEAD or self.episodes > CRASHES_TO_SUSPECT
        return self.heads >= 1 or self.episodes >= CRASHES_TO_SUSPECT

    def covers(self, other: Case) -> bool:
        """Return whether another identity is in the same crashes and no less suspicious."""
        return (
            len(self.crashes) == len(other.crashes)
            and all(a is b for a, b in zip(self.crashes, other.crashes, strict=True))
            and self.answered_at == other.answered_at
        )


@attrs.frozen
class Verdicts:
    """Identities that are guilty of crashes, and those that may be, with their evidence.

    Explanation
    ===========
    Parts that can't be told apart are guilty jointly: calls with all of them are refused, and those
    with some of them are suspected.
    """

    guilty: dict[str, Case]
    suspects: dict[str, Case]


def collect_cases(
    crashes: Iterable[EndpointCrash], answered_at: Mapping[str, float], parts: bool
) -> dict[str, Case]:
    """Return the evidence against all parts, or against all whole calls."""
    cases: dict[str, Case] = {}
    for crash in crashes:
        for candidate in crash.candidates.values():
            for identity in candidate.parts if parts else (candidate.call,):
                answered = answered_at.get(identity, -math.inf)
                if answered >= crash.at:
                    continue
                case = cases.setdefault(identity, Case(identity, answered))
                case.add(crash, candidate)
    return cases


def _find_guilty(
    crashes: list[EndpointCrash], answered_at: Mapping[str, float], parts: bool
) -> dict[str, Case]:
    """Return the parts, or the calls, that explain most crashes, one after the other.

    Explanation
    ===========
    Identities that are in the same crashes can't be told apart. Calls are, once they are sent one
    at a time. Parts may always stand in the same prompts; after one more crash they are guilty
    jointly, and an answer to a call with one of them decides.
    """
    guilty: dict[str, Case] = {}
    undecided: set[str] = set()
    while True:
        open_crashes = [crash for crash in crashes if not crash.is_explained(guilty)]
        cases = collect_cases(open_crashes, answered_at, parts)
        found = [c for name, c in cases.items() if c.excess >= 0 and name not in undecided]
        if not found:
            return guilty
        best = max(found, key=lambda case: (case.episodes, -case.answered_at))
        equal = [case.identity for case in found if best.covers(case)]
        if len(equal) == 1:
            guilty[best.identity] = best
            continue
        undecided.update(equal)
        if parts and best.excess > 0:
            joint = joint_identity(equal)
            guilty[joint] = attrs.evolve(best, identity=joint)


def judge(
    crashes: Iterable[EndpointCrash],
    answered_at: Mapping[str, float],
    known_guilty: Collection[str] = (),
) -> Verdicts:
    """Return the verdicts on all identities.

    Parameters
    ==========
    answered_at : Mapping[str, float]
        Time of the last answer of identities, on the clock of the crashes.
    known_guilty : Collection[str]
        Identities that were found guilty earlier.
    """
    in_order = sorted(crashes, key=lambda crash: crash.at)
    # A known call explains its crashes to other calls only: one of its parts may be the cause.
    known_parts = {identity for identity in known_guilty if is_part(identity)}
    in_order = [crash for crash in in_order if not crash.is_explained(known_parts)]
    guilty = _find_guilty(in_order, answered_at, parts=True)
    in_order = [crash for crash in in_order if not crash.is_explained(guilty)]
    parts = collect_cases(in_order, answered_at, parts=True)
    known_calls = set(known_guilty) - known_parts
    of_calls = [crash for crash in in_order if not crash.is_explained(known_calls)]
    guilty.update(_find_guilty(of_calls, answered_at, parts=False))
    of_calls = [crash for crash in of_calls if not crash.is_explained(guilty)]
    calls = collect_cases(of_calls, answered_at, parts=False)
    suspects = {
        name: case
        for name, case in (parts | calls).items()
        if case.is_suspect and name not in guilty and name not in known_guilty
    }
    return Verdicts(guilty, suspects)
