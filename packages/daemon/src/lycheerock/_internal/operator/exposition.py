"""Writes metrics in the text exposition format, version 0.0.4."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from hdrh import histogram

from lycheerock._internal.operator import metrics as metrics_lib

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

# Upper bounds of the latency buckets in seconds. 0.15 is the target of the
# size to design for.
LATENCY_BOUNDS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0, 30.0,
)  # fmt: skip

Labels = Mapping[str, str]
Sample = tuple[Labels, float]


@dataclasses.dataclass(frozen=True)
class Family:
    """Samples of one metric.

    Attributes:
      name: Name with the unit as suffix.
      kind: counter or gauge.
      text: What the metric counts.
      samples: Label values and number of each sample.
    """

    name: str
    kind: str
    text: str
    samples: tuple[Sample, ...]


def write(
    metrics: metrics_lib.RequestMetrics, families: Iterable[Family]
) -> str:
    """Writes all metrics of the process.

    Args:
      metrics: Metrics of caller requests.
      families: Metrics of other parts of the process.

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
    """Writes metrics in the exposition format."""
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
        "Caller requests by outcome; each counts once.",
        tuple(
            ({"service": service, "outcome": outcome}, count)
            for service, counts in sorted(metrics.counts.items())
            for outcome, count in sorted(counts.outcomes.items())
        ),
    )
    for name, text in (
        ("covered", "Shards that answers covered."),
        ("lacking", "Shards that answers lacked."),
        ("first_attempts", "First shard requests sent to targets."),
        ("extra_attempts", "Hedges, retries and repeats sent to targets."),
    ):
        noun = name if name.endswith("attempts") else f"{name}_shards"
        yield Family(
            f"lycheerock_{noun}_total",
            "counter",
            text,
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
        "Refused caller requests by kind of error.",
        "kind",
        metrics.refusals,
    )


def counter_family(
    name: str, text: str, label: str, counts: Mapping[str, float]
) -> Family:
    """Builds a counter with one label.

    Args:
      name: Name of the metric.
      text: What it counts.
      label: Name of the label.
      counts: Count by label value.

    Returns:
      The family.
    """
    samples = tuple(
        ({label: value}, count) for value, count in sorted(counts.items())
    )
    return Family(name, "counter", text, samples)


def _family_lines(family: Family) -> Iterator[str]:
    yield f"# HELP {family.name} {_escape_help(family.text)}"
    yield f"# TYPE {family.name} {family.kind}"
    for labels, value in family.samples:
        yield f"{family.name}{_label_text(labels)} {_number_text(value)}"


def render_latencies(
    name: str,
    label: str,
    latencies: Mapping[str, histogram.HdrHistogram],
    sums_s: Mapping[str, float],
) -> str:
    """Writes latency histograms in the exposition format.

    Args:
      name: Name of the metric.
      label: Name of the label that tells the histograms apart.
      latencies: Histograms of microseconds by label value.
      sums_s: Sum of the latencies by label value.
    """
    lines = [
        f"# HELP {name} Time from receipt to answer of caller requests.",
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
