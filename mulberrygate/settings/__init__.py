"""Settings of a daemon: JSON with comments, checked strictly."""

from mulberrygate.settings.load import load_settings, read_token
from mulberrygate.settings.model import CONTROL, ENTRY, Settings

__all__ = ["CONTROL", "ENTRY", "Settings", "load_settings", "read_token"]
