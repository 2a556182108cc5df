"""Counters and latency histograms of caller requests."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from hdrh import histogram

from lycheerock._internal.query import metrics as query_metrics

# The longest deadline that a bundle can set is 600 s.
LATENCY_MIN_US = 1
LATENCY_MAX_US = 600_000_000
# Two significant digits keep the error of quantiles below 1% and the histograms
# small.
LATENCY_DIGITS = 2

# Once a label has this many values, new ones are counted under OTHER_LABEL, so
# that the metrics of a long-running process stay bounded when names change.
LABEL_VALUES_MAX = 200
# Names of services and callers do not start with an underscore, so these labels
# cannot clash with them.
OTHER_LABEL = "_other"
UNKNOWN_LABEL = "_unknown"

QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclasses.dataclass
class ServiceCounts:
    """Counters of the caller requests of one service.

    Attributes:
      outcomes: Number of requests by outcome.
      elapsed_s: Total time from receipt to answer.
      covered: Number of shards covered by the answers.
      lacking: Number of shards missing from the answers.
      first_attempts: Number of first attempts sent to targets.
      extra_attempts: Number of other attempts, such as hedges and retries.
    """

    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    elapsed_s: float = 0.0
    covered: int = 0
    lacking: int = 0
    first_attempts: int = 0
    extra_attempts: int = 0


class _LabelLimiter:
    """Limits the number of distinct values of a label."""

    def __init__(self, values_max: int):
        self._values_max = values_max
        self._values: set[str] = set()

    def admit(self, value: str) -> str:
        if value in self._values:
            return value
        if len(self._values) >= self._values_max:
            return OTHER_LABEL
        self._values.add(value)
        return value


class RequestMetrics:
    """Counters and latency histograms of one process.

    Each caller request is counted once, regardless of its number of attempts.
    """

    def __init__(self, label_values_max: int = LABEL_VALUES_MAX) -> None:
        self._service_labels = _LabelLimiter(label_values_max)
        self._caller_labels = _LabelLimiter(label_values_max)
        self._error_kinds = _LabelLimiter(label_values_max)
        self.counts: dict[str, ServiceCounts] = {}
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.requests_by_caller: dict[str, int] = {}
        self.refusals: dict[str, int] = {}

    def observe_request(self, summary: query_metrics.RequestSummary) -> None:
        """Records a caller request when it is answered."""
        label = self._service_labels.admit(summary.service or UNKNOWN_LABEL)
        counts = self.counts.setdefault(label, ServiceCounts())
        _increment(counts.outcomes, summary.outcome)
        counts.elapsed_s += summary.elapsed_s
        counts.covered += summary.covered_count
        counts.lacking += summary.lacking_count
        counts.first_attempts += summary.first_attempt_count
        counts.extra_attempts += summary.extra_attempt_count
        self._latency(label).record_value(_clamp_to_us(summary.elapsed_s))
        caller_label = self._caller_labels.admit(
            summary.caller or UNKNOWN_LABEL
        )
        _increment(self.requests_by_caller, caller_label)

    def observe_refusal(self, kind: str) -> None:
        """Records a refused caller request.

        Args:
          kind: Error kind, one of `ErrorKind`.
        """
        _increment(self.refusals, self._error_kinds.admit(str(kind)))

    def _latency(self, label: str) -> histogram.HdrHistogram:
        latency = self.latencies.get(label)
        if latency is None:
            latency = new_histogram()
            self.latencies[label] = latency
        return latency

    def statistics(self) -> dict[str, dict[str, Any]]:
        """Returns the statistics by service as JSON-compatible values.

        `histogram` is the encoded histogram. Readers can merge the histograms
        of several instances, which is not possible with quantiles.
        """
        return {
            service: dataclasses.asdict(counts)
            | {"latency_ms": quantiles_ms(self.latencies[service])}
            | {"histogram": self.latencies[service].encode().decode()}
            for service, counts in sorted(self.counts.items())
        }


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram for latencies in microseconds."""
    return histogram.HdrHistogram(
        LATENCY_MIN_US, LATENCY_MAX_US, LATENCY_DIGITS
    )


def quantiles_ms(latency: histogram.HdrHistogram) -> Mapping[str, float]:
    """Returns the quantiles of a latency histogram in milliseconds by name."""
    return {
        f"p{quantile * 100:g}": (
            latency.get_value_at_percentile(quantile * 100) / 1000
        )
        for quantile in QUANTILES
    }


def _clamp_to_us(elapsed_s: float) -> int:
    elapsed_us = round(elapsed_s * 1_000_000)
    return min(max(elapsed_us, LATENCY_MIN_US), LATENCY_MAX_US)


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1
