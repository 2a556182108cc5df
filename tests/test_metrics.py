"""Tests of the metrics of caller requests and their exposition format."""

import re

from hdrh import histogram
import pytest

from lycheerock._internal.operator import exposition
from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock._internal.query import metrics as query_metrics

SAMPLE_LINE = re.compile(
    r'^[a-z_]+(\{[a-z]+="([^"\\]|\\.)*"(,[a-z]+="([^"\\]|\\.)*")*\})? \S+$'
)


def observe(
    metrics: metrics_lib.RequestMetrics,
    *,
    service: str = "portal",
    caller: str = "web",
    elapsed_s: float = 0.004,
    extra_attempt_count: int = 2,
) -> None:
    metrics.observe_request(
        query_metrics.RequestSummary(
            service, caller, "done", elapsed_s, 5, 1, 6, extra_attempt_count
        )
    )


class TestRequestMetrics:
    """Counters and latency histograms of caller requests."""

    def test_attempts_are_not_counted_as_requests(self) -> None:
        # Guards against counting hedges and retries as caller requests.
        metrics = metrics_lib.RequestMetrics()
        observe(metrics, extra_attempt_count=7)
        assert metrics.counts["portal"].outcomes == {"done": 1}
        assert metrics.counts["portal"].extra_attempts == 7
        assert metrics.latencies["portal"].get_total_count() == 1

    def test_label_values_are_bounded(self) -> None:
        # Guards against unbounded metrics when services or callers change.
        metrics = metrics_lib.RequestMetrics(label_values_max=3)
        for number in range(50):
            observe(metrics, service=f"s{number}", caller=f"c{number}")
        assert len(metrics.counts) == 4
        assert len(metrics.latencies) == 4
        assert metrics.requests_by_caller[metrics_lib.OTHER_LABEL] == 47

    def test_requests_without_names_are_counted_as_unknown(self) -> None:
        # Guards against missing counts of requests that are refused before
        # their service or caller is known.
        metrics = metrics_lib.RequestMetrics()
        observe(metrics, service="", caller="")
        assert metrics.counts["_unknown"].outcomes == {"done": 1}
        assert metrics.requests_by_caller == {"_unknown": 1}

    @pytest.mark.parametrize("elapsed_s", [-1.0, 0.0, 5_000.0])
    def test_out_of_range_latency_is_recorded(self, elapsed_s: float) -> None:
        # Guards against dropping samples outside the histogram range.
        metrics = metrics_lib.RequestMetrics()
        observe(metrics, elapsed_s=elapsed_s)
        assert metrics.latencies["portal"].get_total_count() == 1

    def test_histograms_of_instances_can_be_merged(self) -> None:
        # Guards against statistics that cannot be merged into quantiles over
        # several instances.
        first, second = (
            metrics_lib.RequestMetrics(),
            metrics_lib.RequestMetrics(),
        )
        for _ in range(99):
            observe(first, elapsed_s=0.001)
        observe(second, elapsed_s=1.0)
        merged = metrics_lib.new_histogram()
        for metrics in (first, second):
            encoded = metrics.statistics()["portal"]["histogram"]
            merged.add(histogram.HdrHistogram.decode(encoded))
        assert merged.get_total_count() == 100
        quantiles = metrics_lib.quantiles_ms(merged)
        assert quantiles["p99"] == pytest.approx(1.0, rel=0.02)
        assert quantiles["p99.9"] == pytest.approx(1000.0, rel=0.02)


class TestExposition:
    """The Prometheus text exposition format."""

    def test_every_line_is_a_comment_or_a_sample(self) -> None:
        # Guards against unescaped label values, which a scraper would reject.
        metrics = metrics_lib.RequestMetrics()
        observe(metrics, caller='a"b\\c\nd')
        metrics.observe_refusal("overloaded")
        for line in exposition.render(metrics, ()).splitlines():
            assert line.startswith("# ") or SAMPLE_LINE.match(line), line

    def test_buckets_are_cumulative_up_to_the_count(self) -> None:
        # Guards against buckets that omit the samples of lower buckets.
        metrics = metrics_lib.RequestMetrics()
        for elapsed_s in (0.002, 0.002, 0.02, 45.0):
            observe(metrics, elapsed_s=elapsed_s)
        text = exposition.render(metrics, ())
        prefix = "lycheerock_request_duration_seconds_"
        label = 'service="portal"'
        assert f'{prefix}bucket{{{label},le="0.0025"}} 2\n' in text
        assert f'{prefix}bucket{{{label},le="0.025"}} 3\n' in text
        assert f'{prefix}bucket{{{label},le="30.0"}} 3\n' in text
        assert f'{prefix}bucket{{{label},le="+Inf"}} 4\n' in text
        assert f"{prefix}count{{{label}}} 4\n" in text

    def test_shards_and_attempts_are_rendered(self) -> None:
        # Guards against metrics that omit the extra load on targets.
        metrics = metrics_lib.RequestMetrics()
        observe(metrics)
        text = exposition.render(metrics, ())
        for line in (
            'lycheerock_requests_total{service="portal",outcome="done"} 1',
            'lycheerock_covered_shards_total{service="portal"} 5',
            'lycheerock_lacking_shards_total{service="portal"} 1',
            'lycheerock_first_attempts_total{service="portal"} 6',
            'lycheerock_extra_attempts_total{service="portal"} 2',
            'lycheerock_caller_requests_total{caller="web"} 1',
        ):
            assert line + "\n" in text
