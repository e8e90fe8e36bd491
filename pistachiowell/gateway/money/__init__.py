"""Token budgets: owners of pages, reservations, grants and their recovery."""

from pistachiowell.gateway.money.budget_owner import BudgetOwner
from pistachiowell.gateway.money.grant_notices import GrantMemory
from pistachiowell.gateway.money.holder_states import HolderDirectory
from pistachiowell.gateway.money.lost_grants import GrantUseAnswers
from pistachiowell.gateway.money.reservation_checks import ReservationAnswers
from pistachiowell.gateway.money.spending import NO_OWNER_RETRY_AFTER_S, GatewaySpending

__all__ = [
    "BudgetOwner",
    "GatewaySpending",
    "GrantMemory",
    "GrantUseAnswers",
    "HolderDirectory",
    "NO_OWNER_RETRY_AFTER_S",
    "ReservationAnswers",
]
