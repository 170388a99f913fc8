"""Limits that all entries share: rate limits of client accounts and retry budgets."""

from mulberrygate.quota.central import CentralLimits
from mulberrygate.quota.deputy import DeputyLimits
from mulberrygate.quota.history import GrantHistory
from mulberrygate.quota.limit import Limit
from mulberrygate.quota.local import LocalUnits
from mulberrygate.quota.retries import RetryBudget

__all__ = ["CentralLimits", "DeputyLimits", "GrantHistory", "Limit", "LocalUnits", "RetryBudget"]
