"""Settings of a daemon, read from JSON with comments under strict checks."""

from mulberrygate.settings.load import load_settings, read_token
from mulberrygate.settings.model import CONTROL, ENTRY, Settings

__all__ = ["CONTROL", "ENTRY", "Settings", "load_settings", "read_token"]
