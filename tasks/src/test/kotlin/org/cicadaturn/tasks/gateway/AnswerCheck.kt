package org.cicadaturn.tasks.gateway

/** Statuses that promise that the request has not run. */
private val PROMISES = setOf(408, 421, 429, 503)

/** Routes whose requests may run once at most. */
private val AT_MOST_ONCE = setOf("once", "stream-once")

/**
 * Request of a caller.
 *
 * @property after number of the last event that the caller has; 0 if it asks for a whole stream or for no stream
 */
internal data class FormRequest(
    val route: String,
    val id: String,
    val after: Int = 0,
) {
    val isStream: Boolean get() = route.startsWith("stream")

    fun text(deadlineMillis: Int?): String {
        val resumption = if (after > 0) "Last-Event-Id: $after\r\n" else ""
        val deadline = deadlineMillis?.let { "X-Deadline: $it\r\n" }.orEmpty()
        return request("/$route/x", "Connection: close\r\n$deadline$resumption", id)
    }
}

/** Returns how the request ended for its caller. */
internal fun outcomeOf(answer: ReceivedAnswer): String =
    when {
        answer.isSuccess -> if (answer.isComplete) "whole" else "cut"
        else -> "${answer.status}"
    }

/** Returns what is wrong with [answer] to [request], to which endpoints gave the answers [given], or null. */
internal fun violationOf(
    request: FormRequest,
    answer: ReceivedAnswer,
    given: List<FormAnswer>,
): String? {
    val runs = given.count { it.hasRun }
    return when {
        request.route in AT_MOST_ONCE && runs > 1 -> "run $runs times"
        request.route in AT_MOST_ONCE && answer.status in PROMISES && runs > 0 -> "${answer.status} although it has run"
        answer.surplus.isNotEmpty() -> "bytes behind the answer"
        !answer.isSuccess -> failureViolationOf(answer, given)
        request.isStream -> streamViolationOf(request, answer, given)
        else -> bodyViolationOf(answer, given)
    }
}

private fun failureViolationOf(
    answer: ReceivedAnswer,
    given: List<FormAnswer>,
): String? {
    val signature = answer.header("X-Signature") ?: return null
    val isGiven = given.any { it.signature == signature && it.status == answer.status }
    return if (isGiven) null else "status ${answer.status} is not the one that was given with $signature"
}

private fun streamViolationOf(
    request: FormRequest,
    answer: ReceivedAnswer,
    given: List<FormAnswer>,
): String? {
    val read = StandardEventReader().read(answer.body).map { it.lastEventId to it.data }
    val run = (request.after + 1..RUN_EVENTS).map { "$it" to runData(request.id, it) }
    val wrong = read.indices.firstOrNull { read[it] != run.getOrNull(it) }
    return when {
        wrong != null -> "event ${read[wrong]} where ${run.getOrNull(wrong) ?: "the end"} was due"
        answer.isComplete && read.size < run.size -> "complete without event ${run[read.size].first}"
        answer.isComplete && given.none { it.isWhole } -> "complete though each endpoint broke off"
        // The head is that of the first endpoint, whose stream another one may have gone on with.
        given.none { it.status == answer.status && it.signature == answer.header("X-Signature") } ->
            "success that no endpoint gave"
        else -> null
    }
}

private fun bodyViolationOf(
    answer: ReceivedAnswer,
    given: List<FormAnswer>,
): String? {
    val own = given.filter { it.status == answer.status && it.signature == answer.header("X-Signature") }
    return when {
        own.isEmpty() -> "success that no endpoint gave"
        answer.isComplete && own.none { it.isWhole && it.body.contentEquals(answer.body) } ->
            "complete with a body that is not the endpoint's"
        own.none { it.body.take(answer.body.size) == answer.body.asList() } ->
            "cut, with a body that is not the beginning of the endpoint's"
        else -> null
    }
}
