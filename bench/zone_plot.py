"""Plot the results of the zone benchmark as SVG."""

COLOURS = {"round-robin": "#b5483a", "thin": "#c29a2b", "hinted": "#2b6f8f"}
PANELS = (
    ("good", "good answers/s"),
    ("not_run", "not run/s"),
    ("p99_ms", "p99 in ms"),
    ("zone_begun", "work begun in the zone/s"),
)
WIDTH, HEIGHT, LEFT, TOP, GAP = 420, 110, 60, 50, 36


def _points(rows, key, top, peak):
    step = WIDTH / max(len(rows) - 1, 1)
    return " ".join(
        f"{i * step:.1f},{top + HEIGHT * (1 - row[key] / peak):.1f}"
        for i, row in enumerate(rows))


def _panel(results, key, title, top, out_at, back_at):
    peak = max((r[key] for result in results for r in result["rows"]),
               default=0) or 1
    seconds = max(len(result["rows"]) for result in results)
    x = [s * WIDTH / max(seconds - 1, 1) for s in (out_at, back_at)]
    parts = [
        f'<rect x="{x[0]:.1f}" y="{top}" width="{x[1] - x[0]:.1f}" '
        f'height="{HEIGHT}" fill="#eee"/>',
        f'<rect x="0" y="{top}" width="{WIDTH}" height="{HEIGHT}" '
        'fill="none" stroke="#999"/>',
        f'<text x="0" y="{top - 5}">{title}</text>',
        f'<text x="-6" y="{top + 8}" text-anchor="end">{peak:.0f}</text>',
        f'<text x="-6" y="{top + HEIGHT}" text-anchor="end">0</text>']
    for result in results:
        parts.append(
            f'<polyline points="{_points(result["rows"], key, top, peak)}" '
            f'fill="none" stroke="{COLOURS[result["policy"]]}"/>')
    return parts


def write_svg(path, all_results, out_at, back_at):
    """Write the plot; all_results maps a deployment to its run results."""
    width = LEFT + len(all_results) * (WIDTH + LEFT) + 20
    height = TOP + len(PANELS) * (HEIGHT + GAP)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
             f'height="{height}" font-family="sans-serif" font-size="11">',
             '<rect width="100%" height="100%" fill="white"/>']
    for column, (deployment, results) in enumerate(all_results.items()):
        parts.append(f'<g transform="translate('
                     f'{LEFT + column * (WIDTH + LEFT)},0)">')
        legend = " ".join(
            f'<tspan fill="{COLOURS[r["policy"]]}">{r["policy"]}</tspan>'
            for r in results)
        parts.append(f'<text y="16">{deployment}: {legend}; '
                     'grey: the zone is out</text>')
        for row, (key, title) in enumerate(PANELS):
            parts += _panel(results, key, title,
                            TOP + row * (HEIGHT + GAP), out_at, back_at)
        parts.append("</g>")
    parts.append("</svg>")
    with open(path, "w", encoding="utf-8") as f:
        f.write("\n".join(parts) + "\n")
