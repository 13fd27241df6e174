"""HTML page of the burn report, without external resources."""

from datetime import datetime
from html import escape

from bulrushloom.telemetry.burn import WINDOW_BY_NAME, BurnRow, Measure, render_table

# More bars would be illegible. The table below the plots lists all accounts.
MAX_PLOTTED_ACCOUNTS = 20
TITLE_BY_MEASURE = {
    Measure.REPLICA_READS: "Reads served by primaries",
    Measure.FAILOVER_GAP: "Failover gap",
    Measure.SERVED_SHARE: "Requests not served",
    Measure.WRONGFUL_REFUSALS: "Requests refused although within the rate limit",
}
_PAGE = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report</title>
<style>
body {{ font-family: sans-serif; margin: 2em; }}
figure {{ margin: 0 0 2em; max-width: 60em; }}
pre {{ background: #f4f4f4; padding: 1em; }}
</style>
</head>
<body>
<h1>Burn report</h1>
<p>{summary}</p>
<p>A burn rate of 1 consumes exactly the error budget.</p>
{figures}
<pre>{table}</pre>
</body>
</html>
"""


def render_page(rows: list[BurnRow], notes: list[str], now: datetime) -> str:
    """Return the page: notes, a plot for each measure, and the table."""
    summary = [f"Generated at {now.isoformat(timespec='seconds')}.", *notes]
    figures = [_figure(measure, rows) for measure in Measure]
    return _PAGE.format(
        summary="<br>\n".join(map(escape, summary)),
        figures="\n".join(figures),
        table=escape(render_table(rows)),
    )


def _figure(measure: Measure, rows: list[BurnRow]) -> str:
    measure_rows = [row for row in rows if row.measure == measure]
    measure_rows.sort(key=_highest_burn_rate, reverse=True)
    return f"<figure>{_plot(measure, measure_rows[:MAX_PLOTTED_ACCOUNTS])}</figure>"


def _plot(measure: Measure, rows: list[BurnRow]) -> str:
    # Imported here, because it takes longer to load than all other libraries and only
    # this command needs it.
    import pygal

    chart = pygal.Bar(
        # The default configuration loads a script from an external host.
        js=[],
        disable_xml_declaration=True,
        title=TITLE_BY_MEASURE[measure],
        y_title="burn rate",
        x_label_rotation=20,
        include_x_axis=True,
        no_data_text="no events",
        height=400,
    )
    chart.x_labels = [row.account for row in rows]
    for window in WINDOW_BY_NAME:
        chart.add(window, [row.burn_by_window[window] for row in rows])
    text: str = chart.render(is_unicode=True)
    return text


def _highest_burn_rate(row: BurnRow) -> float:
    return max((burn or 0.0 for burn in row.burn_by_window.values()), default=0.0)
