"""State and duties of a control process: the catalog, the endpoint roster and account limits."""

from __future__ import annotations

import asyncio
import math
import os
import random
import zlib

from mulberrygate.agreement import AgreementSettings
from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.outcomes import VoterStopped
from mulberrygate.agreement.service import open_service
from mulberrygate.catalog import Catalog
from mulberrygate.control.access import LogAccess
from mulberrygate.control.catalogs import (
    CatalogStateMachine,
    PutCatalog,
)
from mulberrygate.control.quarantine import QuarantinedIdentity
from mulberrygate.core.boot_time import seconds_since_boot
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.crash_committer import CRASH_EXPIRY_INTERVAL_S, CrashCommitter
from mulberrygate.daemon.endpoint_reports import EndpointReports
from mulberrygate.daemon.evacuation_orders import EvacuationOrders
from mulberrygate.daemon.log_clock import LogClock
from mulberrygate.daemon.placement import Placement, PoolOwners
from mulberrygate.daemon.roster_sharing import RosterSharing
from mulberrygate.daemon.site_moves import SiteMoves
from mulberrygate.daemon.site_peers import SitePeers
from mulberrygate.daemon.trial_granter import TrialGranter
from mulberrygate.endpoints.roster import Roster
from mulberrygate.observe.jsonlines import JsonLines, rounded_age
from mulberrygate.observe.metrics import Metrics
from mulberrygate.quota import CentralLimits, Limit
from mulberrygate.sync.entry_list import EntryList
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.messages import (
    FOLLOW_WAIT_S,
    AskUnits,
    CheckCurrent,
    CheckCurrentResult,
    CrashReport,
    ExplainedPlacement,
    ExplainPlacement,
    Follow,
    FollowResult,
    LatestCatalog,
    PeerUpdate,
    PeerUpdateResult,
    Propose,
    ReadLatestCatalog,
    ReturnUnits,
    SpentUnits,
    SpentUnitsResult,
    TrialRequest,
    Units,
    VersionEvidence,
)

PEER_UPDATE_INTERVAL_S = 0.4
# A message between group members takes some hundredths of a second, a sync of a slow disk a tenth.
ELECTION_TIMEOUT_S = 0.45
HEARTBEAT_S = 0.12
# A voter that is gone for good has to be replaced, after two elections at worst, before the next
# loss is to be expected: 4 s after its successor has started.
LOST_AFTER_S = 1.5
PERIODIC_TASKS_INTERVAL_S = 0.1
VOTER_CHECK_INTERVAL_S = 1.0
POOLS_LOG_INTERVAL_S = 1.0
# Endpoints send a heartbeat about every second, which may be delayed by seconds.
SILENT_AFTER_S = 4.5
FORGET_AFTER_S = 20.0
# Within this time after its start a process learns all endpoints that its peers know.
ROSTER_FILL_S = 6.0
# A process that has lacked committed state for this time may give entries outdated answers.
BEHIND_AFTER_S = 1.5
# Size of the random identifier of a leadership.
EPOCH_BITS = 48
# Added to the wait of an answer, so that the process counts as behind when the answer is made.
BEHIND_MARGIN_S = 0.02
# Longest wait for an entry's explanation, which may take another call to the owner of a pool.
EXPLAIN_TIMEOUT_S = 2.0


