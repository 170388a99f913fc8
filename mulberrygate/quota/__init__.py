"""Limits that all entries share: rates of client accounts and retry budgets."""

from mulberrygate.quota.allocator import RateAllocator
from mulberrygate.quota.bucket import AccountBuckets
from mulberrygate.quota.retries import RetryBudget

__all__ = ["AccountBuckets", "RateAllocator", "RetryBudget"]
