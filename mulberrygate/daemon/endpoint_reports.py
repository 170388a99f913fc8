"""What endpoints tell a control process of themselves."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from mulberrygate.control.catalogs import CatalogStateMachine, PutLeaving
from mulberrygate.core.timers import TimerService
from mulberrygate.core.wire import EncodeError, encode
from mulberrygate.daemon.roster_sharing import RosterSharing
from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.observe.jsonlines import JsonLines


class EndpointReports:
    """Takes heartbeats and the ends of endpoints into the roster, and commits that they leave.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the replicated state; it is created anew when the voter is reopened.
    commit : Callable[[Any], Awaitable[bool]]
        Commits a command; returns whether it is certainly committed.
    is_current : Callable[[], bool]
        Returns whether this process recently held all committed state.
    wake_followers : Callable[[], None]
        Wakes the entries that wait for a change.
    """

    def __init__(
        self,
        roster: Roster,
        sharing: RosterSharing,
        machine: Callable[[], CatalogStateMachine],
        commit: Callable[[Any], Awaitable[bool]],
        is_current: Callable[[], bool],
        wake_followers: Callable[[], None],
        timers: TimerService,
        lines: JsonLines,
    ):
        self.roster = roster
        self.sharing = sharing
        self.machine = machine
        self.commit = commit
        self.is_current = is_current
        self.wake_followers = wake_followers
        self.timers = timers
        self.lines = lines

    async def record_heartbeat(self, registration: Registration) -> bool:
        """Add an endpoint's heartbeat to the roster; return whether it may be acknowledged.

        Explanation
        ===========
        That an endpoint leaves is acknowledged once it is committed, so that it survives the loss
        of this process.
        """
        name = registration.endpoint
        try:
            encode(registration)
        except EncodeError as error:
            # One such row would make all answers to entries fail, so it must not enter the roster.
            self.lines.log("endpoint.refused", endpoint=name, reason=str(error))
            return False
        is_change = self.roster.record_report(registration, self.timers.now())
        if self.machine().leaving.get(name, -1) >= registration.incarnation:
            self.roster.mark_leaving(name, registration.incarnation)
        if is_change:
            self.lines.log(
                "endpoint.heard",
                endpoint=name,
                pool=registration.pool,
                address=registration.address,
                is_leaving=registration.is_leaving,
                sequence=registration.sequence,
                cold_s=registration.warmup_s if registration.states_warmup else None,
            )
            self.sharing.share_change(name)
            self.wake_followers()
        self.sharing.renewed.add(name)
        if registration.is_leaving:
            return await self._commit_leaving(name, registration.incarnation)
        return self.is_current()

    async def deregister(self, name: str) -> bool:
        """Mark an endpoint as ended; return whether that may be acknowledged."""
        row = self.roster.rows.get(name)
        if row is None:
            return self.is_current()
        incarnation = row.registration.incarnation
        if self.roster.mark_ended(name, incarnation):
            self.lines.log("endpoint.left", endpoint=name)
            self.wake_followers()
        return await self._commit_leaving(name, incarnation)

    async def _commit_leaving(self, name: str, incarnation: int) -> bool:
        if self.machine().leaving.get(name, -1) >= incarnation:
            return True
        return await self.commit(PutLeaving(name, incarnation))
