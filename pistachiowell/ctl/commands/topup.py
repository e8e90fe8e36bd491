"""The command ``topup``."""

import anyio
from absl import flags

from pistachiowell.budgets.page import TopUp, free_tokens, page_number
from pistachiowell.core.errors import BudgetUnreachable, InvalidRequest
from pistachiowell.core.ids import new_id
from pistachiowell.ctl.command import FLAGS, Result, command
from pistachiowell.ctl.table_files import require_args
from pistachiowell.router.pages import update_page

USAGE = "topup ACCOUNT TOKENS [--id ID]"
MAX_TRIES = 10
RETRY_DELAY_S = 0.3

flags.DEFINE_string(
    "id",
    "",
    "topup: id of the payment; the same id is credited once.",
    flag_values=FLAGS,
)


@command("topup", usage=USAGE, example="topup osu-parts 100000 --id invoice-17")
async def topup(context, args):
    """Credits tokens to an account; a negative number withdraws free tokens."""
    require_args(args, 2, 2, USAGE)
    name, tokens = args[0], parse_tokens(args[1])
    change = TopUp(name, context.flags.id or new_id("topup"), tokens)
    number = page_number(name, context.settings.budget_pages)
    page = await _write_with_retries(context, number, change)
    account = page.accounts[name]
    document = {
        "account": name,
        "id": change.top_up_id,
        "credited": account.credited,
        "free": free_tokens(account),
    }
    text = f"Account {name}: {account.credited} tokens credited in all."
    return Result(document, text)


def parse_tokens(text):
    """Parses a number of tokens.

    Raises:
        InvalidRequest: The text is not a whole number, or the number is zero.

    Examples:
        >>> parse_tokens("-5")
        -5
    """
    try:
        tokens = int(text)
    except ValueError as error:
        raise InvalidRequest(f"{text!r} is not a whole number of tokens.") from error
    if tokens == 0:
        raise InvalidRequest("The number of tokens must not be zero.")
    return tokens


async def _write_with_retries(context, number, change):
    """Writes the change, with up to ``MAX_TRIES`` tries; its id makes it idempotent."""
    for _ in range(MAX_TRIES):
        try:
            return await update_page(context.store, number, lambda _: [change])
        except BudgetUnreachable as error:
            last_error = error
            await anyio.sleep(RETRY_DELAY_S)
    raise last_error
