"""Decodes an engine's report of its load."""

import msgspec

PATH = "/pistachiowell/report"


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of a model engine.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait.
        kv_tokens: Memory that cannot be freed, in tokens.
    """

    running: int = msgspec.field(default=0, name="Active")
    waiting: int = msgspec.field(default=0, name="Queued")
    kv_tokens: int = msgspec.field(default=0, name="KvUsed")


def decode_load(value):
    """Returns the ``EngineLoad`` of a report as bytes.

    Raises:
        msgspec.MsgspecError: The report cannot be read.
    """
    return msgspec.json.decode(value, type=EngineLoad)
