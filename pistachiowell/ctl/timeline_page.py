"""The time line as one self-contained HTML page."""

from html import escape

from pistachiowell.ctl.timeline import event_details, event_time

_HEAD = """<!DOCTYPE html>
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
_TAIL = """</table>
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
_FAULTS = (
    "lost",
    "failed",
    "refused",
    "crashed",
    "exhausted",
    "quarantined",
    "unavailable",
)


def timeline_page(events):
    """Returns the page: a row for each event, a lane for each process.

    Args:
        events: Event mappings in causal order.
    """
    lanes = sorted({event["process"] for event in events})
    heads = "".join(f"<th>{escape(lane)}</th>" for lane in lanes)
    rows = "\n".join(_row(event, lanes) for event in events)
    head = f"<thead><tr><th>time (UTC)</th>{heads}</tr></thead>"
    return f"{_HEAD}{head}\n<tbody>\n{rows}\n</tbody>\n{_TAIL}"


def _row(event, lanes):
    stamp = f"{event_time(event)}+{event['logical']}"
    cells = [
        _cell(event) if lane == event["process"] else "<td></td>" for lane in lanes
    ]
    return f'<tr><td class="time">{stamp}</td>{"".join(cells)}</tr>'


def _cell(event):
    kind = event["kind"]
    fault = any(kind.endswith(word) for word in _FAULTS)
    style = "fault" if fault else "event"
    details = escape(event_details(event))
    return f'<td class="{style}">{escape(kind)}<br><small>{details}</small></td>'
