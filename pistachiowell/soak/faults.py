"""Injects the faults of a plan into a fleet; one function for each kind of ``Fault``.

``FAULTS`` are what servers, operators and surges do. ``FAILURES`` are failures of
processes, of links and of the store; the oracles are told of their times, as they may
excuse what gateways do.
"""

import signal
import time
from dataclasses import replace
from pathlib import Path

import anyio

from pistachiowell.core.registry import Registry
from pistachiowell.soak.program_processes import RESTART_DELAY_S
from pistachiowell.standins.relay import LinkState

FAULTS = Registry("fault")
FAILURES = Registry("failure")
FAULT_FREE_LINK = LinkState()
LINK_STATES = {
    "cut": LinkState(cut=True),
    "delay": LinkState(delay_s=0.15),
    "drop_up": LinkState(drop_up=True),
    "drop_down": LinkState(drop_down=True),
    "silent": LinkState(drop_up=True, drop_down=True),
}


def has_connections(port):
    """Returns whether a loopback port has established connections.

    References:
        proc_pid_net(5): the file ``tcp``.
    """
    lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    fields = (line.split() for line in lines)
    return any(f[1].endswith(f":{port:04X}") and f[3] == "01" for f in fields)


async def inject(fleet, fault):
    """Injects a fault and ends it after its duration.

    A killed or stopped process is started again after ``RESTART_DELAY_S``, unless an
    overlapping fault has done so.

    Args:
        fleet: The ``Fleet``.
        fault: The ``Fault``.
    """
    if fault.kind in FAULTS:
        await FAULTS.find(fault.kind)(fleet, fault)
        return
    duration_s = fault.duration_s + RESTART_DELAY_S
    now = time.monotonic()
    # While the store is about to return from a copy, nothing is in trouble.
    if fault.kind != "return":
        target = "agents" if fault.kind == "loss" else fault.target
        fleet.places.record_trouble(target, now, now + duration_s)
    fleet.closing.record_fault(fault.target.removeprefix("server-"), duration_s)
    await FAILURES.find(fault.kind)(fleet, fault)


@FAULTS.add("leave")
async def _leave(fleet, fault):
    await fleet.let_leave(fault.target, fault.duration_s)


@FAULTS.add("full")
async def _fill(fleet, fault):
    until = time.monotonic() + fault.duration_s
    fleet.server_states[fault.target].paused_until = until


@FAULTS.add("endless")
async def _send_endless_answers(fleet, fault):
    until = time.monotonic() + fault.duration_s
    fleet.server_states[fault.target].endless_until = until


@FAULTS.add("double")
async def _send_double_answers(fleet, fault):
    until = time.monotonic() + fault.duration_s
    fleet.server_states[fault.target].double_until = until


@FAULTS.add("evacuate")
async def _evacuate(fleet, fault):
    await fleet.evacuate(fault.target, fault.duration_s)


@FAULTS.add("cold")
async def _start_cold(fleet, fault):
    name, away_s = fault.target, fault.duration_s
    fleet.closing.record_fault(name, away_s)
    await fleet.start_cold(name, away_s, is_removed=fault.mode == "join")


@FAULTS.add("silence")
async def _fall_silent(fleet, fault):
    """Withholds what a server sends; nobody is excused but for what it says itself."""
    link = fleet.links[f"server-{fault.target}"]
    if link.state != FAULT_FREE_LINK:
        return
    fleet.closing.record_fault(fault.target, fault.duration_s)
    silent = LINK_STATES["drop_down"]
    link.set_state(silent)
    await anyio.sleep(fault.duration_s)
    if link.state is silent:
        link.set_state(FAULT_FREE_LINK)


@FAULTS.add("change")
async def _change_configuration(fleet, fault):
    await fleet.change_configuration(fault.duration_s)


@FAULTS.add("kill_receiver")
async def _kill_receiver(fleet, fault):
    """Kills a gateway while it serves what another one relays, if it ever does."""
    until = time.monotonic() + fault.duration_s
    while time.monotonic() < until:
        if has_connections(fleet.relay_ports[fault.target]):
            fleet.places.receivers_killed += 1
            await inject(fleet, replace(fault, kind="kill", duration_s=0.0))
            return
        await anyio.sleep(0.01)


@FAILURES.add("store")
async def _fail_store(fleet, fault):
    fleet.store.mode = fault.mode
    await anyio.sleep(fault.duration_s)
    fleet.store.mode = "up"


@FAILURES.add("return")
async def _return_from_copy(fleet, fault):
    copy = fleet.store.take_copy()
    await anyio.sleep(fault.duration_s)
    fleet.store.return_from_copy(copy)
    fleet.write_again()


@FAILURES.add("loss")
async def _lose_agents(fleet, fault):
    agents = fleet.processes.names_of("agent")
    for name in agents:
        await fleet.processes.terminate(name, signal.SIGKILL)
    await anyio.sleep(fault.duration_s)
    for name in agents:
        fleet.processes.start_if_exited(name)


@FAILURES.add("link")
async def _fail_link(fleet, fault):
    relay = fleet.links[fault.target]
    relay.set_state(LINK_STATES[fault.mode])
    await anyio.sleep(fault.duration_s)
    relay.set_state(FAULT_FREE_LINK)


@FAILURES.add("signals")
async def _send_signals(fleet, fault):
    numbers = [signal.Signals[f"SIG{text}"] for text in fault.mode.split(",")]
    await fleet.processes.send_series(fault.target, numbers, fault.duration_s)


@FAILURES.add("pause")
async def _pause(fleet, fault):
    fleet.processes.send_signal(fault.target, signal.SIGSTOP)
    await anyio.sleep(fault.duration_s)
    fleet.processes.send_signal(fault.target, signal.SIGCONT)


@FAILURES.add("kill")
async def _kill(fleet, fault):
    await _restart_after(fleet, fault.target, signal.SIGKILL)


@FAILURES.add("restart")
async def _restart(fleet, fault):
    await _restart_after(fleet, fault.target, signal.SIGTERM)


async def _restart_after(fleet, name, signal_number):
    await fleet.processes.terminate(name, signal_number)
    await anyio.sleep(RESTART_DELAY_S)
    fleet.processes.start_if_exited(name)
