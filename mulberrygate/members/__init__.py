"""Membership: the known instances, their addresses and whether they are alive."""

from mulberrygate.members.membership import Membership
from mulberrygate.members.messages import Ask, SendAddress
from mulberrygate.members.rendezvous import choose, rank
from mulberrygate.members.settings import MembershipSettings
from mulberrygate.members.view import Member, MembershipView, Status

__all__ = [
    "Ask",
    "Member",
    "Membership",
    "MembershipSettings",
    "MembershipView",
    "SendAddress",
    "Status",
    "choose",
    "rank",
]
