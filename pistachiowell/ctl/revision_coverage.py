"""Where a table revision is in force."""

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
    """Processes that have a revision and those that do not.

    Attributes:
        revision: The table revision asked for.
        present: Names of the processes that have it.
        missing: Names of the processes that lack it or did not answer.
    """

    revision: int
    present: list
    missing: list

    @property
    def complete(self):
        """Whether every registered process has it."""
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
    """Lists the registered processes.

    Args:
        store: The platform's store.

    Returns:
        A list of ``(name, host, port)``.
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
    """Asks every registered process once.

    Args:
        context: The ``Context``.
        revision: Table revision.

    Returns:
        An ``InForce``.
    """
    processes = await list_processes(context.store)

    async def ask(process):
        name, host, port = process
        try:
            report = await context.call(host, port, StatusQuery())
        except (PistachiowellError, ExceptionGroup):
            return name, False
        has_it = isinstance(report, StatusReport) and report.table_revision >= revision
        return name, has_it

    answers = await gather(ask, processes)
    present = [name for name, has_it in answers if has_it]
    missing = [name for name, has_it in answers if not has_it]
    return RevisionCoverage(revision, present, missing)


async def wait_for_coverage(context, revision, timeout_s):
    """Asks until every registered process has a revision or the time is over.

    Args:
        context: The ``Context``.
        revision: Table revision.
        timeout_s: Longest wait in seconds.

    Returns:
        The latest ``InForce``.
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
