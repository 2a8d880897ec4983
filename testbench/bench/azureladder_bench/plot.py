"""Draws the time series of the runs as an SVG image."""

import html

WIDTH = 900
PANEL_HEIGHT = 180
MARGIN_LEFT = 70
MARGIN_RIGHT = 20
GAP = 50
COLORS = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"]
PANELS = [("successful calls per second", "ok"), ("failed calls per second", "failed"),
          ("largest p99 of a service in ms", "p99")]
US_PER_MS = 1000


def series_by_second(report):
    """Per second of the schedule: ok, failed and the largest p99 of a service."""
    series = {}
    for point in report["series"]:
        one = series.setdefault(point["second"], {"ok": 0, "failed": 0, "p99": 0.0})
        one["ok"] += point["ok"]
        one["failed"] += point["failed"]
        one["p99"] = max(one["p99"], point["latency_us"]["p99"] / US_PER_MS)
    return series


class Panel:
    """One coordinate system."""

    def __init__(self, index, title, last_second, highest):
        self.top = 30 + index * (PANEL_HEIGHT + GAP)
        self.title = title
        self.last_second = max(last_second, 1)
        self.highest = highest or 1

    def x(self, second):
        """Horizontal position of a time."""
        return MARGIN_LEFT + second / self.last_second * (WIDTH - MARGIN_LEFT - MARGIN_RIGHT)

    def y(self, value):
        """Vertical position of a value."""
        return self.top + PANEL_HEIGHT * (1 - min(value / self.highest, 1))

    def frame(self):
        """Axes with their labels."""
        bottom = self.top + PANEL_HEIGHT
        yield (f'<rect x="{MARGIN_LEFT}" y="{self.top}" height="{PANEL_HEIGHT}" '
               f'width="{WIDTH - MARGIN_LEFT - MARGIN_RIGHT}" fill="none" stroke="#888"/>')
        yield f'<text x="{MARGIN_LEFT}" y="{self.top - 6}">{html.escape(self.title)}</text>'
        for share in (0, 0.5, 1):
            value = self.highest * share
            yield (f'<text x="{MARGIN_LEFT - 6}" y="{self.y(value) + 4:.1f}" '
                   f'text-anchor="end">{value:.4g}</text>')
        step = max(1, round(self.last_second / 10))
        for second in range(0, int(self.last_second) + 1, step):
            yield (f'<text x="{self.x(second):.1f}" y="{bottom + 14}" '
                   f'text-anchor="middle">{second} s</text>')

    def line(self, points, color):
        """A line through (second, value) points."""
        text = " ".join(f"{self.x(second):.1f},{self.y(value):.1f}" for second, value in points)
        return f'<polyline points="{text}" fill="none" stroke="{color}" stroke-opacity="0.8"/>'

    def mark(self, action):
        """A vertical line at an action of the timeline."""
        x = self.x(action["started_s"])
        label = html.escape(action["action"])
        return (f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{self.top}" '
                f'y2="{self.top + PANEL_HEIGHT}" stroke="#555" stroke-dasharray="4 3"/>'
                f'<text x="{x + 3:.1f}" y="{self.top + 12}" fill="#555">{label}</text>')


def legend(variants):
    """Names of the variants in their colors."""
    for index, name in enumerate(variants):
        yield (f'<text x="{WIDTH - MARGIN_RIGHT}" y="{24 + 14 * index}" text-anchor="end" '
               f'fill="{COLORS[index % len(COLORS)]}">{html.escape(name)}</text>')


def draw(title, runs):
    """SVG text with one line for each run; runs of a variant have the same color."""
    variants = list(dict.fromkeys(run["variant"] for run in runs))
    series = [(variants.index(run["variant"]), series_by_second(run["load"])) for run in runs]
    last = max((max(one, default=0) for _, one in series), default=0)
    height = 30 + len(PANELS) * (PANEL_HEIGHT + GAP)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
             'font-family="sans-serif" font-size="11">',
             '<rect width="100%" height="100%" fill="white"/>',
             f'<text x="{MARGIN_LEFT}" y="12" font-weight="bold">{html.escape(title)}</text>']
    for index, (name, field) in enumerate(PANELS):
        highest = max((point[field] for _, one in series for point in one.values()), default=0)
        panel = Panel(index, name, last, highest)
        parts.extend(panel.frame())
        parts.extend(panel.mark(action) for action in runs[0]["timeline"])
        for variant, one in series:
            points = [(second, one[second][field]) for second in sorted(one)]
            parts.append(panel.line(points, COLORS[variant % len(COLORS)]))
    parts.extend(legend(variants))
    parts.append("</svg>")
    return "\n".join(parts) + "\n"
