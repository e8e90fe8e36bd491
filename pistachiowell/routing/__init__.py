"""Routing: server selection, ejection, retries, answers, quarantine, credits."""

from pistachiowell.routing.answer_times import AnswerTimes, AnswerTimeSettings
from pistachiowell.routing.assembly import ASSEMBLERS, Broken, Deliver, Finished
from pistachiowell.routing.crash_suspects import (
    Crash,
    FingerprintStatus,
    PartInProgress,
    SuspectKind,
    fingerprint,
    part_names,
    place_crash_candidate,
    suspect_kind,
)
from pistachiowell.routing.crashes import (
    CRASH_LEDGERS,
    PART_CRASHES,
    SHARED_SERVER_CRASHES,
    CrashLedger,
    CrashSettings,
)
from pistachiowell.routing.credits import CREDIT_POOLS, AbortStream, CreditSettings
from pistachiowell.routing.engine_rates import EngineRates, RateSettings
from pistachiowell.routing.engine_table import (
    NO_LOAD,
    EngineLoad,
    EngineRequest,
    EngineRun,
    EngineTable,
    PlacedRequest,
)
from pistachiowell.routing.health import HealthTable
from pistachiowell.routing.hedging import (
    HEDGE_POLICIES,
    HedgeDenial,
    HedgeSettings,
)
from pistachiowell.routing.late_refusal import LateRefusal, LateSettings
from pistachiowell.routing.load import LoadTable
from pistachiowell.routing.load_changes import (
    EncodedLoads,
    LoadDecoder,
    LoadEncoder,
    SharedLoads,
)
from pistachiowell.routing.pick import PICKERS, Candidate, even_odds, rendezvous
from pistachiowell.routing.placement import PLACERS, PlacementSettings
from pistachiowell.routing.retry import (
    RETRIES,
    AttemptFailure,
    RequestRetries,
    RetryBudget,
    RouteRetries,
)
from pistachiowell.routing.retry_share import RetryShare, RetryShareSettings
from pistachiowell.routing.router_count import RouterCount
from pistachiowell.routing.settings import RoutingSettings
from pistachiowell.routing.shared_times import (
    KindSummary,
    KindTimes,
    SharedTimes,
    TimesSum,
)
from pistachiowell.routing.sharing import REPORT_PACERS, LoadSums, SharingSettings
from pistachiowell.routing.silence import SILENCE_DETECTORS, SilenceSettings
from pistachiowell.routing.split import SPLITTERS
from pistachiowell.routing.unreachable import (
    UnreachableServers,
    UnreachableSettings,
)
from pistachiowell.routing.usual_wait import UsualWait

__all__ = [
    "ASSEMBLERS",
    "CRASH_LEDGERS",
    "CREDIT_POOLS",
    "HEDGE_POLICIES",
    "PART_CRASHES",
    "PICKERS",
    "PLACERS",
    "REPORT_PACERS",
    "RETRIES",
    "RateSettings",
    "SILENCE_DETECTORS",
    "SPLITTERS",
    "AbortStream",
    "AnswerTimeSettings",
    "AnswerTimes",
    "AttemptFailure",
    "Broken",
    "Candidate",
    "Crash",
    "CrashLedger",
    "CrashSettings",
    "SHARED_SERVER_CRASHES",
    "CreditSettings",
    "Deliver",
    "EncodedLoads",
    "EngineLoad",
    "EngineRates",
    "EngineRequest",
    "EngineRun",
    "EngineTable",
    "FingerprintStatus",
    "Finished",
    "HealthTable",
    "HedgeDenial",
    "HedgeSettings",
    "KindSummary",
    "KindTimes",
    "LateRefusal",
    "LateSettings",
    "LoadDecoder",
    "LoadEncoder",
    "LoadSums",
    "NO_LOAD",
    "LoadTable",
    "PartInProgress",
    "PlacedRequest",
    "PlacementSettings",
    "RequestRetries",
    "RetryBudget",
    "RetryShare",
    "RetryShareSettings",
    "RouteRetries",
    "RouterCount",
    "RoutingSettings",
    "SharedLoads",
    "SharedTimes",
    "SharingSettings",
    "SilenceSettings",
    "SuspectKind",
    "TimesSum",
    "UnreachableServers",
    "UnreachableSettings",
    "even_odds",
    "fingerprint",
    "part_names",
    "place_crash_candidate",
    "rendezvous",
    "suspect_kind",
    "UsualWait",
]
