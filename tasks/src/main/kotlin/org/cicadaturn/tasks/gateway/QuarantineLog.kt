package org.cicadaturn.tasks.gateway

import org.apache.logging.log4j.Logger
import org.cicadaturn.decisions.quarantine.SuspicionView
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.SuspectKind
import org.cicadaturn.tasks.store.StoreError

/** Logs each segment and request whose state differs between [before] and [after], with the evidence that decides it. */
internal fun Logger.logChanges(
    before: SuspicionView,
    after: SuspicionView,
) {
    val earlier = before.suspicions.associateBy { it.segment }
    after.suspicions.filter { it.state != earlier[it.segment]?.state }.forEach { suspicion ->
        warn(
            "quarantine: {} {} at {} is {}, confidence {}, {} crashes, endpoints {}",
            textOf(suspicion.segment.kind),
            suspicion.segment.segment,
            suspicion.segment.service,
            suspicion.state?.name?.lowercase() ?: "clear",
            suspicion.confidence,
            suspicion.crashes,
            suspicion.endpoints,
        )
    }
    val remaining = after.suspicions.mapTo(HashSet()) { it.segment }
    before.suspicions.filter { it.state != null && it.segment !in remaining }.forEach {
        warn("quarantine: {} {} at {} is clear", textOf(it.segment.kind), it.segment.segment, it.segment.service)
    }
}

/** Logs that the store could not [action] an entry because of [error], if there is one. */
internal fun Logger.logFailure(
    action: String,
    error: StoreError?,
) {
    if (error != null) warn("quarantine: could not {} an entry in the store: {}", action, error.message)
}

private fun textOf(kind: SuspectKind): String = kind.name.lowercase()

/** Returns the requests of a crash report for a log line, each with its segments, digest and likelihood ratio. */
internal fun textOf(lost: List<LostPrompt>): String =
    lost.joinToString { prompt ->
        val names = listOfNotNull(promptText(prompt.segments), prompt.request?.text)
        "${names.joinToString(" ")} (${prompt.likelihoodRatio.toInt()}:1)"
    }
