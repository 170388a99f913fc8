"""Endpoints: their announcements, leases, loads and caches."""

from mulberrygate.endpoints.directory import Directory
from mulberrygate.endpoints.lease import LEAVE_LIMIT_S
from mulberrygate.endpoints.model import Announcement, EndpointView

__all__ = ["LEAVE_LIMIT_S", "Announcement", "Directory", "EndpointView"]
