"""Logs, metrics and the time line, a record of events in all processes."""

from mulberrygate.observe.events import Event, EventRing
from mulberrygate.observe.logs import logger, start_logging
from mulberrygate.observe.metrics import Metrics

__all__ = ["Event", "EventRing", "Metrics", "logger", "start_logging"]
