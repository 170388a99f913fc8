"""Messages between entries and control processes, and among control processes."""

from __future__ import annotations

import math

import attrs

from mulberrygate.core.wire import message
from mulberrygate.endpoints.roster import AgedRegistration

# An entry's request is answered after this time at the latest, which shows both ends that the
# connection works.
FOLLOW_WAIT_S = 0.5


@attrs.frozen
class MoveShare:
    """Version move of a pool as entries see it: the target version and its share.

    Parameters
    ==========
    share : float
        Share of the pool's requests that may go to the target version.
    is_over : bool
        Whether the move has ended with a verdict.
    """

    pool: str
    target: str
    share: float
    is_over: bool = False


@message("sync.follow")
@attrs.frozen
class Follow:
    """Entry to control: long poll for changes; the answer is a `FollowResult`.

    Parameters
    ==========
    catalog_version : int
        Version of the catalog in force at the entry, -1 for none.
    incarnation : int
        Incarnation of the entry.
    control_incarnation, changes : int
        Incarnation of the control process and number of roster changes of the last answer.
    quarantine : int
        Number of the quarantine list that the entry has.
    wait_s : float
        Longest time in seconds for which the answer may wait for a change.
    entries_digest : int
        Digest of the list of live entries that the entry has; see `mulberrygate.sync.entry_list`.
    evacuations : int
        Number of the evacuations that the entry knows, -1 from entries of earlier releases.
    running : tuple[tuple[str, int], ...]
        Evacuated failure domains in which requests of the entry still run, and how many.
    """

    instance: str
    incarnation: int
    catalog_version: int
    control_incarnation: int
    changes: int
    quarantine: int = 0
    wait_s: float = FOLLOW_WAIT_S
    entries_digest: int = 0
    evacuations: int = -1
    running: tuple[tuple[str, int], ...] = ()


@message("sync.state")
@attrs.frozen
class FollowResult:
    """Control to entry: answer to `Follow`.

    Parameters
    ==========
    is_full : bool
        Whether ``heard`` names all endpoints and not only changed ones.
    is_current : bool
        Whether the control process hears from the majority of its group.
    is_settled : bool
        Whether the control process has run long enough to know all endpoints.
    catalog : bytes
        Compressed catalog document, empty if the entry has it.
    heard : tuple[AgedRegistration, ...]
        Endpoints that changed, all of them in the first answer of a process.
    gone : tuple[str, ...]
        Names of endpoints that were removed.
    silent : tuple[str, ...]
        Endpoints without a recent report.
    controls : tuple[str, ...]
        Instances that are control processes.
    leader : str
        Instance that leads the control group, empty if it is not known.
    entries : int
        Number of entries that follow any control process.
    entries_digest : int
        Digest of their names.
    entry_names : tuple[str, ...]
        Their names, empty if the entry has the list of this digest.
    quarantine : int
        Number of the control process's quarantine list; see `mulberrygate.control.quarantine`.
    quarantined, suspected : tuple[str, ...]
        Identities of calls that crash endpoints, and of those that may; empty if the entry has the
        list of this number.
    revision : int
        Log index of the last change of the replicated state at the control process.
    age_s : float
        Seconds since the control process had applied everything that its group had committed,
        infinite if it never had.
    evacuations : int
        Number of the evacuations at the control process, -1 from those of earlier releases; see
        `mulberrygate.control.evacuations`.
    evacuated : tuple[str, ...]
        Failure domains to whose endpoints nothing may be sent.
    evacuated_s : tuple[float, ...]
        Seconds since each of them was evacuated.
    withdrawn : tuple[tuple[str, float], ...]
        Failure domains whose evacuation was withdrawn lately, and the seconds since.
    """

    control_incarnation: int
    changes: int
    catalog_version: int
    is_full: bool = False
    is_current: bool = False
    is_settled: bool = False
    catalog: bytes = b""
    heard: tuple[AgedRegistration, ...] = ()
    gone: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    controls: tuple[str, ...] = ()
    leader: str = ""
    entries: int = 1
    entries_digest: int = 0
    entry_names: tuple[str, ...] = ()
    moves: tuple[MoveShare, ...] = ()
    quarantine: int = 0
    quarantined: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    revision: int = 0
    age_s: float = math.inf
    evacuations: int = -1
    evacuated: tuple[str, ...] = ()
    evacuated_s: tuple[float, ...] = ()
    withdrawn: tuple[tuple[str, float], ...] = ()


