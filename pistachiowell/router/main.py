"""Main module of the program ``pistachiowell-router``."""

from pistachiowell.signals import signals_held


def run():
    """Runs the router with the settings of the command line.

    The import takes a good part of a second, in which signals come as at other times.
    """
    with signals_held():
        from pistachiowell.router.router import run_router

        run_router()


if __name__ == "__main__":
    run()
