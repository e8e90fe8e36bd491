"""Demonstrates the system: starts a small fleet, sends requests and stops it."""

import json
import signal
import subprocess
import sys
import threading
from pathlib import Path

import yaml
from absl import flags

from pistachiowell.bench.plan import MODEL, PLAIN, RigPlan, ServerSpec
from pistachiowell.bench.rig import Rig
from pistachiowell.core.commandline import parse_flags

USAGE = "Usage: bin/quickstart [--keep]"
EXAMPLE = Path(__file__).parents[2] / "examples" / "kwabena.yaml"
DATA_CENTRES = ("osu", "tema")
MODEL_SERVERS = 3
PLAIN_SERVERS = 2
CREDIT_TOKENS = 100_000
API_KEY_PREFIX = "demo-"
CHATS = (
    ("belt-team-a", "Which belt fits the vacuum cleaner of the shop? words=12"),
    ("belt-team-b", "Is there a belt for a 1400 W motor? words=8"),
    ("shop-kumasi", "What does the belt cost? words=6"),
)
RESERVATION_KEY = "reservation-1"


def read_plan(path):
    """Creates a plan from a table file, with stand-ins for some of its servers.

    Args:
        path: Path of a YAML table.

    Returns:
        A ``RigPlan`` with the first model and plain servers of ``DATA_CENTRES``.
    """
    rows = yaml.safe_load(Path(path).read_text(encoding="utf-8"))["rows"]
    servers = [row for row in rows if row["kind"] == "server"]
    others = [row for row in rows if row["kind"] != "server"]
    models = {row["name"]: row["model"] for row in others if row.get("model")}
    local = [row for row in servers if row["data_centre"] in DATA_CENTRES]
    engines = [_server_spec(row, models) for row in local if row["version"] in models]
    plain = [_server_spec(row, {}) for row in local if row["version"] not in models]
    accounts = [row["name"] for row in others if row["kind"] == "account"]
    return RigPlan(
        servers=(*engines[:MODEL_SERVERS], *plain[:PLAIN_SERVERS]),
        accounts=tuple((name, CREDIT_TOKENS) for name in accounts),
        rows=tuple(others),
        api_key_prefix=API_KEY_PREFIX,
    )


def _server_spec(row, models):
    model = models.get(row["version"], "")
    fencing = model and row.get("checks_fencing", False)
    return ServerSpec(
        name=row["name"],
        data_centre=row["data_centre"],
        version=row["version"],
        service=MODEL if model else PLAIN,
        slots=row["slots"],
        flags=("--fencing",) if fencing else (),
        model=model,
    )


def run_demo(rig):
    """Sends requests and prints the answers, the bill and the timeline.

    Args:
        rig: A running ``Rig``.

    Raises:
        AssertionError: An answer or the bill differs from the expected one.
    """
    used = {}
    for number, (account, prompt) in enumerate(CHATS):
        router = rig.routers[number % len(rig.routers)]
        reply = rig.chat(prompt, account=account, router=router)
        assert reply.status == 200, reply
        answer = reply.document
        used[account] = answer["usage"]["total_tokens"]
        print(f"{account}: {prompt}")
        print(f"  {answer['choices'][0]['message']['content']}")
        print(f"  {used[account]} tokens, through {router}")
    _reserve_twice(rig, used)
    rig.wait_until(lambda: rig.bill() == used, f"The bill is {used}.")
    print("\nBill in tokens:")
    for account in sorted(used):
        print(_ctl_text(rig, "account", account, "--bill"), end="")
    print("\nTime line:")
    print(_ctl_text(rig, "timeline"))


def _reserve_twice(rig, used):
    account = "shop-kumasi"
    path = "reservations/belts/1400"
    for attempt in ("reservation", "the same reservation again"):
        reply = rig.service(path, {"count": 1}, RESERVATION_KEY, account=account)
        assert reply.status == 200, reply
        print(f"{account}: {attempt}\n  {reply.body.decode()}")
    assert rig.runs(RESERVATION_KEY) == 1
    rows = {row["name"]: row for row in rig.plan.rows}
    used[account] += rows["reservations"]["cost_tokens"]


def _ctl_text(rig, *words):
    settings = rig.directory / "ctl.yaml"
    command = [sys.executable, "-m", "pistachiowell.ctl.main"]
    command += [f"--settings={settings}", *words]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    return completed.stdout


def addresses(rig):
    """Returns the addresses, process ids and API keys of a rig.

    Args:
        rig: A running ``Rig``.
    """
    accounts = [name for name, _ in rig.plan.accounts]
    return {
        "routers": {name: rig.url(name) for name in rig.routers},
        "servers": {spec.name: rig.url(spec.name) for spec in rig.plan.servers},
        "store": rig.store_url,
        "process_ids": {name: one.pid for name, one in rig.processes.items()},
        "api_keys": {name: rig.plan.api_key_prefix + name for name in accounts},
        "operator_key": rig.operator_key,
        "directory": str(rig.directory),
        "ctl_settings": str(rig.directory / "ctl.yaml"),
    }


def _define_flags():
    values = flags.FlagValues()
    flags.DEFINE_bool(
        "keep",
        False,
        "Stay up until SIGINT or SIGTERM and print all addresses as JSON.",
        flag_values=values,
    )
    return values


def main(argv):
    """Runs the quick start.

    Args:
        argv: Command line.
    """
    values = _define_flags()
    parse_flags(values, argv, USAGE)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _handle_signal(stop_requested, values.keep))
    with Rig(read_plan(EXAMPLE)) as rig:
        if values.keep:
            print(json.dumps(addresses(rig)), flush=True)
            stop_requested.wait()
        else:
            run_demo(rig)


def _handle_signal(stop_requested, keep):
    """Requests the end of a kept fleet; exits at the second signal.

    Without ``--keep`` the first signal exits. The exit unwinds the ``with`` of the
    rig, so that its processes are killed.
    """
    if not keep or stop_requested.is_set():
        sys.exit(1)
    stop_requested.set()
