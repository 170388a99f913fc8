"""Home regions of calls, as an entry applies them before each send."""

from __future__ import annotations

from typing import Any

from mulberrygate.catalog import CatalogIndex
from mulberrygate.endpoints.roster import Row
from mulberrygate.forward import codes
from mulberrygate.forward.request import Call, Refused
from mulberrygate.schedule.codes import NO_HOME_ENDPOINT
from mulberrygate.schedule.messages import Grant

# Retry-After of a call that no endpoint in its home regions can take.
NO_HOME_RETRY_S = 1.0


class HomeRegions:
    """Regions whose endpoints may get a call, and the check of a grant against them.

    Explanation
    ===========
    The owner of a pool reads the home regions in the ticket. An owner of an earlier release does
    not, and a newer catalog may have come into force since the ticket was sent, so the entry checks
    each grant as well. A call is bound by all catalogs from its arrival to its send.

    Parameters
    ==========
    directory : RosterDirectory
        Endpoints that this process knows; see `mulberrygate.daemon.placement`.
    """

    def __init__(self, directory: Any):
        self.directory = directory

    def find(self, call: Call, index: CatalogIndex) -> frozenset[str] | None:
        """Return the regions that a catalog allows a call, ``None`` for any."""
        route = index.route(call.head.host, call.head.path) or call.route
        return index.home_regions(route, index.accounts.get(call.account))

    def bind(self, call: Call, index: CatalogIndex) -> None:
        """Limit a call to the regions that a catalog allows it as well."""
        if call.index is index:
            return
        call.index = index
        homes = self.find(call, index)
        if homes is not None:
            call.home_regions = homes if call.home_regions is None else call.home_regions & homes

    def refuse(self, call: Call, index: CatalogIndex) -> Refused | None:
        """Return the refusal of a call that no endpoint may or can take, after binding it."""
        self.bind(call, index)
        homes = call.home_regions
        if homes is None:
            return None
        if not homes:
            # A later attempt is bound by the newest catalog only, which may allow it a region.
            may_return = self.find(call, index) != frozenset()
            retry_s = NO_HOME_RETRY_S if may_return else 0.0
            return Refused(codes.NO_HOME_REGION, retry_after_s=retry_s)
        if self.directory.has_endpoint_in(call.pool.name, homes):
            return None
        return Refused(NO_HOME_ENDPOINT, ",".join(sorted(homes)), NO_HOME_RETRY_S)

    def is_home(self, call: Call, row: Row) -> bool:
        """Return whether a call may be sent to an endpoint."""
        return call.home_regions is None or self.directory.region_of(row) in call.home_regions

    def may_use(self, call: Call, grant: Grant, index: CatalogIndex) -> bool:
        """Return whether a call may be sent on a grant, by the catalog in force now.

        Explanation
        ===========
        If the region is known from the roster and from the owner, both have to be allowed. An
        endpoint of which neither is known gets no call that has home regions.
        """
        self.bind(call, index)
        if call.home_regions is None:
            return True
        regions = {grant.region} - {""}
        row = self.directory.roster.rows.get(grant.endpoint)
        if row is not None:
            regions.add(self.directory.region_of(row))
        return bool(regions) and regions <= call.home_regions

    def endpoints_outside(self, call: Call) -> list[str]:
        """Return the known endpoints of a call's pool that it may not be sent to."""
        rows = self.directory.roster.usable(call.pool.name)
        return [row.registration.endpoint for row in rows if not self.is_home(call, row)]
