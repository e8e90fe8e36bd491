"""Renders the timeline as one self-contained HTML page."""

from html import escape

from pistachiowell.ctl.timeline import event_details, event_time

_PAGE_START = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>pistachiowell time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { border-left: 1px solid #ccc; padding: 1px 6px; vertical-align: top; }
td.time { white-space: nowrap; font-family: monospace; }
td.event { background: #eef4ee; }
td.fault { background: #f8e0dc; }
small { color: #555; word-break: break-all; }
input { width: 30em; margin-bottom: 1em; }
</style>
</head>
<body>
<h1>Time line</h1>
<input id="filter" placeholder="Show only rows with this text">
<table>
"""
_PAGE_END = """</table>
<script>
const filter = document.getElementById("filter");
filter.addEventListener("input", () => {
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.includes(filter.value);
  }
});
</script>
</body>
</html>
"""
_FAULT_SUFFIXES = (
    "lost",
    "failed",
    "refused",
    "crashed",
    "exhausted",
    "quarantined",
    "unavailable",
)


def timeline_page(events):
    """Returns the HTML page with a row for each event and a column for each process.

    Args:
        events: Event mappings in causal order.
    """
    processes = sorted({event["process"] for event in events})
    heads = "".join(f"<th>{escape(process)}</th>" for process in processes)
    rows = "\n".join(_row(event, processes) for event in events)
    head = f"<thead><tr><th>time (UTC)</th>{heads}</tr></thead>"
    return f"{_PAGE_START}{head}\n<tbody>\n{rows}\n</tbody>\n{_PAGE_END}"


def _row(event, processes):
    stamp = f"{event_time(event)}+{event['logical']}"
    cells = [
        _cell(event) if process == event["process"] else "<td></td>"
        for process in processes
    ]
    return f'<tr><td class="time">{stamp}</td>{"".join(cells)}</tr>'


def _cell(event):
    kind = event["kind"]
    fault = any(kind.endswith(word) for word in _FAULT_SUFFIXES)
    style = "fault" if fault else "event"
    details = escape(event_details(event))
    return f'<td class="{style}">{escape(kind)}<br><small>{details}</small></td>'