@message("sync.ask_standing")
@attrs.frozen
class CheckCurrent:
    """Entry to control: request to answer at once whether the process is current."""


@message("sync.standing")
@attrs.frozen
class CheckCurrentResult:
    """Control to entry: answer to `CheckCurrent`; ``is_current`` as in `FollowResult`."""

    is_current: bool


@message("sync.share")
@attrs.frozen
class PeerUpdate:
    """Control to control: reports of endpoints, and the entries that follow the sender.

    Parameters
    ==========
    heard : tuple[AgedRegistration, ...]
        New or changed registrations.
    renewed : tuple[tuple[str, int, float], ...]
        Name, incarnation and age in seconds of unchanged registrations.
    entries : tuple[str, ...]
        Entries that follow the sender.
    reads_crashes, reads_trials, reads_evidence : bool
        Whether the sender can apply the commands that count crashes, begin trials of calls, and
        that count evidence and begin trials of any identity; earlier releases can't.
    reads_evacuations : bool
        Whether the sender can apply the command that evacuates a failure domain.
    running : tuple[tuple[str, int], ...]
        Evacuated failure domains in which requests of these entries still run, and how many.
    """

    heard: tuple[AgedRegistration, ...] = ()
    renewed: tuple[tuple[str, int, float], ...] = ()
    entries: tuple[str, ...] = ()
    reads_crashes: bool = False
    reads_trials: bool = False
    reads_evidence: bool = False
    reads_evacuations: bool = False
    running: tuple[tuple[str, int], ...] = ()


@message("sync.share_result")
@attrs.frozen
class PeerUpdateResult:
    """Answer to `PeerUpdate`: names of renewed endpoints whose registration is not known."""

    unknown: tuple[str, ...] = ()


@message("sync.propose")
@attrs.frozen
class Propose:
    """Control to leader: put a command into the log."""

    command: bytes


@message("sync.proposed")
@attrs.frozen
class ProposeResult:
    """Leader to control: whether the command is committed for certain."""

    is_committed: bool


@message("sync.read_version")
@attrs.frozen
class ReadLatestCatalog:
    """Control to leader: request the newest catalog, unless it has this version."""

    catalog_version: int


@message("sync.latest")
@attrs.frozen
class LatestCatalog:
    """Control to control: the newest catalog; ``is_certain`` if a read barrier preceded it.

    Parameters
    ==========
    leader : str
        From a process that doesn't lead: the leader that it knows, empty for none.
    """

    is_certain: bool
    catalog_version: int = -1
    catalog: bytes = b""
    moves: bytes = b""
    leader: str = ""


@message("sync.ask_units")
@attrs.frozen
class AskUnits:
    """Entry to leader, or to a deputy while no leader answers: request units of an account's limit.

    Parameters
    ==========
    need : float
        Units that a waiting request needs.
    advance : float
        Further units that the entry requests in advance.
    leaderless_s : float or None
        To a deputy: seconds for which the entry has had no answer of a leader.
    """

    instance: str
    account: str
    need: float
    advance: float
    leaderless_s: float | None = None


@message("sync.units")
@attrs.frozen
class Units:
    """Leader or deputy to entry: units that may be spent; see `quota.central.GrantedUnits`.

    Parameters
    ==========
    is_leader : bool
        Whether the sender grants units at present.
    epoch : int
        Identifier of the leadership that grants them, 0 from a deputy.
    """

    is_leader: bool
    units: float = 0.0
    wait_s: float = 0.0
    share: float = 0.0
    epoch: int = 0


@message("sync.return_units")
@attrs.frozen
class ReturnUnits:
    """Entry to leader: units of requests that did not run; ``epoch`` as in `Units`."""

    account: str
    units: float
    epoch: int


