"""Counters, gauges and latency histograms in the Prometheus text format."""

import collections
import typing

from hdrh import histogram

LOWEST_US: typing.Final = 1
HIGHEST_US: typing.Final = 3_600_000_000
SIGNIFICANT_DIGITS: typing.Final = 2
QUANTILES: typing.Final = (50.0, 95.0, 99.0, 100.0)
PREFIX: typing.Final = 'sardinebend'

Labels = tuple[tuple[str, str], ...]
LabelledGauge = typing.Callable[[], typing.Iterable[tuple[Labels, float]]]


class Metrics:
    """The counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        self._labelled_gauges: dict[str, LabelledGauge] = {}
        self._times: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increases a counter."""
        self._counters[name, tuple(sorted(labels.items()))] += amount

    def read(self, name: str, **labels: str) -> int:
        """Returns the value of a counter."""
        return self._counters[name, tuple(sorted(labels.items()))]

    def register_gauge(
        self, name: str, gauge: typing.Callable[[], float]
    ) -> None:
        """Registers a gauge, which is read each time the page is rendered."""
        self._gauges[name] = gauge

    def register_gauges(self, name: str, gauges: LabelledGauge) -> None:
        """Registers gauges of one name that differ in their labels."""
        self._labelled_gauges[name] = gauges

    def record_time(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram."""
        times = self._times.get(name)
        if times is None:
            times = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self._times[name] = times
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        times.record_value(value)

    def render(self) -> str:
        """Returns the metrics page."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f'{PREFIX}_{name}_total{_format(labels)} {value}')
        for name, gauge in sorted(self._gauges.items()):
            lines.append(f'{PREFIX}_{name} {gauge():g}')
        for name, gauges in sorted(self._labelled_gauges.items()):
            for labels, reading in gauges():
                lines.append(f'{PREFIX}_{name}{_format(labels)} {reading:g}')
        for name, times in sorted(self._times.items()):
            for quantile in QUANTILES:
                seconds = times.get_value_at_percentile(quantile) / 1e6
                label = _format((('quantile', f'{quantile / 100:g}'),))
                lines.append(f'{PREFIX}_{name}_seconds{label} {seconds:g}')
            count = times.get_total_count()
            lines.append(f'{PREFIX}_{name}_seconds_count {count}')
        return '\n'.join(lines) + '\n'


def _format(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{key}="{value}"' for key, value in labels)
    return '{' + pairs + '}'
