"""Page of the metrics address that tells where a request would go.

Anybody who reaches the address may ask. An answer costs some milliseconds of processor
time and some kilobytes, so both the rate of the questions and the size of each question
and answer are limited.
"""

import math

import msgspec

from pistachiowell.admission import RateBucket, RateSettings
from pistachiowell.core.errors import InternalFault, Overloaded, PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import PageAnswer
from pistachiowell.gateway.where.where_question import read_question

WHERE_PATH = "/where"
QUESTIONS_PER_S = 1.0
# Seconds for which unused questions are kept: as many more are answered at once.
BURST_S = 4.0
TOO_OFTEN_STATUS = 429
JSON = b"application/json"

_log = part_logger("where")


class WherePage:
    """Answers questions at a limited rate.

    Args:
        reporter: The ``WhereReporter``.
        runtime: The process's ``Runtime``.
    """

    __slots__ = ("_bucket", "_reporter", "_runtime")

    def __init__(self, reporter, runtime):
        self._reporter = reporter
        self._runtime = runtime
        settings = RateSettings(burst_s=BURST_S)
        self._bucket = RateBucket(settings, QUESTIONS_PER_S, runtime.now() - BURST_S)

    def __call__(self, query):
        """Returns the ``PageAnswer`` to a query string."""
        wait_s = self._bucket.try_take(0, self._runtime.now())
        if wait_s:
            self._runtime.metrics.count("where.refused")
            error = Overloaded(
                f"The gateway answers {QUESTIONS_PER_S:g} questions a second."
            )
            after = (b"retry-after", b"%d" % math.ceil(wait_s))
            return _error_answer(error, TOO_OFTEN_STATUS, (after,))
        self._runtime.metrics.count("where.asked")
        try:
            report = self._reporter.report(read_question(query))
        except PistachiowellError as error:
            return _error_answer(error, error.http_status)
        except Exception:
            _log.exception("A question failed with an unexpected exception.")
            return _error_answer(InternalFault("The question failed."), 500)
        return PageAnswer(msgspec.json.encode(report), content_type=JSON)


def _error_answer(error, status, headers=()):
    document = {"code": str(error.code), "message": error.message}
    body = msgspec.json.encode({"error": document})
    return PageAnswer(body, status, JSON, headers)
