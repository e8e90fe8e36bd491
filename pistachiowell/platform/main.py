"""Command ``python -m pistachiowell.platform.main``: the gateway and the agent."""

from pistachiowell.signals import signals_held


def run():
    """Runs the program named by the argument; see ``pistachiowell.platform.programs``.

    The import takes a good part of a second, in which signals come as at other times.
    """
    with signals_held():
        from pistachiowell.platform.programs import run_named_program

        run_named_program()


if __name__ == "__main__":
    run()
