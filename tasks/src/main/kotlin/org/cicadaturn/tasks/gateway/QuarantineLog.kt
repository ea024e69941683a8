package org.cicadaturn.tasks.gateway

import org.apache.logging.log4j.Logger
import org.cicadaturn.decisions.quarantine.SuspicionView
import org.cicadaturn.schema.generated.LostPrompt

/** Logs each segment whose state differs between [before] and [after], with the evidence that decides it. */
internal fun Logger.logChanges(
    before: SuspicionView,
    after: SuspicionView,
) {
    val earlier = before.suspicions.associateBy { it.segment }
    after.suspicions.filter { it.state != earlier[it.segment]?.state }.forEach { suspicion ->
        warn(
            "quarantine: segment {} at {} is {}, confidence {}, {} crashes, endpoints {}",
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
        warn("quarantine: segment {} at {} is clear", it.segment.segment, it.segment.service)
    }
}

/** Returns the prompts of a crash report for a log line, each with its likelihood ratio. */
internal fun textOf(lost: List<LostPrompt>): String =
    lost.joinToString { prompt -> "${promptText(prompt.segments)} (${prompt.likelihoodRatio.toInt()}:1)" }
