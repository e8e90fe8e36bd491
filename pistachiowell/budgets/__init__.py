"""Prepaid budgets: pages, grants, receipts, sealing and bills.

All classes are synchronous decisions; the drivers are ``router.spending``,
``router.journal``, ``agent.receipts`` and the commands of ``ctl``.
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
