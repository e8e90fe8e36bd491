"""Merges the events of many processes and formats them."""

import datetime
import heapq

NS_PER_S = 1_000_000_000
ID_FIELDS = ("request", "account", "grant", "move")


def merge_events(lists):
    """Merges event lists into one list in causal order.

    Every message carries the hybrid logical clock of its sender, and the receiver moves
    its own clock past it. So a cause has a smaller stamp than its effect, even if the
    wall clocks of the processes differ. The process name breaks ties.

    Args:
        lists: Lists of event mappings, each sorted by the clock of its process.

    Returns:
        A list of the same mappings.

    Examples:
        >>> one = [{"wall_ns": 1, "logical": 0, "process": "a"}]
        >>> two = [{"wall_ns": 1, "logical": 1, "process": "b"}]
        >>> [event["process"] for event in merge_events([two, one])]
        ['a', 'b']
    """
    return list(heapq.merge(*lists, key=_clock_key))


def _clock_key(event):
    return (event["wall_ns"], event["logical"], event["process"])


def event_time(event):
    """Returns the physical part of an event's stamp in ISO 8601, UTC.

    Examples:
        >>> event_time({"wall_ns": 1_500_000_000})
        '1970-01-01T00:00:01.500000Z'
    """
    seconds, rest = divmod(event["wall_ns"], NS_PER_S)
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{rest // 1000:06d}Z"


def event_details(event):
    """Returns the fields of an event that are set as one line of text."""
    parts = [f"{name}={event[name]}" for name in ID_FIELDS if event[name]]
    if event["table_revision"]:
        parts.append(f"table_revision={event['table_revision']}")
    if event["text"]:
        parts.append(event["text"])
    return " ".join(parts)


def event_line(event):
    """Returns an event as one line of text."""
    stamp = f"{event_time(event)}+{event['logical']}"
    kind = event["kind"]
    return f"{stamp} {event['process']} {kind} {event_details(event)}".rstrip()