@message("sync.spent_units")
@attrs.frozen
class SpentUnits:
    """Entry to a new leader: units that the entry was granted lately.

    Parameters
    ==========
    up_s : float
        Seconds since the entry started.
    spent : dict[str, tuple[tuple[float, float, int], ...]]
        Ages in seconds, units and epochs of the grants, by account.
    """

    instance: str
    up_s: float
    spent: dict[str, tuple[tuple[float, float, int], ...]]


@message("sync.spent_units_result")
@attrs.frozen
class SpentUnitsResult:
    """Answer to `SpentUnits`: the epoch of the leadership that has taken it over, 0 for none."""

    epoch: int = 0


@message("sync.evidence")
@attrs.frozen
class VersionEvidence:
    """Entry to leader: evidence from answers of a pool during a move since the last report.

    Parameters
    ==========
    number : int
        Increases with each report of one incarnation of the entry.
    target : str
        Version that the pool moves to.
    cells : tuple[tuple[str, bool, float, float, float, float], ...]
        Route, whether the answers are of the target version, and the fields of
        `mulberrygate.core.sums.RequestSums`.
    """

    instance: str
    incarnation: int
    number: int
    pool: str
    target: str = ""
    cells: tuple[tuple[str, bool, float, float, float, float], ...] = ()


@message("sync.crash")
@attrs.frozen
class Crash:
    """A call that had yielded nothing ended with the loss of its endpoint.

    Parameters
    ==========
    call : str
        Fingerprint of the call.
    parts : tuple[str, ...]
        Identities of the shared parts of its prompt.
    has_head : bool
        Whether the head of an answer had arrived.
    age_s : float
        Seconds from the crash to this message.
    ran_s : float
        Seconds from the send to the crash.
    """

    call: str
    endpoint: str
    incarnation: int
    parts: tuple[str, ...] = ()
    has_head: bool = False
    age_s: float = 0.0
    ran_s: float = math.inf


@attrs.frozen
class Answered:
    """An endpoint has answered a call with a suspected identity, ``age_s`` seconds ago."""

    identity: str
    age_s: float


@message("sync.crash_report")
@attrs.frozen
class CrashReport:
    """Entry to control: crashes, and answers to what is suspected.

    Parameters
    ==========
    cleared : tuple[str, ...]
        Fingerprints of answered calls, from entries of earlier releases.
    """

    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()
    answers: tuple[Answered, ...] = ()


@message("sync.crash_report_result")
@attrs.frozen
class CrashReportResult:
    """Answer to `CrashReport`: whether it is in the control log for certain.

    Parameters
    ==========
    quarantine : int
        Number of the quarantine list that takes the report into account, 0 if it is not known.
    """

    is_committed: bool
    quarantine: int = 0


@message("sync.trial_request")
@attrs.frozen
class TrialRequest:
    """Entry to leader: request to send a call with listed identities once.

    Parameters
    ==========
    call : str
        Fingerprint of the call.
    holder : str
        Identifier of this request.
    parts : tuple[str, ...]
        Identities of the shared parts of its prompt.
    """

    call: str
    holder: str
    parts: tuple[str, ...] = ()


@message("sync.trial_result")
@attrs.frozen
class TrialResult:
    """Leader to entry: answer to `TrialRequest`.

    Parameters
    ==========
    wait_s : float
        Seconds until a trial is due, infinite if none is left; 0 if one is granted.
    """

    is_granted: bool
    wait_s: float = 0.0


@message("sync.explain_placement")
@attrs.frozen
class ExplainPlacement:
    """Control to entry: where would a caller's request go now? Nothing is sent or spent.

    Parameters
    ==========
    request : str
        Identifier of the caller's attempt, by which the pool of a split route is chosen.
    account : str
        Name of the client account, empty for none.
    parts : tuple[str, ...]
        Identifiers of the shared parts of the prompt, in order.
    timeout_s : float
        Seconds for which the caller waits, 0 if it names none.
    """

    host: str
    path: str
    request: str = ""
    account: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[str, ...] = ()
    timeout_s: float = 0.0


@message("sync.explained_placement")
@attrs.frozen
class ExplainedPlacement:
    """Entry to control: answer to an `ExplainPlacement`, a JSON object for operators."""

    text: str
