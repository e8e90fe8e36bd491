"""The command ``account``."""

import msgspec
from absl import flags

from pistachiowell.budgets import bills
from pistachiowell.budgets.journal import COLLECTION as JOURNALS
from pistachiowell.budgets.journal import decode_journal
from pistachiowell.budgets.page import (
    CloseGrant,
    free_tokens,
    granted_tokens,
    page_number,
)
from pistachiowell.core.errors import NotFound
from pistachiowell.ctl.command import FLAGS, Result, command
from pistachiowell.ctl.table_files import require_args
from pistachiowell.router.pages import read_page, update_page

USAGE = "account ACCOUNT [--bill] [--release GRANT]"

flags.DEFINE_bool(
    "bill", False, "account: print each billed request.", flag_values=FLAGS
)
flags.DEFINE_string(
    "release",
    "",
    "account: close a held grant, charged in full, after its VMs are surely gone.",
    flag_values=FLAGS,
)


@command("account", usage=USAGE, example="account osu-parts --bill")
async def account(context, args):
    """Shows an account's credited, charged, granted and free tokens and its grants."""
    require_args(args, 1, 1, USAGE)
    name = args[0]
    number = page_number(name, context.settings.budget_pages)
    if context.flags.release:
        await _close_fenced_grant(context.store, number, name, context.flags.release)
    _, page = await read_page(context.store, number)
    budget = page.accounts.get(name)
    if budget is None:
        raise NotFound(f"Account {name} has no budget; credit tokens with 'topup'.")
    document = _account_document(name, budget)
    lines = [f"Account {name}"]
    lines += [
        f"  {key:9} {document[key]:>14}"
        for key in ("credited", "charged", "granted", "free")
    ]
    lines += [_grant_line(grant) for grant in document["grants"]]
    if context.flags.bill:
        document["bill"] = await _read_bill(context.store, name)
        lines += [f"  bill      {sum(document['bill'].values()):>14}"]
        lines += [f"    {k} {v:>10}" for k, v in sorted(document["bill"].items())]
    return Result(document, "\n".join(lines))


def _account_document(name, budget):
    return {
        "account": name,
        "credited": budget.credited,
        "charged": budget.closed - budget.returned,
        "granted": granted_tokens(budget),
        "free": free_tokens(budget),
        "grants": [
            {"id": grant_id, **msgspec.to_builtins(grant)}
            for grant_id, grant in sorted(budget.grants.items())
        ],
    }


def _grant_line(grant):
    state = "held until every agent answers" if grant["sealing"] else "open"
    return f"  grant {grant['id']} {grant['amount']} tokens, {state}, {grant['holder']}"


async def _read_bill(store, name):
    objects, _ = await store.list(JOURNALS)
    entries = [entry for item in objects for entry in decode_journal(item.value)]
    return bills(entries, name)


async def _close_fenced_grant(store, number, name, grant_id):
    """Closes a grant whose recovery waits for an agent that never answers.

    The whole grant is charged, since the sums of that agent are unknown and closing at
    the known sums could free tokens that were used.
    """

    def close(page):
        budget = page.accounts.get(name)
        grant = budget.grants.get(grant_id) if budget else None
        if grant is None or not grant.sealing:
            raise NotFound(f"Account {name} has no held grant {grant_id}.")
        return [CloseGrant(name, grant_id, grant.amount)]

    await update_page(store, number, close)
