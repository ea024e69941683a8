package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells how strongly the loss of a request in a crash speaks against its prompt. Has one owner and is not safe for
 * concurrent use.
 *
 * A crash with another cause finds an innocent request in each state of progress as often as requests are in that
 * state. If engines send the head of an answer just before its first event, almost none is found between the two; a
 * request that crashes its endpoint as it begins to answer is.
 */
public interface LossWeights {
    /** Records how long an answer was in each state of progress. */
    public fun observed(
        service: ServiceId,
        times: Map<AnswerProgress, Duration>,
    )

    /**
     * Returns how many times more likely the loss of a request with [progress] is if the request caused the crash; 1 or
     * more.
     *
     * @param isStream true if the answer is a stream, whose head is sent as the request begins to run
     */
    public fun likelihoodRatio(
        service: ServiceId,
        progress: AnswerProgress,
        isStream: Boolean = true,
    ): Double
}

/** Returns weights without observations. */
public fun lossWeights(): LossWeights = ObservedLossWeights()

/**
 * Returns the part that a request to [service] with the prompt [segments] has in the report of a crash in which it was
 * lost.
 *
 * An answer that is under way clears the segments of its prompt, but not the request, which may crash its endpoint at any
 * time of its run.
 *
 * @param request digest that all copies of the request have
 * @param isStream true if the answer is a stream
 */
public fun LossWeights.lostPrompt(
    service: ServiceId,
    segments: List<PromptSegmentId>,
    progress: AnswerProgress,
    request: Digest?,
    isStream: Boolean,
): LostPrompt {
    if (progress >= AnswerProgress.RUNNING) return LostPrompt(emptyList(), UNDER_WAY_RATIO, request)
    return LostPrompt(segments.dropLast(1), likelihoodRatio(service, progress, isStream), request)
}

/**
 * Likelihood ratio of a request that is lost while its answer is under way, as most answers at an endpoint are at any
 * time. One loss of this kind is no evidence. A sound stream that two ordinary crashes have ended is not held back by it,
 * a request that three have ended is.
 */
internal const val UNDER_WAY_RATIO = 4.0

private class ObservedLossWeights : LossWeights {
    private class Observations {
        var answers = 0
        val times = HashMap<AnswerProgress, Duration>()

        fun total(): Duration = times.values.fold(Duration.ZERO) { sum, time -> sum + time }
    }

    private val services = HashMap<ServiceId, Observations>()

    override fun observed(
        service: ServiceId,
        times: Map<AnswerProgress, Duration>,
    ) {
        val known = services.getOrPut(service) { Observations() }
        known.answers += 1
        times.forEach { (progress, time) -> known.times[progress] = (known.times[progress] ?: Duration.ZERO) + time }
        if (known.total() > MAX_OBSERVED_TIME) known.times.replaceAll { _, time -> time / 2 }
    }

    override fun likelihoodRatio(
        service: ServiceId,
        progress: AnswerProgress,
        isStream: Boolean,
    ): Double {
        val known = services[service]
        if (known == null || known.answers < MIN_ANSWERS) return COINCIDENCE_RATIO
        val share = ((known.times[progress] ?: Duration.ZERO) / known.total()).coerceAtLeast(MIN_SHARE)
        val expected = if (isStream) EXPECTED_SHARES else EXPECTED_WHOLE_SHARES
        return (COINCIDENCE_RATIO * expected.getValue(progress) / share).coerceAtLeast(1.0)
    }

    private companion object {
        /**
         * How many times more likely a crash is while a request that causes one is in flight than at another time.
         * Taken low, as crashes with other causes come in bursts.
         */
        const val COINCIDENCE_RATIO = 20.0

        /**
         * How often a request that crashes its endpoint as it begins to answer is lost in each state. What the endpoint
         * wrote last may be lost with it, or arrive.
         */
        val EXPECTED_SHARES =
            mapOf(
                AnswerProgress.NONE to 0.1,
                AnswerProgress.HEAD to 0.6,
                AnswerProgress.BEGINNING to 0.29,
                AnswerProgress.RUNNING to 0.01,
                AnswerProgress.COMPLETE to 0.0,
            )

        /** The same for answers that are sent whole, of which nothing is sent before the end of the run. */
        val EXPECTED_WHOLE_SHARES =
            mapOf(
                AnswerProgress.NONE to 0.97,
                AnswerProgress.HEAD to 0.01,
                AnswerProgress.BEGINNING to 0.01,
                AnswerProgress.RUNNING to 0.01,
                AnswerProgress.COMPLETE to 0.0,
            )

        /** Shortest share of the time that is assumed for a state; estimates of shorter ones are imprecise. */
        const val MIN_SHARE = 0.005

        /** Answers from which the states of a service are known well enough. */
        const val MIN_ANSWERS = 10

        /** Sum of times from which older observations count for less. */
        val MAX_OBSERVED_TIME = 600.seconds
    }
}
