"""Counts and latencies of caller requests, kept by this process."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from hdrh import histogram

from lycheerock._internal.query import metrics as query_metrics

# Microseconds. The longest deadline of a bundle is 600 s.
LATENCY_MIN_US = 1
LATENCY_MAX_US = 600_000_000
# Two digits keep the error of a quantile below 1% and a histogram small.
LATENCY_DIGITS = 2

# Names beyond this number share one label value, so that a change of names
# cannot make the metrics of a long-lived process grow without limit.
LABEL_VALUES_MAX = 200
# No name of a service or caller begins with an underscore.
OTHER_LABEL = "_other"
UNKNOWN_LABEL = "_unknown"

QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclasses.dataclass
class ServiceCounts:
    """Sums over the caller requests of one service.

    Attributes:
      outcomes: Requests by outcome.
      elapsed_s: Sum of the times from receipt to answer.
      covered: Shards that answers covered.
      lacking: Shards that answers lacked.
      first_attempts: First shard requests sent to targets.
      extra_attempts: Hedges, retries and repeats sent to targets.
    """

    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    elapsed_s: float = 0.0
    covered: int = 0
    lacking: int = 0
    first_attempts: int = 0
    extra_attempts: int = 0


class _Labels:
    """Admits a bounded number of label values."""

    def __init__(self, count_max: int):
        self._count_max = count_max
        self._values: set[str] = set()

    def admit(self, value: str) -> str:
        if value in self._values:
            return value
        if len(self._values) >= self._count_max:
            return OTHER_LABEL
        self._values.add(value)
        return value


class RequestMetrics:
    """Owns the histograms and counters of one process.

    Each caller request is observed once, whatever attempts it took.
    """

    def __init__(self, label_values_max: int = LABEL_VALUES_MAX) -> None:
        self._services = _Labels(label_values_max)
        self._callers = _Labels(label_values_max)
        self._kinds = _Labels(label_values_max)
        self.counts: dict[str, ServiceCounts] = {}
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.requests_by_caller: dict[str, int] = {}
        self.refusals: dict[str, int] = {}

    def observe_request(self, summary: query_metrics.RequestSummary) -> None:
        """Counts one caller request, at the time of its answer."""
        label = self._services.admit(summary.service or UNKNOWN_LABEL)
        counts = self.counts.setdefault(label, ServiceCounts())
        _increment(counts.outcomes, summary.outcome)
        counts.elapsed_s += summary.elapsed_s
        counts.covered += summary.covered_count
        counts.lacking += summary.lacking_count
        counts.first_attempts += summary.first_attempt_count
        counts.extra_attempts += summary.extra_attempt_count
        self._latency(label).record_value(_to_recordable_us(summary.elapsed_s))
        caller_label = self._callers.admit(summary.caller or UNKNOWN_LABEL)
        _increment(self.requests_by_caller, caller_label)

    def observe_refusal(self, kind: str) -> None:
        """Counts one refused caller request.

        Args:
          kind: Kind of the error, as in `ErrorKind`.
        """
        _increment(self.refusals, self._kinds.admit(str(kind)))

    def _latency(self, label: str) -> histogram.HdrHistogram:
        latency = self.latencies.get(label)
        if latency is None:
            latency = new_histogram()
            self.latencies[label] = latency
        return latency

    def statistics(self) -> dict[str, dict[str, Any]]:
        """Returns the statistics of each service as JSON values.

        `histogram` holds the encoded histogram, so that a reader can add those
        of several instances; quantiles of instances cannot be added.
        """
        return {
            service: dataclasses.asdict(counts)
            | {"latency_ms": quantiles_ms(self.latencies[service])}
            | {"histogram": self.latencies[service].encode().decode()}
            for service, counts in sorted(self.counts.items())
        }


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies in microseconds."""
    return histogram.HdrHistogram(
        LATENCY_MIN_US, LATENCY_MAX_US, LATENCY_DIGITS
    )


def quantiles_ms(latency: histogram.HdrHistogram) -> Mapping[str, float]:
    """Returns the quantiles of a histogram in milliseconds, by name."""
    return {
        f"p{quantile * 100:g}": (
            latency.get_value_at_percentile(quantile * 100) / 1000
        )
        for quantile in QUANTILES
    }


def _to_recordable_us(elapsed_s: float) -> int:
    elapsed_us = round(elapsed_s * 1_000_000)
    return min(max(elapsed_us, LATENCY_MIN_US), LATENCY_MAX_US)


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1
