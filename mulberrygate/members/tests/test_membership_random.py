"""Stateful test of the membership under random faults."""

from mulberrygate.members.tests.faults import SETTINGS, FaultMachine


class MembershipMachine(FaultMachine):
    """Guards against views that differ for good after any sequence of faults."""


TestMembership = MembershipMachine.TestCase
TestMembership.settings = SETTINGS
