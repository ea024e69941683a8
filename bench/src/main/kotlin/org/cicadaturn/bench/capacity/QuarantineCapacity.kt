package org.cicadaturn.bench.capacity

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.cicadaturn.decisions.quarantine.SegmentQuarantine
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

private const val SEGMENTS_PER_PROMPT = 8
private const val PROMPTS_PER_CRASH = 16
private const val REVIEWS_PER_ROUND = 50
private val start = Instant.fromEpochSeconds(1_800_000_000)

/** Returns the bytes of the message by which a gateway reports a crash with [prompts] lost prompts. */
@OptIn(ExperimentalSerializationApi::class)
internal fun crashNewsBytes(prompts: Int): Double {
    val news = QuarantineNews(crashes = listOf(crashReport(0, prompts)))
    return Cbor
        .encodeToByteArray(QuarantineNews.serializer(), news)
        .size
        .toDouble()
}

/** Returns the time in which the suspicions are derived from [crashes] crashes with many lost prompts each. */
internal fun reviewMicros(crashes: Int): Double {
    val quarantine: SegmentQuarantine = segmentQuarantine()
    repeat(crashes) { quarantine.crashed(crashReport(it, PROMPTS_PER_CRASH), start + 5.seconds * it) }
    val now = start + 5.seconds * crashes
    repeat(REVIEWS_PER_ROUND) { quarantine.view(now) }
    val begin = TimeSource.Monotonic.markNow()
    repeat(REVIEWS_PER_ROUND) { quarantine.view(now) }
    return begin.elapsedNow().inWholeNanoseconds / 1_000.0 / REVIEWS_PER_ROUND
}

private fun crashReport(
    i: Int,
    prompts: Int,
): CrashReport {
    val lost =
        List(prompts) { p ->
            val segments = List(SEGMENTS_PER_PROMPT) { PromptSegmentId("segment-$i-$p-$it") }
            LostPrompt(listOf(PromptSegmentId("shared")) + segments, likelihoodRatio = 20.0)
        }
    return CrashReport(ProcessId("gateway-$i"), ServiceId("drafts"), EndpointId("endpoint-$i"), 0L, Duration.ZERO, lost)
}
