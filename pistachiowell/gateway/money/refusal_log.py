"""Log lines and metrics of the refusals of accounts."""

from dataclasses import asdict

from pistachiowell.budgets.balance import other_holders, token_balance
from pistachiowell.core.errors import OwnerUnready
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.objects_budgets import BudgetAccount

# Refusals of an account within this time share one log line.
LOG_INTERVAL_S = 0.3

_log = part_logger("budgets")


class RefusalLog:
    """Records each refusal with where the tokens of its account are.

    Args:
        runtime: The process's ``Runtime``.
        holder: The ``GrantHolder``.
        pages: The ``GrantPages``.
        states: The ``HolderStates``.
    """

    __slots__ = ("_holder", "_pages", "_runtime", "_states", "_unlogged")

    def __init__(self, runtime, holder, pages, states):
        self._runtime = runtime
        self._holder = holder
        self._pages = pages
        self._states = states
        self._unlogged = {}

    def record(self, message, error):
        """Records a refusal.

        An owner that is not ready refuses nothing: the gateway asks the next one, and
        reports the error itself if there is none.

        Args:
            message: The refused ``ReserveTokens``.
            error: The error that the gateway gets.
        """
        metrics = self._runtime.metrics
        metrics.count(f"budgets.refused.{error.code}")
        key, now = (message.account, str(error.code)), self._runtime.now()
        unlogged, logged_at = self._unlogged.get(key, (0, float("-inf")))
        if now - logged_at < LOG_INTERVAL_S:
            self._unlogged[key] = (unlogged + 1, logged_at)
            return
        self._unlogged[key] = (0, now)
        places = asdict(self._balance(message.account))
        for place, tokens in places.items():
            metrics.gauge(f"budgets.at_refusal.{place}", tokens)
        is_refused = not isinstance(error, OwnerUnready)
        _log.log(
            "WARNING" if is_refused else "INFO",
            "Account refused." if is_refused else "Reservation left to another owner.",
            request=message.request_id,
            account=message.account,
            code=str(error.code),
            ran="no",
            cause=error.message,
            tokens=message.tokens,
            unlogged=unlogged,
            **places,
        )

    def _balance(self, name):
        page = self._pages.page_of(name).page
        account = page.accounts.get(name, BudgetAccount())
        ledger = self._holder.ledger(name)
        self._states.ask(other_holders(account, ledger))
        return token_balance(account, ledger, self._states.is_registered)
