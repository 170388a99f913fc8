"""Counters, gauges and histograms in the text exposition format of Prometheus."""

from __future__ import annotations

import os
import resource
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

PREFIX = "mulberrygate_"
QUANTILES = (50.0, 95.0, 99.0, 99.9)
# Histograms record microseconds, up to one hour, with two significant digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2

Labels = tuple[tuple[str, str], ...]


def _label_text(labels: Labels, extra: str = "") -> str:
    parts = [f'{name}="{_escape(value)}"' for name, value in labels]
    if extra:
        parts.append(extra)
    return "{" + ",".join(parts) + "}" if parts else ""


def _number(value: float) -> str:
    """Return a number with all digits; ``:g`` keeps only 6, too few for byte counters."""
    return str(int(value)) if float(value).is_integer() else repr(float(value))


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Metrics:
    """Counters, gauges and duration histograms of one process.

    Examples
    ========
    >>> from mulberrygate.observe.metrics import Metrics
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", 2, tier="0")
    >>> print(metrics.text().splitlines()[1])
    mulberrygate_requests_total{tier="0"} 2
    """

    def __init__(self):
        self.counters: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self.sums: dict[tuple[str, Labels], float] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self.counters[key] = self.counters.get(key, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))
        self.sums[key] = self.sums.get(key, 0.0) + seconds

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a function that returns a gauge's value whenever `text` is called."""
        self.gauges[name] = read

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self.counters.get((name, tuple(sorted(labels.items()))), 0)

    def quantile(self, name: str, percent: float, **labels: str) -> float:
        """Return a quantile of a histogram in seconds; 0 when it is empty."""
        histogram = self.histograms.get((name, tuple(sorted(labels.items()))))
        return histogram.get_value_at_percentile(percent) / 1e6 if histogram else 0.0

    def text(self) -> str:
        """Return all metrics in the text exposition format."""
        lines: list[str] = []
        seen: set[str] = set()
        for (name, labels), value in sorted(self.counters.items()):
            if name not in seen:
                seen.add(name)
                lines.append(f"# TYPE {PREFIX}{name} counter")
            lines.append(f"{PREFIX}{name}{_label_text(labels)} {_number(value)}")
        for name, read in sorted(self.gauges.items()):
            lines.append(f"# TYPE {PREFIX}{name} gauge")
            lines.append(f"{PREFIX}{name} {_number(read())}")
        for (name, labels), histogram in sorted(self.histograms.items()):
            if name not in seen:
                seen.add(name)
                lines.append(f"# TYPE {PREFIX}{name} summary")
            for percent in QUANTILES:
                text = _label_text(labels, f'quantile="{percent / 100:g}"')
                value = histogram.get_value_at_percentile(percent) / 1e6
                lines.append(f"{PREFIX}{name}{text} {value:g}")
            tail = _label_text(labels)
            lines.append(f"{PREFIX}{name}_sum{tail} {_number(self.sums[name, labels])}")
            lines.append(f"{PREFIX}{name}_count{tail} {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"


def add_process_gauges(metrics: Metrics) -> None:
    """Register gauges of the processor time and resident memory of this process."""

    def cpu_seconds() -> float:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_utime + usage.ru_stime

    def resident_bytes() -> float:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    metrics.gauge("process_cpu_seconds", cpu_seconds)
    metrics.gauge("process_resident_bytes", resident_bytes)