class Controller:
    """Control process: registers endpoints, agrees on the catalog and informs entries.

    Explanation
    ===========
    The catalog, leaving endpoints, version moves, crash reports and evacuations are replicated by a
    Raft-like group. Heartbeats are not; control processes share them with each other. Entries
    follow any control process by long polling.

    Parameters
    ==========
    site : Site
        Settings of the process.
    lines : JsonLines
        Structured log.
    decode : Callable[[bytes], Catalog]
        Decoder of catalog documents.
    process_started_at : float or None
        As ``started_at`` of `mulberrygate.daemon.control_node.ControlNode`.

    Attributes
    ==========
    state_changed : asyncio.Event
        Set and replaced by a new event when followers have something new to fetch.
    entries : EntryList
        Entries that follow this or another control process.
    reports : EndpointReports
        Takes what endpoints tell of themselves.
    limits : CentralLimits or None
        Limits of the client accounts; only at the leader.
    """

    def __init__(
        self,
        site,
        lines: JsonLines,
        decode,
        process_started_at: float | None = None,
        seed: int | None = None,
    ):
        self.site = site
        self.process_started_at = process_started_at
        self.lines = lines
        self.decode = decode
        self.rng = random.Random(seed)
        self.timers = TimerService(self._on_timer_error)
        self.peers = SitePeers(site)
        self.incarnation = self.peers.incarnation
        self.machine = CatalogStateMachine(self._on_state_change)
        self.roster = Roster()
        self.log = LogAccess(
            site.instance, self.machine, self.peers.client, self.timers, self._list_contacts
        )
        self.seeds = site.seeds
        self.state_changed = asyncio.Event()
        self.started_at = 0.0
        self.catalog: Catalog | None = None
        self.entries = EntryList()
        self.limits: CentralLimits | None = None
        self.moves = SiteMoves(
            site,
            self.incarnation,
            lambda: self.machine,
            self.log,
            EvidenceReports(self.roster, self.timers.now),
            self.timers,
            lines,
        )
        self.sharing = RosterSharing(
            self.roster,
            self.peers.client,
            self.timers,
            self._other_controls,
            lambda: self.entries.own(self.timers.now()),
            lambda: self.evacuations.running.own(self.timers.now()),
        )
        self.reports = EndpointReports(
            self.roster,
            self.sharing,
            lambda: self.machine,
            self.log.commit,
            lambda: self.is_current,
            self._wake_followers,
            self.timers,
            lines,
        )
        self.placement: Placement | None = None
        self.log_clock = LogClock(
            lambda: max(self.machine.quarantine.clock, self.machine.evacuations.clock)
        )
        self.crash_committer = CrashCommitter(
            lambda: self.machine, self.log.commit, self.log_clock, self.timers, lines
        )
        self.trial_granter = TrialGranter(
            lambda: self.machine,
            lambda: self.is_leader,
            self.log.commit,
            self.log_clock,
            self.timers,
            lines,
        )
        self.evacuations = EvacuationOrders(
            lambda: self.machine,
            self.roster,
            lambda: set(site.regions),
            lambda: self.is_roster_filled,
            self.log.commit,
            self.log_clock,
            self.timers,
            lines,
        )
        self.is_stopping = False
        self.is_catalog_pending = False
        self.is_behind = True

    def _on_timer_error(self, name: str, error: BaseException) -> None:
        self.lines.log("timer.failed", timer=name, error=repr(error))

    async def start(self) -> None:
        """Open the voter, start the peer server and schedule the periodic tasks."""
        self.started_at = self.timers.now()
        pool_owners = PoolOwners(
            self.site.instance,
            lambda: self.leader,
            lambda: list(self.entries.all(self.timers.now()).names),
        )
        self.placement = Placement(
            self.site,
            self.peers.client,
            self.roster,
            self.timers,
            Metrics(),
            pool_owners,
            self.moves.evidence,
        )
        on = self.peers.client.on
        on(Follow, self._on_follow)
        on(CheckCurrent, self._on_check_current)
        on(PeerUpdate, self._on_peer_update)
        on(Propose, self.log.on_propose)
        on(ReadLatestCatalog, self.log.on_read_latest)
        on(AskUnits, self._on_ask_units)
        on(ReturnUnits, self._on_return_units)
        on(SpentUnits, self._on_spent_units)
        on(VersionEvidence, self.moves.on_evidence)
        on(CrashReport, self.crash_committer.on_report)
        on(TrialRequest, self.trial_granter.on_request)
        await self._open_voter(self.process_started_at)
        await self.peers.start()
        self.timers.every(PERIODIC_TASKS_INTERVAL_S, self._run_periodic_tasks, "duties")
        self.timers.every(VOTER_CHECK_INTERVAL_S, self._reopen_voter, "voter")
        self.timers.every(CRASH_EXPIRY_INTERVAL_S, self._expire_crashes, "crashes")
        self.timers.every(PEER_UPDATE_INTERVAL_S, self.sharing.share_renewals, "share")
        self.timers.every(
            POOLS_LOG_INTERVAL_S, lambda: self.placement.log_pools(self.lines), "pools"
        )

    async def _open_voter(self, silent_since: float | None = None) -> None:
        site = self.site
        settings = AgreementSettings(
            election_timeout_s=ELECTION_TIMEOUT_S,
            heartbeat_s=HEARTBEAT_S,
            lost_after_s=LOST_AFTER_S,
            wanted_voters=site.voters,
            may_form=site.is_first_start,
        )
        seeds = {name: site.address_of(name) for name in site.seeds}
        service = await open_service(
            os.path.join(site.data_folder, "voter"),
            site.instance,
            seeds,
            self.peers.client,
            self.timers,
            self.machine,
            self.rng,
            settings,
            site.peer_address,
            silent_since,
        )
        if isinstance(service, VoterStopped):
            self.lines.log("voter.stopped", reason=service.reason)
            return
        self.log.service = service
        service.add_contacts(self.seeds)
        service.on_role.append(self._on_role)

    async def _reopen_voter(self) -> None:
        """Reopen the voter after a disk failure, as a restart of the process would.

        Explanation
        ===========
        A full disk stops the voter but keeps its data, so the voter can go on once the disk accepts
        writes again. Without it the group could not survive the next loss of a voter.
        """
        service = self.log.service
        if self.is_stopping or (service is not None and not service.failure):
            return
        self.log.service = None
        if service is not None:
            await service.close()
        self.machine = CatalogStateMachine(self._on_state_change)
        self.log.machine = self.machine
        await self._open_voter()
        self.lines.log("voter.reopened", is_open=self.log.service is not None)

    async def stop(self) -> None:
        """Wake waiting entries, hand over leadership and stop."""
        self.is_stopping = True
        self._wake_followers()
        if self.log.service is not None:
            await self.log.service.close()
        await self.timers.close()
        await self.peers.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self.seeds = seeds
        if self.log.service is not None:
            self.log.service.add_contacts(seeds)

    @property
    def is_leader(self) -> bool:
        """Whether this process leads the control group, under a valid lease."""
        return self.log.is_leader

    @property
    def leader(self) -> str:
        """Instance that leads, empty if it is not known."""
        return self.log.leader

    @property
    def is_current(self) -> bool:
        """Whether this process recently held all committed state.

        Explanation
        ===========
        Receiving the leader's heartbeats is not enough: they also reach a process whose disk hangs,
        or that still lacks a part of the log.
        """
        return not self.is_stopping and self.state_age_s < BEHIND_AFTER_S

    @property
    def state_age_s(self) -> float:
        """Seconds since this process last held everything that its group had committed.

        Explanation
        ===========
        Infinite without a working voter.
        """
        service = self.log.service
        if service is None or service.failure:
            return math.inf
        return max(0.0, self.timers.now() - service.caught_up_at)

    @property
    def is_roster_filled(self) -> bool:
        """Whether this process has run long enough for its roster to be complete."""
        return self.timers.now() - self.started_at >= ROSTER_FILL_S

    def list_controls(self) -> tuple[str, ...]:
        """Return the control processes: this one with the group's members, or with the seeds."""
        names = dict.fromkeys([self.site.instance])
        if self.log.service is not None:
            names.update(dict.fromkeys(m.name for m in self.log.service.node.members.members))
        if len(names) == 1:
            names.update(dict.fromkeys(self.seeds))
        return tuple(names)

    def _other_controls(self) -> list[str]:
        return [name for name in self.list_controls() if name != self.site.instance]

    def _list_contacts(self) -> set[str]:
        """Return all instances that may know the leader: also seeds that are no members."""
        service = self.log.service
        contacts = service.node.contacts if service is not None else ()
        return {*self._other_controls(), *self.seeds, *contacts} - {self.site.instance}

    def _wake_followers(self) -> None:
        """Wake the pending requests of entries that wait for a change."""
        changed, self.state_changed = self.state_changed, asyncio.Event()
        changed.set()

    def _on_state_change(self) -> None:
        """Apply a change of the replicated state to this process."""
        machine = self.machine
        for name, incarnation in machine.leaving.items():
            self.roster.mark_leaving(name, incarnation)
        self.moves.apply_moves()
        self.crash_committer.log_quarantine_changes()
        self._apply_evacuations()
        if not self.is_catalog_pending:
            # A restart applies hundreds of catalog versions at once; only the last is decoded.
            self.is_catalog_pending = True
            self.timers.after(0.0, self._apply_catalog, "catalog")
        self._wake_followers()

    def _apply_evacuations(self) -> None:
        """Keep the schedulers of this process from granting endpoints that are evacuated."""
        self.evacuations.log_changes()
        if self.evacuations.apply_to(self.placement.directory.evacuations):
            self.placement.refresh()

    def _apply_catalog(self) -> None:
        """Decode the newest catalog and apply it to the limits and the placement."""
        self.is_catalog_pending = False
        machine = self.machine
        if machine.document and (self.catalog is None or machine.version > self.catalog.version):
            self.catalog = self.decode(zlib.decompress(machine.document))
            self.lines.log("catalog.in_force", version=machine.version)
            self._set_limits()
            self.placement.set_pools({pool.name: pool for pool in self.catalog.pools})

    def _on_role(self, role: Role, term: int) -> None:
        self.lines.log("control.role", role=role.value, term=term)
        if role is Role.LEADER:
            self.limits = CentralLimits(self.rng.getrandbits(EPOCH_BITS) + 1)
            self._set_limits()
            self.moves.reset()
        else:
            self.limits = None
        self._wake_followers()

    def _set_limits(self) -> None:
        if self.limits is not None and self.catalog is not None:
            accounts = self.catalog.accounts
            limits = {a.name: Limit(a.rate, a.burst) for a in accounts if a.rate > 0}
            self.limits.set_limits(limits, seconds_since_boot())

    def _log_lag_change(self) -> None:
        """Log when this process falls behind its group, and when it has caught up."""
        age_s = self.state_age_s
        is_behind = age_s > BEHIND_AFTER_S
        if is_behind is not self.is_behind:
            self.is_behind = is_behind
            event = "control.behind" if is_behind else "control.caught_up"
            self.lines.log(event, version=self.machine.version, age_s=rounded_age(age_s))

    async def put_catalog(self, catalog: Catalog, body: bytes) -> bool:
        """Commit a catalog; return whether it, or a higher version, is certainly in force.

        Parameters
        ==========
        body : bytes
            The catalog's document, uncompressed.
        """
        if catalog.version <= self.machine.version:
            return True
        document = zlib.compress(body, 1)
        is_committed = await self.log.commit(PutCatalog(catalog.version, document))
        self.lines.log("catalog.put", version=catalog.version, is_committed=is_committed)
        return is_committed

    async def explain_placement(
        self, entry: str, question: ExplainPlacement
    ) -> tuple[str, str | None]:
        """Ask an entry where a request would go now.

        Parameters
        ==========
        entry : str
            Instance of the entry, empty for any one.

        Returns
        =======
        tuple[str, str or None]
            Instance that was asked, empty if it isn't one of the live entries, and its answer, a
            JSON object; ``None`` if there is none.
        """
        names = self.entries.all(self.timers.now()).names
        entry = entry or next(iter(names), "")
        if entry not in names:
            return "", None
        answer = await self.peers.client.call(entry, question, EXPLAIN_TIMEOUT_S)
        return entry, answer.text if isinstance(answer, ExplainedPlacement) else None

    async def read_latest(self) -> LatestCatalog:
        """Return the newest catalog and moves, and whether they are certain to be the newest."""
        started_at = self.timers.now()
        latest = await self.log.read_latest()
        if not latest.is_certain:
            self.lines.log(
                "catalog.unread",
                reason=self.log.read_failure,
                waited_s=round(self.timers.now() - started_at, 3),
                **self._describe_voter(),
            )
        return latest

    def _describe_voter(self) -> dict[str, object]:
        """Return the state of this process's voter, for the log."""
        service = self.log.service
        if service is None:
            return {"role": "none"}
        status = service.status()
        return {
            "role": status.role,
            "term": status.term,
            "leader": status.leader,
            "disk": status.disk,
            "commit": status.commit,
            "voters": [f"{m.name}/{m.disk}" for m in status.members if m.is_voter],
        }

    def _on_peer_update(self, message: PeerUpdate, sender: str) -> PeerUpdateResult:
        """Merge an update into the roster; return the renewed endpoints that are unknown here."""
        now = self.timers.now()
        self.entries.record_update(sender, message.entries, now)
        if not message.reads_evidence:
            self.crash_committer.gate.record_earlier_release(now)
            self.trial_granter.gate.record_earlier_release(now)
        self.evacuations.running.record_update(sender, message.running, now)
        if not message.reads_evacuations:
            self.evacuations.gate.record_earlier_release(now)
        is_change, result = self.sharing.merge(message, now)
        if is_change:
            self._wake_followers()
        return result

    async def _on_follow(self, message: Follow, _sender: str) -> FollowResult:
        """Answer an entry once there are changes for it, or at the end of the wait (long poll)."""
        if self.entries.record_poll(message.instance, self.timers.now()):
            self.lines.log("entry.follows", entry=message.instance)
        self.evacuations.running.record_poll(message.instance, message.running, self.timers.now())
        if not self._has_changes_for(message):
            try:
                await asyncio.wait_for(self.state_changed.wait(), self._follow_wait_s(message))
            except TimeoutError:
                pass
        return self._make_follow_result(message)

    def _on_check_current(self, _message: CheckCurrent, _sender: str) -> CheckCurrentResult:
        return CheckCurrentResult(self.is_current)

    def _follow_wait_s(self, message: Follow) -> float:
        """Return how long an answer may wait for a change, in seconds.

        Explanation
        ===========
        The answer is sent when this process falls behind its group, so that the entry learns it.
        """
        until_behind_s = max(0.0, BEHIND_AFTER_S - self.state_age_s)
        return min(FOLLOW_WAIT_S, message.wait_s, until_behind_s + BEHIND_MARGIN_S)

    def _has_changes_for(self, message: Follow) -> bool:
        return (
            message.control_incarnation != self.incarnation
            or message.catalog_version < self.machine.version
            or message.changes < self.roster.changes
            or message.quarantine < self.machine.quarantine.number
            or 0 <= message.evacuations < self.machine.evacuations.number
        )

    def _make_follow_result(self, message: Follow) -> FollowResult:
        """Return what has changed since the state that an entry has."""
        roster, machine = self.roster, self.machine
        is_full = message.control_incarnation != self.incarnation or message.changes < 0
        names = list(roster.rows) if is_full else roster.changed_since(message.changes)
        limit = self.timers.now() - SILENT_AFTER_S
        quarantine = machine.quarantine
        is_quarantine_due = message.quarantine != quarantine.number
        entries = self.entries.all(self.timers.now())
        evacuations = self.evacuations.ages()
        return FollowResult(
            control_incarnation=self.incarnation,
            changes=roster.changes,
            is_full=is_full,
            is_current=self.is_current,
            is_settled=self.is_roster_filled,
            catalog_version=machine.version,
            catalog=machine.document if machine.version > message.catalog_version else b"",
            heard=tuple(
                self.sharing.aged_registration(name) for name in names if name in roster.rows
            ),
            gone=tuple(name for name in names if name not in roster.rows),
            silent=tuple(n for n, row in roster.rows.items() if row.heard_at < limit),
            controls=self.list_controls(),
            leader=self.leader,
            entries=max(1, len(entries.names)),
            entries_digest=entries.digest,
            entry_names=entries.names if message.entries_digest != entries.digest else (),
            moves=self.moves.states(),
            revision=machine.revision,
            quarantine=quarantine.number,
            quarantined=quarantine.quarantined if is_quarantine_due else (),
            suspected=quarantine.suspects if is_quarantine_due else (),
            age_s=self.state_age_s,
            evacuations=evacuations.number,
            evacuated=evacuations.evacuated,
            evacuated_s=evacuations.evacuated_s,
            withdrawn=evacuations.withdrawn,
        )

    def _on_ask_units(self, message: AskUnits, _sender: str) -> Units:
        """Grant units of an account's limit to an entry, if this process leads."""
        if self.limits is None or not self.is_leader:
            return Units(False)
        granted = self.limits.grant(
            message.instance, message.account, message.need, message.advance, seconds_since_boot()
        )
        epoch = self.limits.epoch
        return Units(True, granted.units, granted.wait_s, granted.share, epoch)

    def _on_return_units(self, message: ReturnUnits, _sender: str) -> None:
        """Take back units of requests that did not run, if this leadership granted them."""
        if self.limits is not None and message.epoch == self.limits.epoch:
            self.limits.put_back(message.account, message.units, seconds_since_boot())

    def _on_spent_units(self, message: SpentUnits, _sender: str) -> SpentUnitsResult:
        """Take over what an entry was granted by earlier leaders, if this process leads."""
        if self.limits is None or not self.is_leader:
            return SpentUnitsResult()
        spent = {name: list(items) for name, items in message.spent.items()}
        entries = len(self.entries.all(self.timers.now()).names)
        self.limits.record_spent(
            message.instance, spent, message.up_s, entries, seconds_since_boot()
        )
        return SpentUnitsResult(self.limits.epoch)

    async def _expire_crashes(self) -> None:
        if self.is_leader:
            await self.crash_committer.expire_records()

    def list_quarantined(self) -> list[QuarantinedIdentity]:
        """Return the quarantined calls and parts as known to this process."""
        return self.machine.quarantine.list_quarantined(self.log_clock.now())

    async def release_identity(self, identity: str) -> bool:
        """Release a quarantined call or part for an operator; return whether that is committed."""
        return await self.crash_committer.release(identity)

    async def has_pool(self, pool: str) -> bool | None:
        """Return whether the newest catalog has a pool, ``None`` if that is not certain."""
        if self.catalog is not None and any(p.name == pool for p in self.catalog.pools):
            return True
        # The catalog of this process may be outdated.
        latest = await self.read_latest()
        if not latest.is_certain:
            return None
        if not latest.catalog:
            return False
        catalog = self.decode(zlib.decompress(latest.catalog))
        return any(p.name == pool for p in catalog.pools)

    async def begin_move(self, pool: str, target: str, duration_s: float) -> bool:
        """Begin a version move; return whether it is certainly committed."""
        return await self.moves.begin(pool, target, duration_s)

    def _run_periodic_tasks(self) -> None:
        """Expire silent endpoints and entries, evaluate version moves and flush the log."""
        now = self.timers.now()
        if self.is_roster_filled:
            limit = now - SILENT_AFTER_S
            rows = self.roster.rows.items()
            self.placement.directory.silent_endpoints = frozenset(
                n for n, r in rows if r.heard_at < limit
            )
            for name in self.roster.forget_silent(now, FORGET_AFTER_S):
                self.lines.log("endpoint.forgotten", endpoint=name)
                self._wake_followers()
        self._log_lag_change()
        for name in self.entries.remove_lost(now):
            self.lines.log("entry.lost", entry=name)
        if self.is_leader:
            self.moves.evaluate_all()
        self.lines.flush()
