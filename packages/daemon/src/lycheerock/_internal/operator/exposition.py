"""Renders metrics in the Prometheus text exposition format, version 0.0.4."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from hdrh import histogram

from lycheerock._internal.operator import metrics as metrics_lib

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

# Upper bounds of the latency buckets. 0.15 s is the latency target at the
# design capacity.
LATENCY_BOUNDS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0, 30.0,
)  # fmt: skip

Labels = Mapping[str, str]
Sample = tuple[Labels, float]


@dataclasses.dataclass(frozen=True)
class Family:
    """A metric and its samples.

    Attributes:
      name: Name of the metric, with the unit as a suffix.
      kind: Type of the metric, "counter" or "gauge".
      help_text: Description of the metric.
      samples: Labels and value of each sample.
    """

    name: str
    kind: str
    help_text: str
    samples: tuple[Sample, ...]


def render(
    metrics: metrics_lib.RequestMetrics, families: Iterable[Family]
) -> str:
    """Renders all metrics of the process.

    Args:
      metrics: Metrics of caller requests.
      families: Metrics of other components of the process.

    Returns:
      Text in the exposition format.
    """
    sums_s = {name: c.elapsed_s for name, c in metrics.counts.items()}
    return render_families(
        (*_request_families(metrics), *families)
    ) + render_latencies(
        "lycheerock_request_duration_seconds",
        "service",
        metrics.latencies,
        sums_s,
    )


def render_families(families: Iterable[Family]) -> str:
    """Renders counters and gauges in the exposition format."""
    lines: list[str] = []
    for family in families:
        lines.extend(_family_lines(family))
    return "\n".join(lines) + "\n"


def _request_families(
    metrics: metrics_lib.RequestMetrics,
) -> Iterator[Family]:
    yield Family(
        "lycheerock_requests_total",
        "counter",
        "Caller requests by outcome, each counted once.",
        tuple(
            ({"service": service, "outcome": outcome}, count)
            for service, counts in sorted(metrics.counts.items())
            for outcome, count in sorted(counts.outcomes.items())
        ),
    )
    for name, help_text in (
        ("covered", "Shards covered by answers."),
        ("lacking", "Shards missing from answers."),
        ("first_attempts", "First attempts sent to targets."),
        (
            "extra_attempts",
            "Additional shard requests sent to targets: hedges, retries and "
            "repeats for another snapshot or replica.",
        ),
    ):
        metric = name if name.endswith("attempts") else f"{name}_shards"
        yield Family(
            f"lycheerock_{metric}_total",
            "counter",
            help_text,
            tuple(
                ({"service": service}, getattr(counts, name))
                for service, counts in sorted(metrics.counts.items())
            ),
        )
    yield counter_family(
        "lycheerock_caller_requests_total",
        "Caller requests by caller.",
        "caller",
        metrics.requests_by_caller,
    )
    yield counter_family(
        "lycheerock_refusals_total",
        "Refused caller requests by error kind.",
        "kind",
        metrics.refusals,
    )


def counter_family(
    name: str, help_text: str, label: str, counts: Mapping[str, float]
) -> Family:
    """Builds the family of a counter with one label.

    Args:
      name: Name of the metric.
      help_text: Description of the metric.
      label: Name of the label.
      counts: Counts by label value.

    Returns:
      The metric family.
    """
    samples = tuple(
        ({label: value}, count) for value, count in sorted(counts.items())
    )
    return Family(name, "counter", help_text, samples)


def _family_lines(family: Family) -> Iterator[str]:
    yield f"# HELP {family.name} {_escape_help(family.help_text)}"
    yield f"# TYPE {family.name} {family.kind}"
    for labels, value in family.samples:
        yield f"{family.name}{_label_text(labels)} {_number_text(value)}"


def render_latencies(
    name: str,
    label: str,
    latencies: Mapping[str, histogram.HdrHistogram],
    sums_s: Mapping[str, float],
) -> str:
    """Renders latency histograms in the exposition format.

    Args:
      name: Name of the metric.
      label: Name of the label that distinguishes the histograms.
      latencies: Histograms of latencies in microseconds by label value.
      sums_s: Sums of the latencies by label value.
    """
    lines = [
        f"# HELP {name} Time from receipt of a caller request to its answer.",
        f"# TYPE {name} histogram",
    ]
    for value, latency in sorted(latencies.items()):
        total = latency.get_total_count()
        for bound_s, count in _cumulative_counts(latency):
            labels = {label: value, "le": _number_text(bound_s)}
            lines.append(f"{name}_bucket{_label_text(labels)} {count}")
        infinite = _label_text({label: value, "le": "+Inf"})
        lines.append(f"{name}_bucket{infinite} {total}")
        text = _label_text({label: value})
        lines.append(f"{name}_sum{text} {_number_text(sums_s[value])}")
        lines.append(f"{name}_count{text} {total}")
    return "\n".join(lines) + "\n"


def _cumulative_counts(
    latency: histogram.HdrHistogram,
) -> list[tuple[float, int]]:
    recorded = [
        (item.value_iterated_to, item.count_added_in_this_iter_step)
        for item in latency.get_recorded_iterator()
    ]
    return [
        (
            bound_s,
            sum(count for value, count in recorded if value <= bound_s * 1e6),
        )
        for bound_s in LATENCY_BOUNDS_S
    ]


def _label_text(labels: Labels) -> str:
    parts = [f'{name}="{_escape(value)}"' for name, value in labels.items()]
    return "{" + ",".join(parts) + "}" if parts else ""


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _number_text(value: float) -> str:
    return repr(value)
