"""The programs on the platform: the gateway and the agent."""

import os
import sys
from types import SimpleNamespace

import anyio

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.core.event_loop import make_event_loop
from pistachiowell.core.logs import configure_logs
from pistachiowell.gateway.agent import GatewayAgent
from pistachiowell.gateway.gateway import Gateway
from pistachiowell.platform import (
    configuration,
    evacuations,
    headers,
    moves,
    servers,
)
from pistachiowell.platform.objects import ObjectStore
from pistachiowell.schema.generated.settings import (
    GatewayAgentSettings,
    GatewaySettings,
)
from pistachiowell.schema.settings import read_settings

SETTINGS_VARIABLE = "PISTACHIOWELL_CONFIG"
EXIT_USAGE = 2

ADAPTER = SimpleNamespace(
    heads=headers,
    moves=moves,
    configuration=configuration,
    evacuations=evacuations,
    servers=servers,
    make_store=ObjectStore,
    ready_path=headers.READY_PATH,
)


PROGRAMS = {
    "gateway": (Gateway, GatewaySettings),
    "agent": (GatewayAgent, GatewayAgentSettings),
}
USAGE = f"Usage: python -m pistachiowell.platform.main {'|'.join(PROGRAMS)}"


async def _serve(program_class, settings):
    store = ObjectStore(settings.store_address)
    try:
        await program_class(settings, store, ADAPTER).run()
    finally:
        with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
            await store.aclose()


def run_named_program():
    """Runs the program named by the argument.

    The environment variable ``PISTACHIOWELL_CONFIG`` names its settings file.
    """
    arguments = sys.argv[1:]
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(USAGE, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    program_class, settings_class = PROGRAMS[arguments[0]]
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if not path:
            raise SettingsInvalid(
                f"Set {SETTINGS_VARIABLE} to the path of the settings file."
            )
        settings = read_settings(path, settings_class)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    configure_logs(settings)
    anyio.run(
        _serve,
        program_class,
        settings,
        backend_options={"loop_factory": make_event_loop},
    )
