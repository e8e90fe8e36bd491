"""The gateway program on the users' platform."""

import os
import sys
from types import SimpleNamespace

import anyio

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.core.logs import configure_logs
from pistachiowell.gateway.gateway import Gateway
from pistachiowell.platform import configuration, headers, servers
from pistachiowell.platform.objects import ObjectStore
from pistachiowell.schema.generated.settings import GatewaySettings
from pistachiowell.schema.settings import read_settings

SETTINGS_VARIABLE = "PISTACHIOWELL_CONFIG"
EXIT_USAGE = 2

ADAPTER = SimpleNamespace(
    heads=headers,
    configuration=configuration,
    servers=servers,
    ready_path=headers.READY_PATH,
)


async def _serve(settings):
    store = ObjectStore(settings.store_address)
    try:
        await Gateway(settings, store, ADAPTER).run()
    finally:
        with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
            await store.aclose()


def run():
    """Starts the gateway with the settings file that the platform names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if not path:
            raise SettingsInvalid(f"{SETTINGS_VARIABLE} names no settings file.")
        settings = read_settings(path, GatewaySettings)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    configure_logs(settings)
    anyio.run(_serve, settings)


if __name__ == "__main__":
    run()
