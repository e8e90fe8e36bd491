"""What the checks of one question of where a request would go have found."""

from dataclasses import dataclass, field

from pistachiowell.gateway.data import RefusalReport


@dataclass(slots=True)
class Findings:
    """What the checks of one question have found so far.

    Attributes:
        refusals: Each ``RefusalReport``, in the order of the checks.
        odds: Probability by id of each server that the request may be sent to.
    """

    refusals: list = field(default_factory=list)
    odds: dict = field(default_factory=dict)

    def refuse(self, error, range_s=None, probability=1.0):
        """Adds the refusal that an error stands for.

        Args:
            error: The ``PistachiowellError`` that the caller would get.
            range_s: Least and most seconds of ``Retry-After``; None for those of the
                error.
            probability: Probability of the refusal.
        """
        least_s, most_s = range_s or (error.retry_after_s, error.retry_after_s)
        self.refusals.append(
            RefusalReport(
                str(error.code),
                error.http_status,
                error.message,
                round(least_s, 3),
                round(most_s, 3),
                round(probability, 4),
            )
        )

    def add_odds(self, odds, probability):
        """Adds the servers of a service.

        Args:
            odds: Probability of each server by id, if the service is chosen.
            probability: Probability of the service.
        """
        for server_id, share in odds.items():
            known = self.odds.get(server_id, 0.0)
            self.odds[server_id] = round(known + probability * share, 4)
