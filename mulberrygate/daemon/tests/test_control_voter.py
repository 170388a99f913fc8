"""Tests of operators' orders at the leader of the product's own daemons, without a network."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from unittest import mock

import attrs

from mulberrygate.agreement import Committed, Role
from mulberrygate.control.commands import EvacuationState
from mulberrygate.control.messages import EvacuationRequest
from mulberrygate.control.state import ControlState
from mulberrygate.daemon.control_voter import EARLIER_RELEASE, UNKNOWN_DOMAIN, ControlVoter
from mulberrygate.members.tests.network import make_member
from mulberrygate.members.view import MembershipView, Status
from mulberrygate.settings.model import CONTROL, EVACUATIONS


class TestEvacuationRequests(unittest.IsolatedAsyncioTestCase):
    """A leader with three voters in the failure domain a."""

    def setUp(self):
        roles = ("entry", CONTROL, EVACUATIONS)
        self.members = {
            name: attrs.evolve(make_member(name, "a"), roles=roles) for name in ("v1", "v2", "v3")
        }
        self.in_force = SimpleNamespace(evacuations={})
        self.voter = ControlVoter(
            SimpleNamespace(instance="v1"),
            mock.Mock(),
            lambda: MembershipView(self.members),
            self.in_force,
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
            lambda _state: None,
            lambda _is_leader: None,
        )
        self.state = ControlState()
        self.voter.service = SimpleNamespace(role=Role.LEADER, leader="v1", propose=self.propose)

    async def propose(self, data, _timeout_s):
        """Apply a command as if a majority had it."""
        index = self.state.applied + 1
        self.voter.machine.state = self.state
        return Committed(index, self.voter.machine.apply(index, data))

    async def order(self, name, is_evacuated=True):
        """Send an order to the voter and return its answer."""
        return await self.voter.on_evacuation_request(
            EvacuationRequest(name, is_evacuated, "ana"), "v1"
        )

    async def test_order(self):
        """Guards against an accepted order that is not in the log."""
        answer = await self.order("a")
        self.assertEqual((answer.is_leader, answer.code, answer.revision), (True, 0, 1))
        self.assertEqual(self.state.evacuations()["a"].operator, "ana")
        self.assertEqual((await self.order("a")).revision, 1)

    async def test_voter_of_an_earlier_release(self):
        """Guards against a command at which a voter of an earlier release stops."""
        old = attrs.evolve(self.members["v3"], roles=("entry", CONTROL))
        self.members["v3"] = old
        self.assertEqual((await self.order("a")).code, EARLIER_RELEASE.number)
        self.assertEqual(self.state.evacuations(), {})
        self.members["v3"] = attrs.evolve(old, status=Status.DEAD)
        self.assertEqual((await self.order("a")).code, 0)

    async def test_unknown_failure_domain(self):
        """Guards against an order for a misspelt failure domain that looks accepted."""
        self.assertEqual((await self.order("c")).code, UNKNOWN_DOMAIN.number)
        # All its instances may be gone by the time of the withdrawal.
        self.in_force.evacuations = {"c": EvacuationState("c", "ana", 1.0)}
        self.assertEqual((await self.order("c", False)).code, 0)

    async def test_voter_that_does_not_lead(self):
        """Guards against a follower that answers for the leader."""
        self.voter.service.role = Role.FOLLOWER
        self.voter.service.leader = "v2"
        answer = await self.order("a")
        self.assertEqual((answer.is_leader, answer.leader), (False, "v2"))


if __name__ == "__main__":
    unittest.main()
