"""A backend server that streams slowly, for tests of planned stops."""

import anyio

from pistachiowell.platform.standins import chunk, event, head

WHOLE_STREAM = event(1) + event(2)


def stream_slowly(stream_s):
    """Returns a script that streams an event at once and another one at the end.

    Args:
        stream_s: Seconds between the two events.
    """

    async def stream_events(request, stream):
        text = head(
            request, Content_Type="text/event-stream", Transfer_Encoding="chunked"
        )
        await stream.send((text + "\r\n").encode() + chunk(event(1)))
        await anyio.sleep(stream_s)
        await stream.send(chunk(event(2)) + b"0\r\n\r\n")
        return True

    return stream_events
