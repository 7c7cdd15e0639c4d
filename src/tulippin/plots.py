"""Rendering of a comparison as an SVG image and as an HTML report."""

from __future__ import annotations

import html
import io
import typing as t

from tulippin.stats import Comparison, PolicyRow

_TITLE: t.Final = 'tulippin: comparison of policies'
_STYLE: t.Final = (
    'body{font-family:sans-serif;max-width:60em;margin:2em auto}'
    'table{border-collapse:collapse;margin:1em 0}'
    'td,th{border:1px solid #ccc;padding:.3em .7em;text-align:right}'
    'td:first-child,th:first-child{text-align:left}'
)


def render_svg(comparison: Comparison) -> str:
    """Return an SVG chart of service latency, throughput and evictions."""
    # Imported here because it takes a second, which only a report needs.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 3.2), layout='constrained')
    axes = figure.subplots(1, 3)
    rows = comparison.rows
    names = [row.policy for row in rows]
    width = 0.27
    tails: tuple[tuple[str, t.Callable[[PolicyRow], float]], ...] = (
        ('p50', lambda row: row.p50_ms),
        ('p99', lambda row: row.p99_ms),
        ('p999', lambda row: row.p999_ms),
    )
    for position, (label, getter) in enumerate(tails):
        bar_positions = [
            index + (position - 1) * width for index in range(len(rows))
        ]
        axes[0].bar(
            bar_positions, [getter(row) for row in rows], width, label=label
        )
    axes[0].set_title('service latency, ms')
    axes[0].legend()
    axes[1].bar(range(len(rows)), [row.done_count for row in rows])
    axes[1].set_title('batch tasks done')
    axes[2].bar(range(len(rows)), [row.evicted_count for row in rows])
    axes[2].set_title('evictions')
    for axis in axes:
        axis.set_xticks(range(len(rows)), names)
    stream = io.StringIO()
    figure.savefig(stream, format='svg', metadata={'Date': None})
    text = stream.getvalue()
    return text[text.index('<svg') :]


def render_report(comparison: Comparison) -> str:
    """Return a comparison as a self-contained HTML page."""
    parts = [
        f'<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>{_TITLE}</title><style>{_STYLE}</style>',
        f'<h1>{_TITLE}</h1>',
        f'<p><strong>{html.escape(comparison.verdict)}</strong></p>',
        _render_rows(comparison),
        render_svg(comparison) if comparison.rows else '',
        _render_differences(comparison),
    ]
    if comparison.missing:
        missing = html.escape(', '.join(comparison.missing))
        parts.append(f'<p>Without the figures of: {missing}</p>')
    return '\n'.join(parts)


def _render_rows(comparison: Comparison) -> str:
    headings = (
        'policy',
        'requests',
        'p50 ms',
        'p99 ms',
        'p999 ms',
        'over target',
        'batch done',
        'evictions',
        'wasted s',
        'weighted cost',
    )
    rows = [
        (
            row.policy,
            row.request_count,
            f'{row.p50_ms:.2f}',
            f'{row.p99_ms:.2f}',
            f'{row.p999_ms:.2f}',
            row.over_target_count,
            row.done_count,
            row.evicted_count,
            f'{row.wasted_ms / 1000:.1f}',
            f'{row.weighted_cost:.2f}',
        )
        for row in comparison.rows
    ]
    return _render_table(headings, rows)


def _render_differences(comparison: Comparison) -> str:
    headings = ('measure', 'first', 'second', 'pairs', 'mean', '95%', 'decided')
    rows = [
        (
            difference.measure,
            difference.first,
            difference.second,
            difference.pair_count,
            f'{difference.mean:.4g}',
            f'{difference.low:.4g} to {difference.high:.4g}',
            'yes' if difference.decided else 'no',
        )
        for difference in comparison.differences
    ]
    return _render_table(headings, rows)


def _render_table(
    headings: t.Sequence[str], rows: t.Sequence[t.Sequence[object]]
) -> str:
    header_cells = ''.join(f'<th>{name}</th>' for name in headings)
    lines = [
        ''.join(f'<td>{html.escape(str(value))}</td>' for value in row)
        for row in rows
    ]
    body = ''.join(f'<tr>{line}</tr>' for line in lines)
    return f'<table><tr>{header_cells}</tr>{body}</table>'
