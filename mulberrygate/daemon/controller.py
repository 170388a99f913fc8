"""Control process of a deployment: catalogs, roster of endpoints and shares of limits."""

from __future__ import annotations

import asyncio
import math
import os
import random
import time
import zlib

import attrs

from mulberrygate.agreement import AgreementSettings
from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.outcomes import VoterStopped
from mulberrygate.agreement.service import open_service
from mulberrygate.catalog import Catalog
from mulberrygate.control.access import LogAccess
from mulberrygate.control.catalogs import (
    CatalogStateMachine,
    PutCatalog,
    PutLeaving,
)
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.crash_log import FORGET_CRASHES_S, CrashLog
from mulberrygate.daemon.placement import Placement, SiteView
from mulberrygate.daemon.site_moves import SiteMoves
from mulberrygate.daemon.site_peers import SitePeers
from mulberrygate.endpoints.roster import Heard, Registration, Roster
from mulberrygate.observe.jsonlines import JsonLines, rounded_age
from mulberrygate.observe.metrics import Metrics
from mulberrygate.quota import CentralLimits, Limit
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.messages import (
    FOLLOW_WAIT_S,
    AskStanding,
    AskUnits,
    CrashReport,
    Follow,
    Latest,
    Propose,
    ReadLatest,
    Share,
    ShareResult,
    Standing,
    State,
    Units,
    VersionEvidence,
)

SHARE_S = 0.4
SHARE_TIMEOUT_S = 1.0
# The group's hops take some hundredths of a second, and a slow disk's sync a tenth.
ELECTION_TIMEOUT_S = 0.45
HEARTBEAT_S = 0.12
DUTY_S = 0.1
VOTER_CHECK_S = 1.0
POOLS_LOG_S = 1.0
# Endpoints report every second or so, and a report may be late by seconds.
SILENT_S = 4.5
FORGET_S = 20.0
# After this time the roster of a process that has just started is as complete as others'.
SETTLED_S = 6.0
# A process that lacked something for this time may tell entries less than others would.
BEHIND_S = 1.5
BEHIND_MARGIN_S = 0.02
ENTRY_GONE_S = 6.0


