"""Checks which processes of the fleet have applied a table revision."""

from dataclasses import dataclass

import anyio
import msgspec

from pistachiowell.core.errors import STORE_ERRORS, PistachiowellError
from pistachiowell.ctl.command import gather
from pistachiowell.schema.generated.messages_control import StatusQuery, StatusReport
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord

POLL_INTERVAL_S = 0.3


@dataclass(frozen=True, slots=True)
class RevisionCoverage:
    """Which processes have applied a table revision.

    Attributes:
        revision: The table revision.
        present: Names of the processes that have this revision or a later one.
        missing: Names of the processes that have an older one or did not answer.
    """

    revision: int
    present: list
    missing: list

    @property
    def complete(self):
        """Whether every registered process has the revision."""
        return not self.missing

    @property
    def document(self):
        """The report as a JSON document."""
        return {"revision": self.revision, "have": self.present, "lack": self.missing}

    @property
    def text(self):
        """The report as a sentence."""
        total = len(self.present) + len(self.missing)
        text = f"In force on {len(self.present)} of {total}."
        return f"{text} Missing: {', '.join(self.missing)}." if self.missing else text


async def list_processes(store):
    """Returns the registered routers and agents.

    Args:
        store: The platform's store.

    Returns:
        A sorted list of ``(name, host, port)``.
    """
    found = []
    entries, _ = await store.list("routers")
    for entry in entries:
        record = msgspec.json.decode(entry.value, type=RouterRecord)
        found.append((record.id, record.peer_host, record.peer_port))
    entries, _ = await store.list("agents")
    for entry in entries:
        record = msgspec.json.decode(entry.value, type=AgentRecord)
        found.append((record.id, record.host, record.port))
    return sorted(found)


async def check_coverage(context, revision):
    """Checks once which registered processes have a revision.

    Args:
        context: The ``Context``.
        revision: Table revision.

    Returns:
        A ``RevisionCoverage``.
    """
    processes = await list_processes(context.store)

    async def check_process(process):
        name, host, port = process
        try:
            report = await context.call(host, port, StatusQuery())
        except (PistachiowellError, ExceptionGroup):
            return name, False
        has_revision = (
            isinstance(report, StatusReport) and report.table_revision >= revision
        )
        return name, has_revision

    results = await gather(check_process, processes)
    present = [name for name, has_revision in results if has_revision]
    missing = [name for name, has_revision in results if not has_revision]
    return RevisionCoverage(revision, present, missing)


async def wait_for_coverage(context, revision, timeout_s):
    """Waits until every registered process has a revision, or until a timeout.

    A check that fails because the store is unavailable is repeated.

    Args:
        context: The ``Context``.
        revision: Table revision.
        timeout_s: Maximum wait in seconds.

    Returns:
        The latest ``RevisionCoverage``; without any process if no check succeeded.
    """
    report = RevisionCoverage(revision, [], [])
    with anyio.move_on_after(timeout_s):
        while True:
            try:
                report = await check_coverage(context, revision)
                if report.complete:
                    return report
            except STORE_ERRORS:
                pass
            await anyio.sleep(POLL_INTERVAL_S)
    return report
