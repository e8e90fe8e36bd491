"""Measures tables and move decisions at the size of a large fleet.

Run ``python -m pistachiowell.bench.tables``. It runs the real ``Table`` and
``MoveController`` in one process on generated rows and answers, and prints their
memory, processor time and message sizes.
"""

import dataclasses
import hashlib
import json
import sys
import time
import tracemalloc

import msgspec
from absl import flags

from pistachiowell.core.clock import Stamp
from pistachiowell.core.commandline import parse_flags
from pistachiowell.moves import Answer, MoveController
from pistachiowell.schema.generated.messages_moves import (
    AnswerCount,
    MoveCounts,
    MovePermit,
)
from pistachiowell.schema.generated.messages_tables import RowsNotice, RowsReport
from pistachiowell.schema.generated.table import StoredRow
from pistachiowell.tables import Table
from pistachiowell.wire import encode_frame

REPEATS = 200
STAMP = Stamp(1_800_000_000_000_000_000, 1)


def make_rows(accounts, servers, revision=1):
    """Returns generated rows of a table.

    Args:
        accounts: Number of client accounts.
        servers: Number of backend servers.
        revision: Revision of all rows.

    Returns:
        A list of ``StoredRow``: versions, accounts and servers.
    """
    rows = [{"kind": "version", "name": f"v{n}", "model": f"m{n}"} for n in range(8)]
    for number in range(accounts):
        key_hash = hashlib.sha256(str(number).encode()).hexdigest()
        name = f"account-{number}"
        rows.append({"kind": "account", "name": name, "key_hashes": [key_hash]})
    for number in range(servers):
        rows.append(
            {
                "kind": "server",
                "name": f"server-{number}",
                "data_centre": f"dc-{number % 5}",
                "version": f"v{number % 8}",
                "url": f"http://10.0.{number // 250}.{number % 250}:8000",
            }
        )
    changed_at = "2026-12-04T02:00:00Z"
    return [
        StoredRow(1, row, "operator", changed_at, revision, f"change-{'0' * 32}")
        for row in rows
    ]


def frame_bytes(message):
    """Returns the size of a message on a link in bytes."""
    return len(encode_frame(message, 1, STAMP))


def measure_table(accounts, servers):
    """Measures a table of one size.

    Args:
        accounts: Number of client accounts.
        servers: Number of backend servers.

    Returns:
        A mapping with the number of rows, the memory of the table, the sizes of
        messages, the processor time to decode and apply the whole table
        (``first_take_ms``) and the mean one to apply one changed row.
    """
    rows = make_rows(accounts, servers)
    documents = [msgspec.to_builtins(row) for row in rows]
    whole_bytes = frame_bytes(RowsReport(revision=1, rows=documents))
    one_row_bytes = frame_bytes(RowsReport(revision=2, rows=documents[:1]))
    data = msgspec.json.encode(rows)
    tracemalloc.start()
    table = Table()
    started_s = time.process_time()
    table.apply_rows(msgspec.json.decode(data, type=list[StoredRow]), 1)
    first_s = time.process_time() - started_s
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.process_time()
    for revision in range(2, 2 + REPEATS):
        table.apply_rows([dataclasses.replace(rows[10], revision=revision)], revision)
    change_s = (time.process_time() - started_s) / REPEATS
    return {
        "rows": len(rows),
        "memory_mb": round(memory_bytes / 1e6, 1),
        "whole_report_bytes": whole_bytes,
        "one_row_report_bytes": one_row_bytes,
        "notice_bytes": frame_bytes(RowsNotice(123456)),
        "first_take_ms": round(first_s * 1e3, 1),
        "change_ms": round(change_s * 1e3, 2),
    }


def measure_moves(rate_rps):
    """Measures the decisions of a move at a rate of requests on its route.

    Args:
        rate_rps: Requests per second.

    Returns:
        A mapping with the processor time of one decision (``tick_ms``) and the sizes
        of messages.
    """
    controller = MoveController(0.0, 3600.0, 300.0, stage=2)
    for number in range(int(120 * rate_rps)):
        answer = Answer(number % 5 == 0, f"s{number % 6}", "dc", False, number % 20)
        controller.record_answers(answer, number / rate_rps, 1)
    started_s = time.process_time()
    for tick in range(20):
        controller.tick(120.0 + tick)
    tick_s = (time.process_time() - started_s) / 20
    counts = [AnswerCount(f"server-{n}", n % 2 == 0, 0.5, 1) for n in range(4)]
    return {
        "rate_rps": rate_rps,
        "tick_ms": round(tick_s * 1e3, 2),
        "report_bytes": frame_bytes(MoveCounts("chat-2026-12", counts)),
        "permit_bytes": frame_bytes(MovePermit("chat-2026-12", 7, 0.05, 2.0)),
    }


def main():
    """Runs the measurements and prints the figures as JSON."""
    parse_flags(flags.FlagValues(), sys.argv, "Usage: no arguments")
    report = {
        "tables": [measure_table(10, 10), measure_table(6900, 600)],
        "moves": [measure_moves(20), measure_moves(1000)],
    }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
