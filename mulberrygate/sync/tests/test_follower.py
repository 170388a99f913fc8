"""Tests of an entry that follows control processes."""

from __future__ import annotations

import asyncio
import json
import types
import unittest
import zlib

import attrs

from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.roster import AgedRegistration, Registration, Roster
from mulberrygate.forward.tests.support import Lines, document
from mulberrygate.peers.client import Unreachable
from mulberrygate.platform.documents import decode_document
from mulberrygate.sync.follower import Follower
from mulberrygate.sync.messages import (
    CheckCurrent,
    CheckCurrentResult,
    Follow,
    FollowResult,
    MoveShare,
)

# Marks a process that neither answers nor closes the connection.
SILENT = object()


def packed(version):
    """Return a compressed catalog document with a version."""
    return zlib.compress(json.dumps({**document(), "version": version}).encode())


def heard(name, **more):
    """Return an endpoint as a control process reports it."""
    return AgedRegistration(
        Registration(name, 1, 1, "care", f"10.0.0.{name[1:]}:80", "a", **more), 0.5
    )


class Peers:
    """Control processes with fixed answers, by name."""

    incarnation = 1

    def __init__(self, answers):
        self.answers = answers
        self.is_asked = {name: asyncio.Event() for name in answers}
        self.messages = []
        self.client = self

    async def call(self, instance, message, _timeout_s):
        """Return the answer of a process."""
        self.is_asked[instance].set()
        self.messages.append(message)
        answer = self.answers[instance]
        if answer is SILENT:
            await asyncio.Event().wait()
        if isinstance(message, CheckCurrent) and isinstance(answer, FollowResult):
            return CheckCurrentResult(answer.is_current)
        return answer