def boot_time() -> float:
    """Return seconds since the instance started, counting suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Controller:
    """All parts of a control process.

    Parameters
    ==========
    site : Site
        Settings of the process.
    lines : JsonLines
        Structured log.
    decode : Callable[[bytes], Catalog]
        Decoder of documents.
    process_started_at : float or None
        As ``started_at`` of `mulberrygate.daemon.control_node.ControlNode`.
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
        self.machine = CatalogStateMachine(self._on_machine)
        self.roster = Roster()
        self.log = LogAccess(site.instance, self.machine, self.peers.client, self.timers)
        self.seeds = site.seeds
        self.news = asyncio.Event()
        self.started_at = 0.0
        self.catalog: Catalog | None = None
        self.entries: dict[str, float] = {}
        self.remote_entries: dict[str, tuple[float, tuple[str, ...]]] = {}
        self.unshared: set[str] = set()
        self.unshared_renewals: set[str] = set()
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
        self.placement: Placement | None = None
        self.crash_log = CrashLog(lambda: self.machine, self.log.commit, self.timers, lines)
        self.is_stopping = False
        self.is_catalog_due = False
        self.is_behind = True

    def _on_timer_error(self, name: str, error: BaseException) -> None:
        self.lines.log("timer.failed", timer=name, error=repr(error))

    # Start and stop

    async def start(self) -> None:
        """Start the peer server and the voter."""
        self.started_at = self.timers.now()
        view = SiteView(self.site.instance, lambda: self.leader, self._list_entries)
        self.placement = Placement(
            self.site,
            self.peers.client,
            self.roster,
            self.timers,
            Metrics(),
            view,
            self.moves.evidence,
        )
        on = self.peers.client.on
        on(Follow, self._on_follow)
        on(AskStanding, self._on_ask_standing)
        on(Share, self._on_share)
        on(Propose, self.log.on_propose)
        on(ReadLatest, self.log.on_read_latest)
        on(AskUnits, self._on_ask_units)
        on(VersionEvidence, self.moves.on_evidence)
        on(CrashReport, self.crash_log.on_report)
        await self._open_voter(self.process_started_at)
        await self.peers.start()
        self.timers.every(DUTY_S, self._do_duties, "duties")
        self.timers.every(VOTER_CHECK_S, self._reopen_voter, "voter")
        self.timers.every(FORGET_CRASHES_S, self._forget_crashes, "crashes")
        self.timers.every(SHARE_S, self._share_renewals, "share")
        self.timers.every(POOLS_LOG_S, lambda: self.placement.log_pools(self.lines), "pools")

    async def _open_voter(self, silent_since: float | None = None) -> None:
        site = self.site
        settings = AgreementSettings(
            election_timeout_s=ELECTION_TIMEOUT_S,
            heartbeat_s=HEARTBEAT_S,
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
        service.on_role.append(self._on_role)

    async def _reopen_voter(self) -> None:
        """Start a voter again whose disk failed, as a restart of the process would.

        Explanation
        ===========
        A full disk stops the voter. It is the same disk when it takes writes again, and without
        this voter the group would not bear the next loss.
        """
        service = self.log.service
        if self.is_stopping or (service is not None and not service.failure):
            return
        self.log.service = None
        if service is not None:
            await service.close()
        self.machine = CatalogStateMachine(self._on_machine)
        self.log.machine = self.machine
        await self._open_voter()
        self.lines.log("voter.reopened", is_open=self.log.service is not None)

    async def stop(self) -> None:
        """Hand over leadership and stop."""
        self.is_stopping = True
        self._announce()
        if self.log.service is not None:
            await self.log.service.close()
        await self.timers.close()
        await self.peers.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self.seeds = seeds

    # Belief

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
        """Whether this process held everything that is committed until just now.

        Explanation
        ===========
        Heartbeats alone don't tell: they also reach a process whose disk hangs, or that still
        lacks a part of the log.
        """
        return not self.is_stopping and self.age_s < BEHIND_S

    @property
    def age_s(self) -> float:
        """Seconds since this process held everything that its group had committed."""
        service = self.log.service
        if service is None or service.failure:
            return math.inf
        return max(0.0, self.timers.now() - service.caught_up_at)

    @property
    def is_settled(self) -> bool:
        """Whether the roster has had time to fill."""
        return self.timers.now() - self.started_at >= SETTLED_S

    def controls(self) -> tuple[str, ...]:
        """Return the instances that serve control, as far as known."""
        names = dict.fromkeys([self.site.instance])
        if self.log.service is not None:
            names.update(dict.fromkeys(m.name for m in self.log.service.node.members.members))
        if len(names) == 1:
            names.update(dict.fromkeys(self.seeds))
        return tuple(names)

    def _others(self) -> list[str]:
        return [name for name in self.controls() if name != self.site.instance]

    def _announce(self) -> None:
        """Wake the entries that wait for news."""
        news, self.news = self.news, asyncio.Event()
        news.set()

    def _on_machine(self) -> None:
        """Follow a change of the replicated state."""
        machine = self.machine
        for name, incarnation in machine.leaving.items():
            self.roster.leave(name, incarnation)
        self.moves.follow()
        self.crash_log.follow()
        if not self.is_catalog_due:
            # After a restart hundreds of versions are applied at once, of which only the last
            # one has to be decoded.
            self.is_catalog_due = True
            self.timers.after(0.0, self._take_catalog, "catalog")
        self._announce()

    def _take_catalog(self) -> None:
        """Decode the newest catalog for the parts of this process that use it."""
        self.is_catalog_due = False
        machine = self.machine
        if machine.document and (self.catalog is None or machine.version > self.catalog.version):
            self.catalog = self.decode(zlib.decompress(machine.document))
            self.lines.log("catalog.in_force", version=machine.version)
            self._set_limits()
            self.placement.set_pools({pool.name: pool for pool in self.catalog.pools})

    def _on_role(self, role: Role, term: int) -> None:
        self.lines.log("control.role", role=role.value, term=term)
        if role is Role.LEADER:
            self.limits = CentralLimits()
            self._set_limits()
            self.moves.restart()
        else:
            self.limits = None
        self._announce()

    def _set_limits(self) -> None:
        if self.limits is not None and self.catalog is not None:
            accounts = self.catalog.accounts
            limits = {a.name: Limit(a.rate, a.burst) for a in accounts if a.rate > 0}
            self.limits.set_limits(limits, boot_time())

    def _note_age(self) -> None:
        """Log when this process falls behind its group, and when it has caught up."""
        age_s = self.age_s
        is_behind = age_s > BEHIND_S
        if is_behind is not self.is_behind:
            self.is_behind = is_behind
            event = "control.behind" if is_behind else "control.caught_up"
            self.lines.log(event, version=self.machine.version, age_s=rounded_age(age_s))

    # Commands and reads

    async def put_catalog(self, catalog: Catalog, body: bytes) -> bool:
        """Put a document in force; return whether it, or a higher version, is for certain."""
        if catalog.version <= self.machine.version:
            return True
        document = zlib.compress(body, 1)
        is_committed = await self.log.commit(PutCatalog(catalog.version, document))
        self.lines.log("catalog.put", version=catalog.version, is_committed=is_committed)
        return is_committed

    async def read_latest(self) -> Latest:
        """Return the newest catalog and moves, if this process can be certain of them."""
        return await self.log.read_latest()

    # Endpoints

    async def hear(self, registration: Registration) -> bool:
        """Take an endpoint's report; return whether it may be acknowledged."""
        name = registration.endpoint
        is_change = self.roster.hear(registration, self.timers.now())
        if self.machine.leaving.get(name, -1) >= registration.incarnation:
            self.roster.leave(name, registration.incarnation)
        if is_change:
            self.lines.log(
                "endpoint.heard",
                endpoint=name,
                pool=registration.pool,
                address=registration.address,
                is_leaving=registration.is_leaving,
                sequence=registration.sequence,
            )
            self.unshared.add(name)
            self._share_changes()
            self._announce()
        self.unshared_renewals.add(name)
        if registration.is_leaving:
            return await self._commit_leaving(name, registration.incarnation)
        return self.is_current

    async def leave(self, name: str) -> bool:
        """Take note that an endpoint ends; return whether that may be acknowledged."""
        row = self.roster.rows.get(name)
        if row is None:
            return self.is_current
        incarnation = row.registration.incarnation
        if self.roster.end(name, incarnation):
            self.lines.log("endpoint.left", endpoint=name)
            self._announce()
        return await self._commit_leaving(name, incarnation)

    async def _commit_leaving(self, name: str, incarnation: int) -> bool:
        if self.machine.leaving.get(name, -1) >= incarnation:
            return True
        return await self.log.commit(PutLeaving(name, incarnation))

    def _heard(self, name: str) -> Heard:
        row = self.roster.rows[name]
        registration = attrs.evolve(row.registration, is_leaving=row.is_leaving)
        return Heard(registration, max(0.0, self.timers.now() - row.heard_at))

    def _share(self, **news: tuple) -> Share:
        return Share(entries=self._own_entries(), reads_crashes=True, **news)

    def _share_changes(self) -> None:
        """Tell the other control processes at once about new and changed endpoints."""
        names, self.unshared = self.unshared, set()
        heard = tuple(self._heard(name) for name in names if name in self.roster.rows)
        if heard:
            for other in self._others():
                self.peers.client.send(other, self._share(heard=heard))

    def _share_renewals(self) -> None:
        """Tell the other control processes which endpoints were heard here."""
        names, self.unshared_renewals = self.unshared_renewals, set()
        now = self.timers.now()
        renewed = tuple(
            (name, row.registration.incarnation, round(now - row.heard_at, 3))
            for name in names
            if (row := self.roster.rows.get(name)) is not None
        )
        share = self._share(renewed=renewed)
        for other in self._others():
            self.timers.spawn(self._send_renewals(other, share))

    async def _send_renewals(self, other: str, share: Share) -> None:
        answer = await self.peers.client.call(other, share, SHARE_TIMEOUT_S)
        if isinstance(answer, ShareResult) and answer.unknown:
            heard = tuple(self._heard(n) for n in answer.unknown if n in self.roster.rows)
            self.peers.client.send(other, self._share(heard=heard))

    def _on_share(self, message: Share, sender: str) -> ShareResult:
        now = self.timers.now()
        self.remote_entries[sender] = (now, message.entries)
        if not message.reads_crashes:
            self.crash_log.note_earlier_release(now)
        is_change = False
        for heard in message.heard:
            is_change |= self.roster.hear(heard.registration, now - heard.age_s)
        unknown = []
        for name, incarnation, age_s in message.renewed:
            if name in self.roster.rows:
                self.roster.renew(name, incarnation, now - age_s)
            elif incarnation > self.roster.ended.get(name, -1):
                unknown.append(name)
        if is_change:
            self._announce()
        return ShareResult(tuple(unknown))

    # Entries

    def _own_entries(self) -> tuple[str, ...]:
        limit = self.timers.now() - ENTRY_GONE_S
        return tuple(name for name, at in self.entries.items() if at > limit)

    def _list_entries(self) -> list[str]:
        """Return the entries that follow any control process."""
        now = self.timers.now()
        names = set(self._own_entries())
        for at, entries in self.remote_entries.values():
            if now - at < ENTRY_GONE_S:
                names.update(entries)
        return sorted(names)

    async def _on_follow(self, message: Follow, _sender: str) -> State:
        if message.instance not in self.entries:
            self.lines.log("entry.follows", entry=message.instance)
        self.entries[message.instance] = self.timers.now()
        if not self._has_news(message):
            try:
                await asyncio.wait_for(self.news.wait(), self._follow_wait_s(message))
            except TimeoutError:
                pass
        return self._state_for(message)

    def _on_ask_standing(self, _message: AskStanding, _sender: str) -> Standing:
        return Standing(self.is_current)

    def _follow_wait_s(self, message: Follow) -> float:
        """Return how long an answer may wait: not beyond the time at which this one is behind."""
        until_behind_s = max(0.0, BEHIND_S - self.age_s)
        return min(FOLLOW_WAIT_S, message.wait_s, until_behind_s + BEHIND_MARGIN_S)

    def _has_news(self, message: Follow) -> bool:
        return (
            message.control_incarnation != self.incarnation
            or message.catalog_version < self.machine.version
            or message.changes < self.roster.changes
            or message.quarantine < self.machine.quarantine.number
        )

    def _state_for(self, message: Follow) -> State:
        roster, machine = self.roster, self.machine
        is_full = message.control_incarnation != self.incarnation or message.changes < 0
        names = list(roster.rows) if is_full else roster.changed_since(message.changes)
        limit = self.timers.now() - SILENT_S
        quarantine = machine.quarantine
        is_quarantine_due = message.quarantine < quarantine.number
        return State(
            control_incarnation=self.incarnation,
            changes=roster.changes,
            is_full=is_full,
            is_current=self.is_current,
            is_settled=self.is_settled,
            catalog_version=machine.version,
            catalog=machine.document if machine.version > message.catalog_version else b"",
            heard=tuple(self._heard(name) for name in names if name in roster.rows),
            gone=tuple(name for name in names if name not in roster.rows),
            silent=tuple(n for n, row in roster.rows.items() if row.heard_at < limit),
            controls=self.controls(),
            leader=self.leader,
            entries=max(1, len(self._list_entries())),
            moves=self.moves.states(),
            revision=machine.revision,
            quarantine=quarantine.number,
            quarantined=quarantine.quarantined if is_quarantine_due else (),
            suspected=quarantine.suspects if is_quarantine_due else (),
            age_s=self.age_s,
        )

    # Limits of client accounts

    def _on_ask_units(self, message: AskUnits, _sender: str) -> Units:
        if self.limits is None or not self.is_leader:
            return Units(False)
        granted = self.limits.grant(
            message.instance, message.account, message.need, message.advance, boot_time()
        )
        return Units(True, granted.units, granted.wait_s, granted.share)

    # Calls that crash endpoints

    async def _forget_crashes(self) -> None:
        if self.is_leader:
            await self.crash_log.forget_old()

    # Version moves

    async def has_pool(self, pool: str) -> bool | None:
        """Return whether the newest catalog has a pool, ``None`` if that is not certain."""
        if self.catalog is not None and any(p.name == pool for p in self.catalog.pools):
            return True
        # This process may not have the newest catalog yet.
        latest = await self.read_latest()
        if not latest.is_certain:
            return None
        if not latest.catalog:
            return False
        catalog = self.decode(zlib.decompress(latest.catalog))
        return any(p.name == pool for p in catalog.pools)

    async def begin_move(self, pool: str, target: str, duration_s: float) -> bool:
        """Begin a version move; return whether it is entered for certain."""
        return await self.moves.begin(pool, target, duration_s)

    def _do_duties(self) -> None:
        """Do what is due without a message."""
        now = self.timers.now()
        if self.is_settled:
            limit = now - SILENT_S
            rows = self.roster.rows.items()
            self.placement.directory.silent = frozenset(n for n, r in rows if r.heard_at < limit)
            for name in self.roster.forget_silent(now, FORGET_S):
                self.lines.log("endpoint.forgotten", endpoint=name)
                self._announce()
        self._note_age()
        limit = now - ENTRY_GONE_S
        for name in [name for name, at in self.entries.items() if at < limit]:
            del self.entries[name]
            self.lines.log("entry.lost", entry=name)
        if self.is_leader:
            self.moves.judge_all()
        self.lines.flush()
