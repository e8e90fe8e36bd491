"""Logs by loguru: short sentences with a fixed prefix for each part."""

import sys

from loguru import logger

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[part]}: {message}"


def configure_logs(settings):
    """Sends the logs of this process to standard error.

    Args:
        settings: Settings with ``log_level`` and ``log_json``.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        sys.stderr,
        level=settings.log_level,
        format=_TEXT_FORMAT,
        serialize=settings.log_json,
        backtrace=False,
        # Values of variables in a traceback could be API keys.
        diagnose=False,
    )


def part_logger(part):
    """Returns a logger whose lines start with the name of a part.

    Args:
        part: Name of the part, such as ``budgets``.
    """
    return logger.bind(part=part)