class TestFollower(unittest.IsolatedAsyncioTestCase):
    """Catalog and roster of an entry, and its choice of the control process."""

    async def asyncSetUp(self):
        self.timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(self.timers.close)

    def follower(self, **answers):
        """Return a follower of control processes with these answers."""
        site = types.SimpleNamespace(instance="10.1.0.9", seeds=tuple(answers))
        self.peers = Peers(answers)
        self.in_force = []
        follower = Follower(
            site, self.peers, Roster(), self.timers, Lines(), decode_document,
            lambda index: self.in_force.append(index.version), lambda state: None, 1,
        )  # fmt: skip
        follower.control = next(iter(answers), "")
        return follower

    def asked(self):
        """Return the requests that were sent to followed processes."""
        return [message for message in self.peers.messages if isinstance(message, Follow)]

    async def follow(self, follower, answer):
        """Let the follower receive one answer."""
        self.peers.answers[follower.control] = answer
        await follower._follow_once()

    async def test_catalog_never_goes_back(self):
        """Guards against an older catalog in force after a switch to another process."""
        follower = self.follower(c1=None)
        state = FollowResult(1, 0, 5, is_current=True, catalog=packed(5))
        await self.follow(follower, state)
        await self.follow(follower, attrs.evolve(state, catalog_version=3, catalog=packed(3)))
        await self.follow(follower, attrs.evolve(state, catalog_version=9, catalog=packed(9)))
        self.assertEqual(self.in_force, [5, 9])

    async def test_verdict_on_a_version_never_goes_back(self):
        """Guards against calls to a withdrawn version after a switch to an outdated process."""
        follower = self.follower(c1=None)
        running = (MoveShare("care", "v2", 0.1, False),)
        withdrawn = (MoveShare("care", "v2", 0.0, True),)
        state = FollowResult(1, 0, 5, is_current=True, catalog=packed(5))
        await self.follow(follower, attrs.evolve(state, revision=7, moves=withdrawn))
        await self.follow(follower, attrs.evolve(state, revision=6, moves=running))
        self.assertEqual(follower.moves, withdrawn)

    async def test_process_without_its_group_is_left(self):
        """Guards against following a process that is cut off from its group."""
        follower = self.follower(c1=None, c2=None)
        await self.follow(follower, FollowResult(1, 0, 5, is_current=False))
        self.assertEqual(follower.control, "")
        self.assertEqual(follower.search.least_recently_failed(follower.controls), "c2")

    async def test_process_without_a_catalog_is_left(self):
        """Guards against waiting, after a power failure, for the process that lost its disk."""
        empty = FollowResult(1, 0, -1, is_current=True)
        follower = self.follower(
            c1=empty, c2=FollowResult(1, 0, 5, is_current=True, catalog=packed(5))
        )
        for _ in range(3):
            await follower._follow_once()
        self.assertEqual(self.in_force, [5])

    async def test_process_is_kept_while_the_entry_has_a_catalog(self):
        """Guards against switching the process while nothing changes."""
        follower = self.follower(
            c1=FollowResult(1, 0, 5, is_current=True, catalog=packed(5)), c2=None
        )
        for _ in range(4):
            await follower._follow_once()
        self.assertEqual(follower.control, "c1")

    async def test_silent_process_is_left(self):
        """Guards against waiting for a process that has ended."""
        follower = self.follower(c1=None, c2=None)
        await self.follow(follower, Unreachable("c1", "test"))
        self.assertEqual(follower.search.least_recently_failed(follower.controls), "c2")

    async def test_silent_processes_are_not_waited_for_one_after_the_other(self):
        """Guards against adding up the timeouts of several unreachable processes."""
        newest = FollowResult(1, 0, 9, is_current=True, catalog=packed(9))
        follower = self.follower(c1=SILENT, c2=SILENT, c3=newest)
        async with asyncio.timeout(10):
            while not self.in_force:
                await follower._follow_once()
        self.assertEqual(self.in_force, [9])

    async def test_process_that_is_behind_is_not_chosen(self):
        """Guards against switching from one process that is behind to the next such one."""
        newest = FollowResult(1, 0, 9, is_current=True, catalog=packed(9))
        behind = FollowResult(1, 0, 5, is_current=False)
        lost = {f"c{number}": behind for number in range(1, 6)}
        follower = self.follower(**lost, c6=newest)
        await follower._follow_once()
        await follower._follow_once()
        self.assertEqual(self.in_force, [9])

    async def test_process_that_is_behind_names_the_others(self):
        """Guards against finding no other process when the settings name only isolated ones."""
        newest = FollowResult(1, 0, 9, is_current=True, catalog=packed(9))
        behind = FollowResult(1, 0, 5, is_current=False, catalog=packed(5), controls=("c1", "c2"))
        follower = self.follower(c1=behind, c2=newest)
        follower.controls = follower.seeds = ["c1"]
        await follower._follow_once()
        await follower._follow_once()
        self.assertEqual(self.in_force, [5, 9])

    async def test_recently_started_process_removes_no_endpoints(self):
        """Guards against dropping every endpoint after all control processes restarted."""
        follower = self.follower(c1=None)
        full = FollowResult(
            1, 1, 5, is_full=True, is_current=True, is_settled=True, heard=(heard("e1"),)
        )
        await self.follow(follower, attrs.evolve(full, catalog=packed(5)))
        recent = FollowResult(2, 0, 5, is_full=True, is_current=True, is_settled=False)
        await self.follow(follower, recent)
        self.assertEqual(list(follower.roster.rows), ["e1"])
        await self.follow(follower, attrs.evolve(recent, is_settled=True))
        self.assertEqual(list(follower.roster.rows), [])

    async def test_endpoint_that_leaves(self):
        """Guards against new work for an endpoint that leaves."""
        follower = self.follower(c1=None)
        state = FollowResult(1, 1, 5, is_current=True, heard=(heard("e1"), heard("e2")))
        await self.follow(follower, state)
        await self.follow(follower, attrs.evolve(state, heard=(heard("e1", is_leaving=True),)))
        names = [row.registration.endpoint for row in follower.roster.usable("care")]
        self.assertEqual(names, ["e2"])

    async def test_listener_that_fails_does_not_end_following(self):
        """Guards against an error in a listener that ends the loop, so the catalog stays old."""
        follower = self.follower(c1=FollowResult(1, 0, 5, is_current=True))
        calls = []
        is_called_again = asyncio.Event()

        def fail(_state):
            calls.append(1)
            if len(calls) > 1:
                is_called_again.set()
            raise ValueError("test")

        follower.on_result = fail
        follower.start()
        await asyncio.wait_for(is_called_again.wait(), 10)
        self.assertTrue(follower.lines.of("follow.failed"))

    async def test_quarantine_that_was_not_applied_is_requested_again(self):
        """Guards against losing a quarantine list because a listener failed to apply it."""
        follower = self.follower(c1=FollowResult(1, 0, 5, is_current=True, quarantine=3))
        known = 0
        follower.quarantine_number = lambda: known
        await follower._follow_once()
        await follower._follow_once()
        self.assertEqual([question.quarantine for question in self.asked()], [0, 0])
        known = 3
        await follower._follow_once()
        self.assertEqual(self.asked()[-1].quarantine, 3)

    async def test_follows_by_itself(self):
        """Guards against a follow loop that ends with the first unreachable process."""
        follower = self.follower(
            c1=Unreachable("c1", "test"), c2=FollowResult(1, 0, 5, is_current=True)
        )
        follower.start()
        await asyncio.wait_for(self.peers.is_asked["c2"].wait(), 10)


if __name__ == "__main__":
    unittest.main()
