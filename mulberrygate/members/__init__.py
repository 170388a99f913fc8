"""Membership: which instances exist, where, and which of them are alive."""

from mulberrygate.members.rendezvous import choose, rank
from mulberrygate.members.view import Member, MembershipView, Status

__all__ = ["Member", "MembershipView", "Status", "choose", "rank"]
