"""Command line of the model engine stand-in.

Imitates an engine with the OpenAI API, continuous batching, a prefix cache, model
orders and a breakdown under overload, and shows faults that its control endpoint sets.

Examples:
    Run ``python -m pistachiowell.standins.engine --port 9001 --model small-1``.
"""

import sys

import anyio
from absl import flags

from pistachiowell.standins import asgi
from pistachiowell.standins.engine_app import EngineApp
from pistachiowell.standins.engine_state import Engine


def define_flags():
    """Defines the flags of the program and returns them."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("port", None, "TCP port.", required=True, **define)
    flags.DEFINE_list("model", ["model"], "Names of the models loaded.", **define)
    flags.DEFINE_integer("slots", 8, "Requests that run at once.", **define)
    flags.DEFINE_float("word_s", 0.004, "Seconds per word.", **define)
    flags.DEFINE_float("batch_cost", 0.05, "Share added per request.", **define)
    flags.DEFINE_float("prompt_word_s", 0.0002, "Seconds per prompt word.", **define)
    flags.DEFINE_integer("cache_blocks", 1024, "Prefix blocks kept.", **define)
    flags.DEFINE_integer("capacity", 64, "Requests held before collapse.", **define)
    flags.DEFINE_enum(
        "collapse", "refuse", ["refuse", "exit"], "What a collapse does.", **define
    )
    flags.DEFINE_float("collapse_s", 2.0, "Seconds that it refuses.", **define)
    flags.DEFINE_float("load_lag_s", 0.2, "Lag of the load report.", **define)
    flags.DEFINE_float("order_s", 0.0, "Seconds that an order takes.", **define)
    flags.DEFINE_boolean("fencing", False, "Refuse old fencing numbers.", **define)
    flags.DEFINE_integer("seed", 1, "Seed of the faults.", **define)
    return values


async def serve(settings):
    """Runs the engine until a signal stops it.

    Args:
        settings: Flag values; see ``define_flags``.
    """
    engine = Engine(settings)
    async with anyio.create_task_group() as group:
        group.start_soon(engine.batch.run)
        await asgi.serve_app(EngineApp(engine), settings.port)
        group.cancel_scope.cancel()


def main(argv):
    """Runs the program with the given command line."""
    settings = define_flags()
    settings(argv)
    anyio.run(serve, settings)


if __name__ == "__main__":
    main(sys.argv)
