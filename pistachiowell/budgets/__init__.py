"""Prepaid budgets: pages, grants, receipts, fencing and bills.

All classes decide synchronously, without I/O; ``router.spending``, ``router.journal``,
``router.recovery``, ``agent.receipts`` and the commands of ``ctl`` drive them.
"""

from pistachiowell.budgets.fencing import FenceReports
from pistachiowell.budgets.holder import GrantHolder
from pistachiowell.budgets.journal import JournalBatches, bills
from pistachiowell.budgets.page_owner import choose_owner
from pistachiowell.budgets.receipts import ReceiptLedger, Spend, Verdict

__all__ = [
    "FenceReports",
    "GrantHolder",
    "JournalBatches",
    "ReceiptLedger",
    "Spend",
    "Verdict",
    "bills",
    "choose_owner",
]
