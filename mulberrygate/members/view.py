"""Members of the system and the view of them that one instance has."""

from __future__ import annotations

import enum

import attrs

from mulberrygate.core.wire import message
from mulberrygate.members.rendezvous import choose, rank


class Status(enum.Enum):
    """Status of a member as another instance sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@message("members.member")
@attrs.frozen
class Member:
    """Newest known state of an instance.

    Parameters
    ==========
    instance : str
        Name from its settings.
    address, http_address : str
        ``host:port`` of the peer protocol and of HTTP.
    incarnation : int
        Increases with each start of the process.
    heartbeat : int
        Raised by the member itself, when it refutes a suspicion or leaves.
    roles : tuple[str, ...]
        Roles that the instance runs: ``entry``, ``control``; and ``evacuations`` if its release can
        apply the command that evacuates a failure domain.
    revision : int
        Configuration revision in force on the instance; a lower bound for members of other
        failure domains, except on a relay.
    """

    instance: str
    address: str
    http_address: str
    region: str
    failure_domain: str
    incarnation: int
    heartbeat: int = 0
    status: Status = Status.ALIVE
    roles: tuple[str, ...] = ("entry",)
    revision: int = 0


class MembershipView:
    """Immutable view of the members that one instance knows.

    Parameters
    ==========
    members : dict[str, Member]
        All known members by name, dead ones included.
    """

    def __init__(self, members: dict[str, Member]):
        self.members = members
        self.live = {
            name: member
            for name, member in members.items()
            if member.status in (Status.ALIVE, Status.SUSPECT)
        }
        self.domains: dict[str, list[str]] = {}
        self.regions: dict[str, str] = {}
        # Caches: hashing 60 names costs 0.2 ms, and owners are looked up for every message.
        self.cached_owners: dict[tuple[str, str], str] = {}
        self.ranked: dict[str, list[str]] = {}
        for name, member in sorted(members.items()):
            self.regions[member.failure_domain] = member.region
            if name in self.live:
                self.domains.setdefault(member.failure_domain, []).append(name)

    def is_alive(self, instance: str) -> bool:
        """Return whether an instance is alive or only suspected."""
        return instance in self.live

    def address_of(self, instance: str) -> str | None:
        """Return the peer address of a known instance."""
        member = self.members.get(instance)
        return member.address if member is not None else None

    def in_domain(self, failure_domain: str) -> list[str]:
        """Return the live instances of a failure domain in order of their names."""
        return self.domains.get(failure_domain, [])

    def owner(self, failure_domain: str, subject: str) -> str:
        """Return the live instance of a failure domain that owns a subject; empty if none."""
        key = (failure_domain, subject)
        if key not in self.cached_owners:
            self.cached_owners[key] = choose(subject, self.in_domain(failure_domain))
        return self.cached_owners[key]

    def owners(self, failure_domain: str, subject: str) -> tuple[str, ...]:
        """Return the instances to ask in turn about a subject: its owner, if there is one."""
        owner = self.owner(failure_domain, subject)
        return (owner,) if owner else ()

    def relays(self, failure_domain: str, count: int = 2) -> list[str]:
        """Return the relays of a failure domain; the first one is the main relay."""
        if failure_domain not in self.ranked:
            self.ranked[failure_domain] = rank("relay", self.in_domain(failure_domain))
        return self.ranked[failure_domain][:count]
