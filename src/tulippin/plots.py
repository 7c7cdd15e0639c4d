"""The comparison as a picture and as one HTML file."""

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
    """Return service tails, throughput and evictions as an SVG picture."""
    # Loaded late: it takes a second that only a report should pay.
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
    for place, (label, getter) in enumerate(tails):
        spots = [index + (place - 1) * width for index in range(len(rows))]
        axes[0].bar(spots, [getter(row) for row in rows], width, label=label)
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
    """Return a comparison as one HTML file without outside parts."""
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
    heads = (
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
    return _render_table(heads, rows)


def _render_differences(comparison: Comparison) -> str:
    heads = ('measure', 'first', 'second', 'pairs', 'mean', '95%', 'decided')
    rows = [
        (
            one.measure,
            one.first,
            one.second,
            one.pair_count,
            f'{one.mean:.4g}',
            f'{one.low:.4g} to {one.high:.4g}',
            'yes' if one.decided else 'no',
        )
        for one in comparison.differences
    ]
    return _render_table(heads, rows)


def _render_table(
    heads: t.Sequence[str], rows: t.Sequence[t.Sequence[object]]
) -> str:
    head = ''.join(f'<th>{name}</th>' for name in heads)
    lines = [
        ''.join(f'<td>{html.escape(str(value))}</td>' for value in row)
        for row in rows
    ]
    body = ''.join(f'<tr>{line}</tr>' for line in lines)
    return f'<table><tr>{head}</tr>{body}</table>'
