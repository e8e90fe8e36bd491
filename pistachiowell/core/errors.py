"""Error classes with codes, remedies and whether the request may have run.

Every code of ``schema/errors.yaml`` has one class here; ``error_class`` returns it.
"""

from pistachiowell.schema.generated.errors import ErrorCode

_CLASSES = {}

NOT_RUN = "no"
MAY_HAVE_RUN = "unknown"


class PistachiowellError(Exception):
    """Base class of all errors of the project.

    Args:
        message: Description of the error in one sentence.
        ran: ``"no"`` if the request certainly did not and will not run,
            ``"unknown"`` otherwise; None for the default of the class.
        retry_after_s: Suggested delay before a retry in seconds; None for the default
            of the class.

    Attributes:
        closes_connection: Whether an HTTP response that carries the error asks the
            caller to close its connection.
        code: The ``ErrorCode`` of the class.
        http_status: Status of the HTTP response that carries the error.
        remedy: Remedy that the reader can apply, in one sentence.
    """

    closes_connection = False
    code = None
    http_status = 500
    default_ran = MAY_HAVE_RUN
    remedy = "Report this to the operators of the fleet."
    default_retry_after_s = 0.0

    def __init__(self, message="", *, ran=None, retry_after_s=None):
        super().__init__(message)
        self.message = message
        self.ran = ran or self.default_ran
        self.retry_after_s = (
            self.default_retry_after_s if retry_after_s is None else retry_after_s
        )

    def __str__(self):
        return f"{self.code}: {self.message} {self.remedy}".strip()


def register(code):
    """Returns a decorator that registers the class of an error code.

    Args:
        code: An ``ErrorCode``.

    Returns:
        A class decorator.
    """

    def decorate(cls):
        cls.code = code
        _CLASSES[code] = cls
        return cls

    return decorate


def error_class(code):
    """Returns the class of an error code.

    Args:
        code: An ``ErrorCode`` or its value.

    Returns:
        A subclass of ``PistachiowellError``, or ``PistachiowellError`` itself for an
        unknown code, which a peer with a newer version may send.

    Examples:
        >>> error_class("overloaded").__name__
        'Overloaded'
        >>> error_class("a_later_code").__name__
        'PistachiowellError'
    """
    return _CLASSES.get(code, PistachiowellError)


def _define(code, http_status, remedy, *, ran=NOT_RUN, retry_after_s=0.0):
    name = "".join(part.capitalize() for part in code.split("_"))
    cls = type(
        name,
        (PistachiowellError,),
        {
            "__doc__": f"Error ``{code}``. {remedy}",
            "__module__": __name__,
            "http_status": http_status,
            "remedy": remedy,
            "default_ran": ran,
            "default_retry_after_s": retry_after_s,
        },
    )
    return register(ErrorCode(code))(cls)


InternalFault = _define(
    "internal_fault", 500, PistachiowellError.remedy, ran=MAY_HAVE_RUN
)
InvalidRequest = _define("invalid_request", 400, "Correct the request.")
BodyTooLarge = _define("body_too_large", 413, "Send a smaller body.")
BodyTimeout = _define(
    "body_timeout", 408, "Send the request again with its whole body."
)
HeadersTooLarge = _define("headers_too_large", 431, "Send smaller headers.")
Unauthorized = _define("unauthorized", 401, "Send a valid API key as bearer token.")
NotFound = _define("not_found", 404, "Check the path and the model or service name.")
MethodNotAllowed = _define("method_not_allowed", 405, "Use a method of the API.")
IdempotencyKeyRequired = _define(
    "idempotency_key_required", 400, "Send an Idempotency-Key header."
)
BudgetExhausted = _define("budget_exhausted", 402, "Top up the budget.")
BudgetUnreachable = _define(
    "budget_unreachable", 503, "Send the request again later.", retry_after_s=2.0
)
OwnerUnready = _define(
    "owner_unready", 503, "Ask another owner of the page.", retry_after_s=1.0
)
AccountLimit = _define(
    "account_limit", 429, "Wait for requests in progress to end.", retry_after_s=1.0
)
Overloaded = _define(
    "overloaded", 503, "Send the request again later.", retry_after_s=1.0
)
DeadlineExceeded = _define(
    "deadline_exceeded",
    504,
    "Send the request again with a longer timeout.",
    ran=MAY_HAVE_RUN,
)
NoServer = _define("no_server", 503, "Send the request again later.", retry_after_s=2.0)
ServerFailed = _define(
    "server_failed",
    502,
    "Look the request up before sending it again.",
    ran=MAY_HAVE_RUN,
)
AnswerBroken = _define(
    "answer_broken",
    502,
    "Look the request up before sending it again.",
    ran=MAY_HAVE_RUN,
)
Leaving = _define("leaving", 503, "Send the request again.", retry_after_s=0.5)
KeyInProgress = _define(
    "key_in_progress",
    409,
    "Wait and send the same key again.",
    ran=MAY_HAVE_RUN,
    retry_after_s=1.0,
)
OutcomeUnknown = _define(
    "outcome_unknown",
    409,
    "Ask the service whether the key took effect.",
    ran=MAY_HAVE_RUN,
)
ClaimUnavailable = _define(
    "claim_unavailable",
    503,
    "Send the request with the same key again later.",
    ran=MAY_HAVE_RUN,
    retry_after_s=2.0,
)
Quarantined = _define(
    "quarantined", 422, "Do not send this request again.", ran=MAY_HAVE_RUN
)
RouterUnknown = _define("router_unknown", 503, "The router must register itself again.")
SettingsInvalid = _define("settings_invalid", 500, "Correct the settings file.")
RowInvalid = _define("row_invalid", 422, "Correct the row and apply it again.")
RowConflict = _define(
    "row_conflict", 409, "Read the row with 'get' and apply the change again."
)
OutcomeUnresolved = _define(
    "outcome_unresolved",
    503,
    "Read the object once the store answers again.",
    ran=MAY_HAVE_RUN,
)
StoreConflict = _define("store_conflict", 409, "Read the object and try again.")
StoreUnavailable = _define(
    "store_unavailable", 503, "Try again once the store answers.", retry_after_s=2.0
)
StoreAnswerLost = _define(
    "store_answer_lost",
    503,
    "Read the object to learn whether the write took effect.",
    ran=MAY_HAVE_RUN,
)
StoreThrottled = _define(
    "store_throttled", 429, "Send fewer calls to the store.", retry_after_s=1.0
)
LinkLost = _define(
    "link_lost", 503, "Use another peer or connect again.", ran=MAY_HAVE_RUN
)
LinkTimeout = _define(
    "link_timeout", 504, "Use another peer or wait longer.", ran=MAY_HAVE_RUN
)
MessageInvalid = _define(
    "message_invalid", 400, "Run versions of the programs that fit together."
)

STORE_ERRORS = (StoreConflict, StoreUnavailable, StoreAnswerLost, StoreThrottled)
