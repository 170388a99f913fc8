"""Exchange of endpoint registrations among control processes."""

from __future__ import annotations

from collections.abc import Callable

from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.roster import AgedRegistration, Roster
from mulberrygate.peers import PeerClient
from mulberrygate.sync.messages import PeerUpdate, PeerUpdateResult

PEER_UPDATE_TIMEOUT_S = 1.0


class RosterSharing:
    """Sends what endpoints report here to the other control processes, and merges what they send.

    Parameters
    ==========
    list_others : Callable[[], list[str]]
        Returns the other control processes.
    own_entries : Callable[[], tuple[str, ...]]
        Returns the entries that follow this process, which each update names.
    own_running : Callable[[], tuple[tuple[str, int], ...]]
        Returns how many requests of these entries run in each evacuated failure domain.

    Attributes
    ==========
    changed, renewed : set[str]
        Endpoints whose changes, or whose heartbeats, are still to be sent.
    missed : dict[str, set[str]]
        Endpoints whose heartbeats another control process has not confirmed, by its name.
    """

    def __init__(
        self,
        roster: Roster,
        client: PeerClient,
        timers: TimerService,
        list_others: Callable[[], list[str]],
        own_entries: Callable[[], tuple[str, ...]],
        own_running: Callable[[], tuple[tuple[str, int], ...]] = lambda: (),
    ):
        self.roster = roster
        self.client = client
        self.timers = timers
        self.list_others = list_others
        self.own_entries = own_entries
        self.own_running = own_running
        self.changed: set[str] = set()
        self.renewed: set[str] = set()
        self.missed: dict[str, set[str]] = {}

    def aged_registration(self, name: str) -> AgedRegistration:
        """Return an endpoint's registration and the age of its last heartbeat."""
        return self.roster.rows[name].aged(self.timers.now())

    def share_change(self, name: str) -> None:
        """Send a new or changed endpoint to the other control processes without delay."""
        self.changed.add(name)
        names, self.changed = self.changed, set()
        heard = tuple(self.aged_registration(name) for name in names if name in self.roster.rows)
        if heard:
            for other in self.list_others():
                self.client.send(other, self._make_update(heard=heard))

    def share_renewals(self) -> None:
        """Send the ages of the heartbeats received here to the other control processes.

        Explanation
        ===========
        The message about an endpoint that has become cold may be lost, and the age alone doesn't
        tell it. So registrations of cold endpoints are sent again as a whole.
        """
        names, self.renewed = self.renewed, set()
        others = self.list_others()
        self.missed = {other: self.missed.get(other, set()) for other in others}
        for other in others:
            update = self._make_renewals(names | self.missed[other])
            self.timers.spawn(self._send_renewals(other, update))

    async def _send_renewals(self, other: str, update: PeerUpdate) -> None:
        """Send ages to another control process, and what it doesn't know; repeat them if it fails.

        Explanation
        ===========
        The change of an endpoint is sent once without an answer, so the ages have to reach each
        process: they are how it learns of an endpoint that it has missed.
        """
        names = {name for name, _incarnation, _age_s in update.renewed}
        self.missed[other] = self.missed.get(other, set()) | names
        answer = await self.client.call(other, update, PEER_UPDATE_TIMEOUT_S)
        if not isinstance(answer, PeerUpdateResult):
            return
        self.missed[other] = self.missed.get(other, set()) - names
        if answer.unknown:
            heard = tuple(
                self.aged_registration(n) for n in answer.unknown if n in self.roster.rows
            )
            self.client.send(other, self._make_update(heard=heard))

    def _make_renewals(self, names: set[str]) -> PeerUpdate:
        """Return an update with the ages of some endpoints' heartbeats."""
        now = self.timers.now()
        rows = {name: row for name in names if (row := self.roster.rows.get(name)) is not None}
        renewed = tuple(
            (name, row.registration.incarnation, round(now - row.heard_at, 3))
            for name, row in rows.items()
        )
        cold = tuple(
            self.aged_registration(name) for name, row in rows.items() if row.cold_s(0.0, now) > 0
        )
        return self._make_update(renewed=renewed, heard=cold)

    def _make_update(self, **fields: tuple) -> PeerUpdate:
        """Return an update with the given fields and what this release can apply."""
        return PeerUpdate(
            entries=self.own_entries(),
            reads_crashes=True,
            reads_trials=True,
            reads_evidence=True,
            reads_evacuations=True,
            running=self.own_running(),
            **fields,
        )

    def merge(self, update: PeerUpdate, now: float) -> tuple[bool, PeerUpdateResult]:
        """Merge an update into the roster.

        Returns
        =======
        tuple[bool, PeerUpdateResult]
            Whether the roster changed, and the renewed endpoints that are unknown here.
        """
        is_change = False
        for heard in update.heard:
            is_change |= self.roster.record_report(heard.registration, now - heard.age_s)
        unknown = []
        for name, incarnation, age_s in update.renewed:
            if name in self.roster.rows:
                self.roster.renew(name, incarnation, now - age_s)
            elif incarnation > self.roster.ended.get(name, -1):
                unknown.append(name)
        return is_change, PeerUpdateResult(tuple(unknown))
