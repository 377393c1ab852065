"""Writes the results of the benchmark as JSON, and as a page with a plot."""

import html
import json
import pathlib
import typing

JSON_FILE: typing.Final = pathlib.Path('docs/reports/bench.json')
PAGE: typing.Final = pathlib.Path('docs/reports/bench.md')
PLOT: typing.Final = pathlib.Path('docs/reports/bench.svg')

BAR_HEIGHT: typing.Final = 16
BAR_WIDTH: typing.Final = 400
LABEL_WIDTH: typing.Final = 300

Results = dict[str, dict[str, float]]

_COLUMNS: typing.Final = (
    ('delivered_share', 'delivered / bound'),
    ('whole_share', 'kept answers whole'),
    ('not_run', 'refused'),
    ('wasted_share', 'run after the caller left'),
    ('first_p50_s', 'first token p50 (s)'),
    ('first_p95_s', 'p95'),
    ('first_p99_s', 'p99'),
    ('gap_p50_s', 'gap p50 (s)'),
    ('gap_p95_s', 'p95'),
    ('gap_p99_s', 'p99'),
    ('longest_gap_s', 'longest'),
    ('small_first_p99_s', 'small customers, first token p99 (s)'),
    ('last_4s_share', 'last 4 s / bound'),
)

_HEAD: typing.Final = """# Bench

Written by `make bench`: shipped sessions, admission and planners of seven entry
hosts, over 40 fake engines of four kinds in four stages, under a virtual clock
with a fixed seed. The same code gives the same figures on any machine. Ten
customers, two of them large; 70 of 100 callers leave early.

The bound is the maximum flow over the engines' capacities: {bound:.0f}
tokens/s. A share above 1 would show a fault of the bench. *Last run* is the
last committed one. Recovery is read from *longest*: the largest gap between two
tokens at a caller, detection and repair together.

![delivered share of the bound](bench.svg)

"""


def read_previous() -> Results:
    """Returns the results of the last committed run; empty without one."""
    if not JSON_FILE.exists():
        return {}
    return json.loads(JSON_FILE.read_text())


def write(results: Results, previous: Results) -> None:
    """Writes the JSON file, the plot and the page."""
    JSON_FILE.parent.mkdir(parents=True, exist_ok=True)
    rounded = {
        name: {key: round(value, 4) for key, value in numbers.items()}
        for name, numbers in results.items()
    }
    JSON_FILE.write_text(json.dumps(rounded, indent=1) + '\n')
    PLOT.write_text(_render_plot(rounded))
    PAGE.write_text(_render_page(rounded, previous))


def _render_page(results: Results, previous: Results) -> str:
    bound = next(iter(results.values()))['bound_tokens_s']
    titles = [title for _, title in _COLUMNS]
    lines = [
        _HEAD.format(bound=bound) + f'| run | {" | ".join(titles)} |',
        '| --- ' * (len(titles) + 1) + '|',
    ]
    for name, numbers in results.items():
        cells = [
            _render_cell(numbers[key], previous.get(name, {}).get(key))
            for key, _ in _COLUMNS
        ]
        lines.append(f'| {name} | {" | ".join(cells)} |')
    return '\n'.join(lines) + '\n'


def _render_cell(value: float, previous: float | None) -> str:
    text = f'{value:.3g}'
    if previous is None or f'{previous:.3g}' == text:
        return text
    return f'{text} (last run {previous:.3g})'


def _render_plot(results: Results) -> str:
    height = BAR_HEIGHT * len(results) + 10
    width = LABEL_WIDTH + BAR_WIDTH + 60
    rows = []
    for index, (name, numbers) in enumerate(results.items()):
        y = 5 + index * BAR_HEIGHT
        share = numbers['delivered_share']
        rows.append(
            f'<text x="{LABEL_WIDTH - 5}" y="{y + 11}" text-anchor="end">'
            f'{html.escape(name)}</text>'
            f'<rect x="{LABEL_WIDTH}" y="{y + 2}" height="{BAR_HEIGHT - 4}" '
            f'width="{share * BAR_WIDTH:.0f}" fill="#4878a8"/>'
            f'<text x="{LABEL_WIDTH + share * BAR_WIDTH + 4:.0f}" '
            f'y="{y + 11}">{share:.2f}</text>'
        )
    body = '\n'.join(rows)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="sans-serif" font-size="11">\n'
        f'{body}\n</svg>\n'
    )
