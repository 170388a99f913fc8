"""Endpoints: their announcements, leases and caches."""

from mulberrygate.endpoints.model import Announcement, EndpointView

__all__ = ["Announcement", "EndpointView"]
