package org.cicadaturn.bench.confirmations

import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Outcome
import kotlin.time.Instant

/** Request of a caller, with the outcome that was reported to the caller. */
internal class CallerRequest(
    val key: Int,
    val body: String,
    val sentAt: Instant,
    val deadline: Instant,
    val isLast: Boolean,
) {
    val attempts = mutableListOf<HistoryAttempt>()

    /** Outcome that the caller received from an entry; unknown if the answer was lost on the way. */
    var outcome: Outcome? = null
    var outcomeAt: Instant? = null
    var answer: String? = null
}

/** Attempt of a request at an endpoint process. */
internal class HistoryAttempt(
    val id: AttemptId,
    val key: Int,
    val body: String,
) {
    var arrivedAt: Instant? = null

    /** Deadline that the endpoint process received. */
    var deadline: Instant? = null

    /** Result that the endpoint process sent, even if it was lost on its way to the entry. */
    var result: ConfirmationResult? = null
    var resultAt: Instant? = null
}

/** Call that started at the back end. */
internal class HistoryRun(
    val attempt: HistoryAttempt,
    val startedAt: Instant,
)

/** Requests, attempts, runs and faults of one history. */
internal class HistoryLog(
    val keys: Int,
) {
    val requests = mutableListOf<CallerRequest>()
    val runs = mutableListOf<HistoryRun>()
    val faults = mutableMapOf<String, Int>()
    val attempts get() = requests.flatMap { it.attempts }

    fun countFault(kind: String) {
        faults.merge(kind, 1, Int::plus)
    }
}
