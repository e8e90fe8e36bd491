"""Main module of the program ``pistachiowell-agent``."""

from pistachiowell.signals import signals_held


def run():
    """Runs the agent with the settings of the command line.

    The import takes a good part of a second, in which signals come as at other times.
    """
    with signals_held():
        from pistachiowell.agent.agent import run_agent

        run_agent()


if __name__ == "__main__":
    run()
