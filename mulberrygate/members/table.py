"""Table of members: precedence of statements, digests and the cached view."""

from __future__ import annotations

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.invariant import invariant
from mulberrygate.members.rendezvous import weigh
from mulberrygate.members.view import Member, MembershipView, Status

STATEMENT_FELL = register_code(
    9200, "member_statement_fell", "An older statement replaced a newer one about a member."
)
UNSUSPECTED_DEATH = register_code(
    9201, "member_unsuspected_death", "A member of the own failure domain died unsuspected."
)

RANKS = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEAVING: 0}
LIVE = (Status.ALIVE, Status.SUSPECT)


def precedence(member: Member) -> tuple[int, bool, int, int]:
    """Return the key by which a later statement about a member supersedes an earlier one.

    Explanation
    ===========
    A restart supersedes everything earlier. A leave is final for its incarnation. Otherwise the
    higher heartbeat wins, which only the member itself raises; at equal ones, the worse status.
    """
    return (
        member.incarnation,
        member.status is Status.LEAVING,
        member.heartbeat,
        RANKS[member.status],
    )


class MemberTable:
    """Newest statement about each member.

    Parameters
    ==========
    own : Member
        This instance.
    """

    def __init__(self, own: Member):
        self.name = own.instance
        self.domain = own.failure_domain
        self.members: dict[str, Member] = {}
        self.digests: dict[str, int] = {}
        self.lost_domains: frozenset[str] = frozenset()
        self.cached_view: MembershipView | None = None
        self.put(own)

    @property
    def own(self) -> Member:
        """The entry of this instance."""
        return self.members[self.name]

    @property
    def digest(self) -> int:
        """Digest of the names and incarnations of all live members."""
        total = 0
        for value in self.digests.values():
            total ^= value
        return total

    def put(self, member: Member) -> None:
        """Store a statement that supersedes the known one."""
        known = self.members.get(member.instance)
        if known is not None:
            detail = f"{member.instance}: {precedence(known)} then {precedence(member)}"
            invariant(precedence(member) >= precedence(known), STATEMENT_FELL, detail)
            died = member.status is Status.DEAD and known.status is Status.ALIVE
            invariant(not died or known.failure_domain != self.domain, UNSUSPECTED_DEATH, detail)
            self._toggle_digest(known)
        self.members[member.instance] = member
        self._toggle_digest(member)
        self.cached_view = None

    def set_revision(self, name: str, revision: int) -> bool:
        """Raise the revision of a member; call `invalidate_view` to show it in the view."""
        known = self.members.get(name)
        if known is None or known.revision >= revision:
            return False
        self.members[name] = attrs.evolve(known, revision=revision)
        return True

    def remove(self, name: str) -> None:
        """Remove a member."""
        self._toggle_digest(self.members.pop(name))
        self.cached_view = None

    def _toggle_digest(self, member: Member) -> None:
        # The digest covers live members only, as instances remove dead ones at different times.
        if member.status in LIVE:
            value = weigh(str(member.incarnation), member.instance)
            domain = member.failure_domain
            self.digests[domain] = self.digests.get(domain, 0) ^ value

    def set_lost_domains(self, domains: frozenset[str]) -> None:
        """Set the failure domains without contact; the view shows their members as dead."""
        if domains != self.lost_domains:
            self.lost_domains = domains
            self.cached_view = None

    def invalidate_view(self) -> None:
        """Drop the cached view, so that the next one is built from the table."""
        self.cached_view = None

    def view(self) -> MembershipView:
        """Return the view; it is rebuilt only after a change."""
        if self.cached_view is None:
            self.cached_view = MembershipView(
                {
                    name: (
                        attrs.evolve(member, status=Status.DEAD)
                        if member.failure_domain in self.lost_domains and member.status in LIVE
                        else member
                    )
                    for name, member in self.members.items()
                }
            )
        return self.cached_view

    def differing_domains(self, digests: dict[str, int]) -> list[str]:
        """Return the failure domains whose digests differ."""
        names = self.digests.keys() | digests.keys()
        return sorted(d for d in names if self.digests.get(d, 0) != digests.get(d, 0))
