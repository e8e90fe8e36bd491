"""Claims of idempotency keys, so that requests run at most once."""

from pistachiowell.claims.bucket import Bucket, DeletePage, ReadPage, WritePage
from pistachiowell.claims.keys import (
    body_digest,
    bucket_of,
    key_digest,
    preferred_agents,
)
from pistachiowell.claims.table import ClaimTable, Decision, KeptAnswer, RecordState

__all__ = [
    "Bucket",
    "ClaimTable",
    "Decision",
    "DeletePage",
    "KeptAnswer",
    "ReadPage",
    "RecordState",
    "WritePage",
    "body_digest",
    "bucket_of",
    "key_digest",
    "preferred_agents",
]
