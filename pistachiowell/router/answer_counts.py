"""Messages with the counts of answers that a report about a move carries."""

from pistachiowell.moves.evidence import Answer, AnswerPhase
from pistachiowell.schema.generated.messages_moves import AnswerCount


def count_messages(counts, now):
    """Returns the ``AnswerCount`` messages of a report.

    Args:
        counts: A mapping from ``(Answer, began)`` to the number of answers.
        now: Current time in seconds.
    """
    return [
        AnswerCount(
            server=answer.server,
            data_centre=answer.data_centre,
            is_new=answer.is_new,
            age_s=max(0.0, now - began),
            failed=answer.failed,
            bucket=answer.bucket,
            count=count,
            phase=str(answer.phase),
        )
        for (answer, began), count in counts.items()
    ]


def read_counts(messages, now):
    """Yields ``(Answer, began, count)`` of the ``AnswerCount`` messages of a report.

    Args:
        messages: The messages.
        now: Current time in seconds, on the clock of ``began``.
    """
    for message in messages:
        answer = Answer(
            message.is_new,
            message.server,
            message.data_centre,
            message.failed,
            message.bucket,
            AnswerPhase(message.phase),
        )
        yield answer, now - message.age_s, message.count
